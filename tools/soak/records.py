"""Records of the requests and the node processes of a soak run."""

import enum


class ExchangeEnd(enum.Enum):
    """How the caller's wait for an answer ended.

    `RESET` means that the node closed the connection with unread bytes left.
    """

    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    TRUNCATED = "truncated"
    TIMED_OUT = "timed out"
    UNSENT = "unsent"


class SentSignal:
    """A signal that was sent to a process.

    Attributes:
        name: Name of the signal.
        time: Time at which it was sent, in monotonic seconds.
    """

    __slots__ = ("name", "time")

    def __init__(self, name, time):
        self.name = name
        self.time = time


class Process:
    """One process of a node; times are monotonic seconds.

    Attributes:
        node: Name of the node.
        first_sigterm: Time of its first SIGTERM, or None.
        signals: The `SentSignal`s.
        exited: Time at which its exit was noticed, or None.
        killed: Whether it was killed at the end of the grace time.
        was_ready: Whether it has been ready at least once.
    """

    __slots__ = ("node", "first_sigterm", "signals", "exited", "killed", "was_ready")

    def __init__(self, node, first_sigterm=None, exited=None):
        self.node = node
        self.first_sigterm = first_sigterm
        self.signals = []
        self.exited = exited
        self.killed = False
        self.was_ready = False


class Exchange:
    """One request and its response; times are monotonic seconds.

    Attributes:
        request_id: Identifier of the request.
        kind: Description of the request for the report.
        unsafe: Whether it may be executed at most once.
        timeout_s: The shorter of its time limit and its route's timeout, in seconds.
        process: The `Process` that it was sent to.
        is_first: Whether it was the first on its connection.
        started: Time at which its first byte was sent.
        sent: Time at which its last byte was sent, or None.
        ended: Time at which its response or its failure was complete.
        end: The `ExchangeEnd`.
        status: HTTP status, or 0 without a response.
        is_from_node: Whether the node generated the response itself.
    """

    __slots__ = (
        "request_id",
        "kind",
        "unsafe",
        "timeout_s",
        "process",
        "is_first",
        "started",
        "sent",
        "ended",
        "end",
        "status",
        "is_from_node",
    )

    def __init__(self, request_id, kind, unsafe, timeout_s, process):
        self.request_id = request_id
        self.kind = kind
        self.unsafe = unsafe
        self.timeout_s = timeout_s
        self.process = process
        self.is_first = False
        self.started = self.ended = 0.0
        self.sent = None
        self.end = ExchangeEnd.UNSENT
        self.status = 0
        self.is_from_node = False
