"""Errors.

Every error has a stable code; errors in input also have the path of the faulty field.
"""

from .verdicts import Verdict


class PersimmonError(Exception):
    """Base class of the errors of this package.

    Attributes:
        code: Stable code, in lower case with hyphens.
        message: Description for people, in one sentence.
        place: Path of the faulty field or file, or an empty string.
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
    """Input, such as a settings file, that is unreadable or invalid."""

    code = "bad-input"


class StoreError(PersimmonError):
    """The platform's key-value store failed or is unreachable."""

    code = "store-unavailable"


class Refusal(PersimmonError):
    """Error answer that the node gives to a request itself.

    Attributes:
        status: HTTP status code.
        verdict: The `Verdict` on whether a backend server ran the request.
        retry_after: Seconds after which the caller may retry, or None.
    """

    def __init__(
        self, status, code, message, *, verdict=Verdict.NOT_RUN, retry_after=None
    ):
        super().__init__(message, code=code)
        self.status = status
        self.verdict = verdict
        self.retry_after = retry_after
