"""Count of the datagrams that a node sends to other nodes.

Links between data centres are costly, so what crosses them is counted apart.
"""

import threading

# Overhead of the IP and UDP headers of each datagram.
HEADER_BYTES = 28


class TrafficCount:
    """Datagrams of one kind since the last drain.

    Attributes:
        kind: Class name of the message.
        is_local: Whether they went to nodes of the sender's data centre.
        datagrams: Number of datagrams.
        size: Their bytes, headers included.
    """

    __slots__ = ("kind", "is_local", "datagrams", "size")

    def __init__(self, kind, is_local):
        self.kind = kind
        self.is_local = is_local
        self.datagrams = 0
        self.size = 0

    def describe(self):
        """Return the fields of the log line."""
        return {
            "kind": self.kind,
            "near": self.is_local,
            "datagrams": self.datagrams,
            "bytes": self.size,
        }


class TrafficCounter:
    """Counts sent datagrams by kind and by distance; thread-safe."""

    __slots__ = ("_counts", "_is_local", "_lock")

    def __init__(self, is_local=lambda host: True):
        """Create an empty count.

        Args:
            is_local: Callable that returns whether a host is in this data centre.
        """
        self._counts = {}
        self._is_local = is_local
        self._lock = threading.Lock()

    def set_locator(self, is_local):
        """Set the callable that returns whether a host is in this data centre."""
        self._is_local = is_local

    def count(self, message, host, payload_bytes):
        """Count a datagram that was sent to a host."""
        key = (type(message).__name__, self._is_local(host))
        with self._lock:
            row = self._counts.get(key)
            if row is None:
                row = self._counts[key] = TrafficCount(*key)
            row.datagrams += 1
            row.size += payload_bytes + HEADER_BYTES

    def drain(self):
        """Return the `TrafficCount`s since the last drain and start anew."""
        with self._lock:
            counts, self._counts = self._counts, {}
        return list(counts.values())
