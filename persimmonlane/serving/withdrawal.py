"""Withdrawal.

Takes requests back from the owners of backend servers. Answers hops that break, and
nodes that end, while a request may still wait in an owner's queue.
"""

import pykka

from ..outcomes import Kind
from ..peers.gossip import WithdrawalWanted
from ..verdicts import Verdict
from .exchange import ExchangeError

ANSWER_S = 0.12
# A datagram may be lost.
TRIES = 2


class CancellationClient:
    """Asks owners to take requests back; may be used from any thread."""

    __slots__ = ("_actor",)

    def __init__(self, actor):
        """Take the reference of the `Gossip` actor."""
        self._actor = actor

    def cancel(self, order, peer, boot):
        """Return whether a request is sure never to run at an owner.

        Args:
            order: The `Order` that was sent.
            peer: The `Peer` that it was sent to.
            boot: Boot number of the process that it was sent to.
        """
        for _ in range(TRIES):
            reply = pykka.ThreadingFuture()
            wanted = WithdrawalWanted(peer.address, boot, order.request_id, reply)
            self._actor.tell(wanted)
            try:
                return reply.get(timeout=ANSWER_S)
            except pykka.Timeout:
                continue
        return False


class CancelOnShutdown:
    """Looks now and then while the answer of an owner is awaited.

    Once a leaving node can begin no more requests, one that still waits at the owner
    is taken back.
    """

    __slots__ = ("_shutdown", "_withdraw", "_on_wait", "_asked")

    def __init__(self, shutdown, withdraw, on_wait):
        """Take what is looked at.

        Args:
            shutdown: The `Shutdown` of this node.
            withdraw: Callable that takes the request back and returns whether it is
                sure never to run.
            on_wait: What else is called; returns the seconds until the next look.
        """
        self._shutdown = shutdown
        self._withdraw = withdraw
        self._on_wait = on_wait
        self._asked = False

    def __call__(self):
        """Return the seconds until the next look.

        Raises:
            ExchangeError: If the request was taken back.
        """
        if not self._asked and not self._shutdown.may_dispatch():
            self._asked = True
            if self._withdraw():
                raise ExchangeError(
                    Kind.CANCELLED,
                    Verdict.NOT_RUN,
                    "node-leaving",
                    "the node stops before the request was begun",
                )
        return self._on_wait()
