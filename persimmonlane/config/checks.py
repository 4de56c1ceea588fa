"""Checks.

Validates a whole document before it is accepted.
"""

import msgspec

from ..errors import InputError
from .model import Document


class DocumentInvalid(InputError):
    """A document that failed its checks.

    Attributes:
        faults: All faults, as `InputError`s.
    """

    code = "document-invalid"

    def __init__(self, faults):
        first = faults[0]
        count = len(faults)
        super().__init__(f"{count} faults, the first: {first}", place=first.place)
        self.faults = tuple(faults)


def validate(data):
    """Return the document that JSON text holds.

    Raises:
        DocumentInvalid: If it has faults; lists all of them.
    """
    try:
        return msgspec.json.decode(data, type=Document)
    except msgspec.DecodeError as error:
        message, _, place = str(error).partition(" - at `")
        fault = InputError(message, code="bad-type", place=place.rstrip("`") or "$")
        raise DocumentInvalid([fault]) from error
