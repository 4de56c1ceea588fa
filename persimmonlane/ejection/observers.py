"""Observers.

The other nodes that report evidence on a service.
"""

ACTIVE_S = 10.0
KEPT_S = 3600.0


class Observer:
    """Another node that reports evidence on the service.

    Attributes:
        epoch: Epoch of its evidence.
        sequence: Highest sequence number that came.
        active: Monotonic seconds of its last attempt.
    """

    __slots__ = ("epoch", "sequence", "active")

    def __init__(self, epoch, active):
        self.epoch = epoch
        self.sequence = 0
        self.active = active


class Observers:
    """The other nodes by name."""

    __slots__ = ("_nodes",)

    def __init__(self):
        self._nodes = {}

    def is_known(self, node, evidence):
        """Return whether evidence goes on from what the node sent before."""
        observer = self._nodes.get(node)
        return observer is not None and observer.epoch == evidence.epoch

    def add(self, node, evidence, now):
        """Take a node whose sums begin anew, and forget those long silent."""
        self._nodes = {
            name: observer
            for name, observer in self._nodes.items()
            if now - observer.active <= KEPT_S
        }
        self._nodes[node] = Observer(evidence.epoch, now - evidence.idle_s)

    def accept(self, node, evidence, now):
        """Note when a known node was active; return whether its evidence is new."""
        observer = self._nodes[node]
        if evidence.sequence <= observer.sequence:
            return False
        observer.sequence = evidence.sequence
        observer.active = now - evidence.idle_s
        return True

    def count_active(self, now):
        """Return the number of nodes that made attempts lately."""
        nodes = self._nodes.values()
        return sum(1 for observer in nodes if now - observer.active <= ACTIVE_S)
