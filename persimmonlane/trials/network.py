"""Network.

A fake network between nodes that loses, delays, reorders and doubles messages,
and can be cut in one direction.
"""

import msgspec


class NetworkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults of the network.

    Attributes:
        loss: Share of messages lost.
        doubling: Share of messages delivered twice.
        jitter_s: Most additional delay in seconds, which also reorders.
    """

    loss: float = 0.0
    doubling: float = 0.0
    jitter_s: float = 0.0


class FakeNetwork:
    """Delivers messages between named nodes.

    Attributes:
        faults: The `NetworkFaults` in effect.
        sent: Number of messages sent.
        delivered: Number of messages delivered.
    """

    __slots__ = ("faults", "sent", "delivered", "_schedule", "_rng", "_delay", "_cuts")

    def __init__(self, schedule, rng, find_delay):
        """Create a network.

        Args:
            schedule: The `Schedule`.
            rng: A `random.Random`.
            find_delay: Returns the one-way delay in seconds between two nodes.
        """
        self.faults = NetworkFaults()
        self.sent = 0
        self.delivered = 0
        self._schedule = schedule
        self._rng = rng
        self._delay = find_delay
        self._cuts = set()

    def cut(self, source, target):
        """Lose all messages from one node to another."""
        self._cuts.add((source, target))

    def mend(self):
        """End all cuts."""
        self._cuts.clear()

    def is_open(self, source, target):
        """Return whether messages pass from one node to another."""
        return (source, target) not in self._cuts

    def send(self, source, target, function, *arguments):
        """Call a function at the target, unless the message is lost."""
        self.sent += 1
        copies = 2 if self._rng.random() < self.faults.doubling else 1
        for _ in range(copies):
            if self._rng.random() < self.faults.loss:
                continue
            jitter = self._rng.random() * self.faults.jitter_s
            delay = self._delay(source, target) + jitter
            self._schedule.call_later(
                delay, self._deliver, source, target, function, arguments
            )

    def _deliver(self, source, target, function, arguments):
        if self.is_open(source, target):
            self.delivered += 1
            function(*arguments)
