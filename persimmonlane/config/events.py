"""Events.

What the configuration actor is told by its jobs, by peers and by its part.
"""


class ReportReceived:
    """A peer has sent its report; the answer is this node's.

    Attributes:
        report: The peer's `Report`.
    """

    __slots__ = ("report",)

    def __init__(self, report):
        self.report = report


class ReplyReceived:
    """A peer has answered this node's report.

    Attributes:
        report: The peer's `Report`.
        address: RPC address of the peer.
        sent_at: Monotonic seconds at which the request was sent.
    """

    __slots__ = ("report", "address", "sent_at")

    def __init__(self, report, address, sent_at):
        self.report = report
        self.address = address
        self.sent_at = sent_at


class ExchangeFailed:
    """A peer did not answer this node's report."""

    __slots__ = ()


class StoreSeen:
    """A call to the store has ended.

    Attributes:
        root: The root; None if it is unchanged, or if the call failed.
        version: Version of its key; None with the root.
        at: Monotonic seconds at which the store held it; None if the call failed.
    """

    __slots__ = ("root", "version", "at")

    def __init__(self, root, version, at):
        self.root = root
        self.version = version
        self.at = at


class Pulled:
    """A revision was fetched and its view built.

    Attributes:
        source: Name of the peer, or `STORE`.
        snapshot: The `Snapshot`; None if the fetch failed.
        view: The `DocumentView`; None if the fetch failed.
        started_at: Monotonic seconds at which the fetch began.
    """

    __slots__ = ("source", "snapshot", "view", "started_at")

    def __init__(self, source, snapshot, view, started_at):
        self.source = source
        self.snapshot = snapshot
        self.view = view
        self.started_at = started_at


class RepairEnded:
    """An attempt to repair the store has ended."""

    __slots__ = ()


class SubscriptionAsked:
    """An actor wants to be told of changes.

    Attributes:
        actor_ref: The actor.
    """

    __slots__ = ("actor_ref",)

    def __init__(self, actor_ref):
        self.actor_ref = actor_ref


class LeavingAsked:
    """The node is leaving; the answer is a list of futures to wait for."""

    __slots__ = ()
