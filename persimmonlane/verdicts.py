"""Verdicts on whether a request may have run on a backend server."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
