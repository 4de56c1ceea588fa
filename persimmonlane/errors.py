"""Errors.

Every error carries a stable code; bad input also carries the place of the fault.
"""

from .verdicts import Verdict


class PersimmonError(Exception):
    """Base of the errors of this package.

    Attributes:
        code: Stable code, in lower case with hyphens.
        message: One sentence for a person.
        place: Path of the faulty field or file, empty where there is none.
    """

    code = "internal"

    def __init__(self, message, *, code=None, place=""):
        super().__init__(message)
        self.code = code or self.code
        self.message = message
        self.place = place

    def __str__(self):
        where = f" at {self.place}" if self.place else ""
        return f"[{self.code}]{where}: {self.message}"


class InputError(PersimmonError):
    """Input that failed a check, such as a settings file."""

    code = "bad-input"


class StoreError(PersimmonError):
    """The platform's key-value service failed or could not be reached."""

    code = "store-unavailable"


class Refusal(PersimmonError):
    """A request that the node answers itself.

    Attributes:
        status: HTTP status.
        verdict: Whether the request may have run.
        retry_after: Seconds after which a retry makes sense, or None.
    """

    def __init__(
        self, status, code, message, *, verdict=Verdict.NOT_RUN, retry_after=None
    ):
        super().__init__(message, code=code)
        self.status = status
        self.verdict = verdict
        self.retry_after = retry_after
