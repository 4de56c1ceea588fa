"""Cancellation of requests at the owners of backend servers.

A connection to an owner may fail, or the ingress node may stop, while a request still
waits in the owner's queue. A request that is cancelled there is certain not to run, so
that it can be retried safely.
"""

import pykka

from ..outcomes import OutcomeKind
from ..peers.commands import CancellationCommand
from ..verdicts import Verdict
from .exchange import ExchangeError

REPLY_TIMEOUT_S = 0.12
# With less time left, no owner is asked to cancel a request.
MIN_TIME_LEFT_S = 0.03
# Cancellations are sent as datagrams, which may be lost.
MAX_ATTEMPTS = 2


class CancellationClient:
    """Asks owners to cancel requests; thread-safe."""

    __slots__ = ("_actor", "_clock")

    def __init__(self, actor, clock):
        """Initialise the client.

        Args:
            actor: Reference to the `Gossip` actor, which sends the datagrams.
            clock: Clock in seconds.
        """
        self._actor = actor
        self._clock = clock

    def cancel(self, request_id, peer, boot, deadline):
        """Ask an owner to cancel a request.

        An owner may forget a request after its deadline, and then takes it for one that
        never came. So nothing is asked then, and a confirmation that arrives by then
        does not count: this node or its VM may have been suspended meanwhile.

        Args:
            request_id: Identifier of the request.
            peer: The `Peer` to which it was sent.
            boot: Boot number of the process to which it was sent.
            deadline: Clock seconds by which the request must be answered.

        Returns:
            Whether the owner confirmed that the request will never run there.
        """
        if not request_id:
            return False
        for _ in range(MAX_ATTEMPTS):
            left_s = deadline - self._clock.now()
            if left_s <= MIN_TIME_LEFT_S:
                return False
            reply = pykka.ThreadingFuture()
            self._actor.tell(
                CancellationCommand(peer.address, boot, request_id, left_s, reply)
            )
            try:
                never_runs = reply.get(timeout=REPLY_TIMEOUT_S)
            except pykka.Timeout:
                continue
            return never_runs and self._clock.now() < deadline
        return False


class CancelOnShutdown:
    """A poll callback for the wait for an owner's answer.

    Once a node that shuts down may dispatch no more requests, it cancels its request at
    the owner, if the request has not yet been dispatched to the backend server.
    """

    __slots__ = ("_shutdown", "_cancel", "_on_wait", "_cancel_sent")

    def __init__(self, shutdown, cancel, on_wait):
        """Initialise the callback.

        Args:
            shutdown: The `Shutdown` of this node.
            cancel: Callable that cancels the request and returns whether it is certain
                never to run.
            on_wait: Callback to call on each poll; returns the seconds until the next.
        """
        self._shutdown = shutdown
        self._cancel = cancel
        self._on_wait = on_wait
        self._cancel_sent = False

    def __call__(self):
        """Return the seconds until the next poll.

        Raises:
            ExchangeError: If the request was cancelled; it did not run.
        """
        if not self._cancel_sent and not self._shutdown.may_dispatch():
            self._cancel_sent = True
            if self._cancel():
                raise ExchangeError(
                    OutcomeKind.CANCELLED,
                    Verdict.NOT_RUN,
                    "node-leaving",
                    "the node stops before the request was begun",
                )
        return self._on_wait()
