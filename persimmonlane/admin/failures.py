"""Failures.

How errors of the operators' verbs look on the wire.
"""

import msgspec

from ..config.checks import DocumentInvalid
from ..config.publishing import PublishUncertain, RevisionConflict
from ..errors import InputError, PersimmonError, StoreError


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of the input.

    Attributes:
        code: Stable code.
        place: Path of the faulty field.
        message: One sentence.
    """

    code: str
    place: str
    message: str


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an answer that is not a success.

    Attributes:
        code: Stable code.
        message: One sentence.
        faults: All faults of a document.
        revision: The present revision, after a conflict.
        change: Identifier of the change, after an uncertain publication.
    """

    code: str
    message: str
    faults: tuple[Fault, ...] = ()
    revision: int | None = None
    change: str | None = None


class Unauthorised(PersimmonError):
    """The operators' token is missing or wrong."""

    code = "token-wrong"


class NodeUnreachable(PersimmonError):
    """The node's administration API did not answer."""

    code = "node-unreachable"


STATUSES = (
    (RevisionConflict, 409),
    (PublishUncertain, 504),
    (Unauthorised, 401),
    (InputError, 422),
    (StoreError, 503),
    (PersimmonError, 500),
)


def get_status(error):
    """Return the HTTP status for an error."""
    return next(status for kind, status in STATUSES if isinstance(error, kind))


def describe_failure(error):
    """Return the `Failure` for an error."""
    faults = error.faults if isinstance(error, DocumentInvalid) else ()
    return Failure(
        code=error.code,
        message=error.message,
        faults=tuple(
            Fault(code=fault.code, place=fault.place, message=fault.message)
            for fault in faults
        ),
        revision=getattr(error, "revision", None),
        change=getattr(error, "change", None),
    )


def restore_error(status, failure):
    """Return the error that a `Failure` describes."""
    if status == 409 and failure.revision is not None:
        return RevisionConflict(failure.revision)
    if status == 504 and failure.change is not None:
        return PublishUncertain(failure.change)
    if failure.faults:
        return DocumentInvalid(
            [
                InputError(fault.message, code=fault.code, place=fault.place)
                for fault in failure.faults
            ]
        )
    kinds = {401: Unauthorised, 422: InputError, 503: StoreError}
    return kinds.get(status, PersimmonError)(failure.message, code=failure.code)
