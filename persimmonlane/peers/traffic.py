"""Count of what a node sends to other nodes.

Links between data centres are costly, so what crosses them is counted apart.
"""

import threading

# Overhead of the IP and UDP headers of each datagram.
HEADER_BYTES = 28


class TrafficCount:
    """Messages of one kind since the last drain.

    Attributes:
        kind: Class name of a message in datagrams, or name of a part of an exchange.
        is_local: Whether the other node is in the sender's data centre.
        is_elsewhere: Whether it is in another region.
        messages: Number of messages.
        size: Their bytes, headers included.
    """

    __slots__ = ("kind", "is_local", "is_elsewhere", "messages", "size")

    def __init__(self, kind, is_local, is_elsewhere=False):
        self.kind = kind
        self.is_local = is_local
        self.is_elsewhere = is_elsewhere
        self.messages = 0
        self.size = 0

    def describe(self):
        """Return the fields of the log line."""
        return {
            "kind": self.kind,
            "near": self.is_local,
            "elsewhere": self.is_elsewhere,
            "messages": self.messages,
            "bytes": self.size,
        }


class TrafficCounter:
    """Counts messages by kind and by distance; thread-safe."""

    __slots__ = ("_counts", "_is_local", "_is_elsewhere", "_lock")

    def __init__(self, is_local=lambda host: True, is_elsewhere=lambda host: False):
        """Create an empty count.

        Args:
            is_local: Callable that returns whether a host is in this data centre.
            is_elsewhere: Callable that returns whether it is in another region.
        """
        self._counts = {}
        self._is_local = is_local
        self._is_elsewhere = is_elsewhere
        self._lock = threading.Lock()

    def set_locator(self, is_local, is_elsewhere):
        """Set the callables that tell where a host is, as for the constructor."""
        self._is_local = is_local
        self._is_elsewhere = is_elsewhere

    def count(self, message, host, payload_bytes):
        """Count a datagram that was sent to a host."""
        self._add(type(message).__name__, host, payload_bytes + HEADER_BYTES)

    def count_exchange(self, host, request, response):
        """Count a request to a host and its response, both without their framing.

        Args:
            host: Host of the other node.
            request: The `OutgoingRequest`.
            response: The `CompleteResponse`, or None if there was none.
        """
        size = measure_headers(request.headers) + len(request.body)
        self._add("ForwardedRequest", host, size + len(request.target))
        if response is not None:
            size = measure_headers(response.headers) + len(response.body)
            self._add("ForwardedResponse", host, size)

    def _add(self, kind, host, size):
        key = (kind, self._is_local(host), self._is_elsewhere(host))
        with self._lock:
            row = self._counts.get(key)
            if row is None:
                row = self._counts[key] = TrafficCount(*key)
            row.messages += 1
            row.size += size

    def drain(self):
        """Return the `TrafficCount`s since the last drain and start anew."""
        with self._lock:
            counts, self._counts = self._counts, {}
        return list(counts.values())


def measure_exchange(request, response):
    """Return the bytes of a request and its response, without their framing.

    Args:
        request: The `OutgoingRequest`.
        response: The `CompleteResponse`, or None if there was none.
    """
    size = measure_headers(request.headers) + len(request.body) + len(request.target)
    if response is not None:
        size += measure_headers(response.headers) + len(response.body)
    return size


def measure_headers(headers):
    """Return the bytes of some `Header`s in a message."""
    return sum(len(header.name) + len(header.value) + 4 for header in headers)
