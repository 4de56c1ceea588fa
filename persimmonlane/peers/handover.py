"""Handover of organisations' rates between the nodes that hold them.

Tokens are moved, never copied: what is handed over is taken from the sender's bucket
before, goes to one process, and counts once there. A lost message costs tokens, so it
is repeated; it never grants any twice. A process that was started between two copies
does not know whether its predecessor had taken the tokens, so it takes none.
"""

import collections

from .messages import MAX_RATE_ENTRIES, RateEntry, RateHandover

# A datagram may be lost.
MAX_SENDINGS = 3
# Handovers that are remembered, to add the tokens of each once.
MAX_REMEMBERED = 4096
# Receiver of the handovers of older releases.
ANY_PROCESS = 0


class HandoverSender:
    """Handovers of one process; not thread-safe."""

    __slots__ = ("_boot", "_sequence", "_pending")

    def __init__(self, boot):
        """Create the sender.

        Args:
            boot: Boot number of this process.
        """
        self._boot = boot
        self._sequence = 0
        # Host, message and number of sendings that are left.
        self._pending = []

    def add(self, host, receiver, tokens):
        """Add what is handed over to a node.

        Args:
            host: Host of the node.
            receiver: Boot number of its process.
            tokens: Numbers of tokens by name of the organisation.
        """
        entries = [RateEntry(name, count) for name, count in tokens.items()]
        for start in range(0, len(entries), MAX_RATE_ENTRIES):
            self._sequence += 1
            part = entries[start : start + MAX_RATE_ENTRIES]
            message = RateHandover(self._boot, self._sequence, part, receiver)
            self._pending.append((host, message, MAX_SENDINGS))

    def take_due(self):
        """Return the hosts and messages that are to be sent now, as pairs."""
        due = [(host, message) for host, message, _ in self._pending]
        self._pending = [
            (host, message, left - 1)
            for host, message, left in self._pending
            if left > 1
        ]
        return due


class HandoverReceiver:
    """Remembers which handovers have arrived; not thread-safe."""

    __slots__ = ("_boot", "_seen", "_order")

    def __init__(self, boot):
        """Create the receiver.

        Args:
            boot: Boot number of this process.
        """
        self._boot = boot
        self._seen = set()
        self._order = collections.deque()

    def is_first(self, handover):
        """Note a `RateHandover`; return whether this process is to take it over.

        It is if it arrives for the first time and is for this process.
        """
        if handover.receiver not in (ANY_PROCESS, self._boot):
            return False
        key = (handover.boot, handover.sequence)
        if key in self._seen:
            return False
        self._seen.add(key)
        self._order.append(key)
        if len(self._order) > MAX_REMEMBERED:
            self._seen.remove(self._order.popleft())
        return True
