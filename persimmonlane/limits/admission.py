"""Admission.

The answer to whether a request is within its organisation's rate.
"""

import enum


class Admission(enum.Enum):
    """Whether a request is within its organisation's rate.

    `WAIT` means that a loan has been asked for and the caller may wait for it.
    """

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"
