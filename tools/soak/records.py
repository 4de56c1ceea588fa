"""Records.

What is kept of each request and of each process of a node.
"""

import enum


class End(enum.Enum):
    """How the caller's wait for an answer ended.

    `RESET` is a connection that the node closed while it had bytes left to read.
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
        time: Monotonic second at which it was sent.
    """

    __slots__ = ("name", "time")

    def __init__(self, name, time):
        self.name = name
        self.time = time


class Process:
    """One process of a node; times are monotonic seconds.

    Attributes:
        node: Name of the node.
        first_stop: Time of its first SIGTERM, or None.
        signals: The `SentSignal`s.
        gone: Time at which it had ended, or None.
        killed: Whether it was killed at the end of the grace time.
        was_ready: Whether it has been ready.
    """

    __slots__ = ("node", "first_stop", "signals", "gone", "killed", "was_ready")

    def __init__(self, node, first_stop=None, gone=None):
        self.node = node
        self.first_stop = first_stop
        self.signals = []
        self.gone = gone
        self.killed = False
        self.was_ready = False


class Exchange:
    """One request and what came back; times are monotonic seconds.

    Attributes:
        request_id: Identifier of the request.
        kind: Description of the request for the report.
        unsafe: Whether it may run at most once.
        time_s: Seconds until its time limit or its route's timeout, the sooner.
        process: The `Process` that took it.
        is_first: Whether it was the first on its connection.
        started: Time at which its first byte was sent.
        sent: Time at which its last byte had been sent, or None.
        ended: Time at which the wait for its answer ended.
        end: The `End`.
        status: HTTP status, 0 if there was none.
        is_own: Whether the node made the answer itself.
    """

    __slots__ = (
        "request_id",
        "kind",
        "unsafe",
        "time_s",
        "process",
        "is_first",
        "started",
        "sent",
        "ended",
        "end",
        "status",
        "is_own",
    )

    def __init__(self, request_id, kind, unsafe, time_s, process):
        self.request_id = request_id
        self.kind = kind
        self.unsafe = unsafe
        self.time_s = time_s
        self.process = process
        self.is_first = False
        self.started = self.ended = 0.0
        self.sent = None
        self.end = End.UNSENT
        self.status = 0
        self.is_own = False
