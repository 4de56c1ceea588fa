"""Outcomes of attempts on backend servers and other nodes."""

import enum


class OutcomeKind(enum.Enum):
    """How an attempt on a backend server or another node ended."""

    OK = "ok"
    ERROR = "error"
    SHORT = "short"
    INVALID = "wrong"
    TIMEOUT = "timeout"
    CONNECT = "connect"
    SHED = "shed"
    STALE = "stale"
    CANCELLED = "cancelled"
