"""Single requests of the node itself, each on a connection of its own.

They share the bounds of all exchanges: the other side can neither keep the node waiting
beyond the deadline nor make it hold an answer without end.
"""

import uuid

import urllib3.util

from ..headers import Header
from .exchange import Exchange, OutgoingRequest

# Nothing is to be done while the answer is awaited.
POLL_INTERVAL_S = 1.0
# A node that is cut off does not answer at all; another one is asked the sooner.
CONNECT_TIMEOUT_S = 0.4


class SingleUsePool:
    """Takes the place of a `ConnectionPool`; no connection is used again.

    Attributes:
        memory: The `MemoryAccount` for the answers.
    """

    __slots__ = ("memory",)

    def __init__(self, memory):
        self.memory = memory

    def take(self, address, request_id):
        """Return None, as there are no idle connections."""

    def put(self, connection):
        """Close a connection whose exchange is complete."""
        connection.close()


class NoCaller:
    """Takes the place of a `CallerWatch` where nobody waits for the answer."""

    __slots__ = ()

    def wait(self, sock, timeout_s):
        """Wait until a socket is readable; return whether it is."""
        return urllib3.util.wait_for_read(sock, timeout=timeout_s)

    def check(self):
        """Do nothing, as there is no caller that could have left."""


def fetch(address, target, timeout_s, clock, memory, headers=()):
    """Send a GET request and return the `CompleteResponse`.

    Args:
        address: Address of the other side, as `host:port`.
        target: Request target.
        timeout_s: Seconds after which the exchange fails.
        clock: Clock in seconds.
        memory: The `MemoryAccount` for the answer.
        headers: Further `Header`s of the request.

    Raises:
        ExchangeError: If no complete and valid answer arrived.
    """
    request_id = uuid.uuid4().hex
    request = OutgoingRequest(
        address=address,
        method="GET",
        target=target,
        headers=[Header("Host", address), Header("Connection", "close"), *headers],
        body=b"",
        request_id=request_id,
        deadline=clock.now() + timeout_s,
        connect_timeout_s=min(timeout_s, CONNECT_TIMEOUT_S),
        extract_request_id=lambda headers: request_id,
        on_wait=lambda: POLL_INTERVAL_S,
    )
    return Exchange(request, SingleUsePool(memory), clock, NoCaller()).run()
