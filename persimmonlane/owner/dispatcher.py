"""Dispatch of requests that hold a slot of the local backend server."""

from ..errors import Refusal
from ..serving.exchange import ExchangeError
from ..verdicts import Verdict
from .calls import build_not_run_refusal
from .heldbodies import RETRY_AFTER_S


class Dispatcher:
    """Checks, records and forwards requests that are about to run; thread-safe.

    Attributes:
        forwarder: The `Forwarder`.
    """

    __slots__ = (
        "_lock",
        "_evacuation",
        "_cold",
        "_dispatch_log",
        "_held_bodies",
        "forwarder",
    )

    def __init__(self, lock, evacuation, cold, dispatch_log, held_bodies, forwarder):
        """Create the dispatcher.

        Args:
            lock: Lock of the owner, which guards the other objects but the forwarder.
            evacuation: The `EvacuationGate`.
            cold: The `ColdStartLimit` of the admission queue.
            dispatch_log: The `DispatchLog`.
            held_bodies: The `HeldBodies`.
            forwarder: The `Forwarder`.
        """
        self._lock = lock
        self._evacuation = evacuation
        self._cold = cold
        self._dispatch_log = dispatch_log
        self._held_bodies = held_bodies
        self.forwarder = forwarder

    def dispatch(self, order, call, ticket, caller):
        """Forward a request and return the backend server's complete answer.

        Args:
            order: The `Order`.
            call: The `ForwardedCall`.
            ticket: Its `Ticket`, which has been granted a slot.
            caller: The `CallerWatch` of the caller's connection.

        Raises:
            Refusal: If the backend server did not run the request.
            ExchangeError: If it was sent, and no complete answer was received.
            CallerDisconnected: If the caller disconnected.
        """
        size = len(call.body)
        with self._lock:
            has_room = self._held_bodies.add(size)
        if not has_room:
            raise build_not_run_refusal(
                "server-full", "the backend server holds enough bodies", RETRY_AFTER_S
            )
        may_be_held = True
        try:
            answer = self._run(order, call, ticket, caller)
            may_be_held = False
            return answer
        except (Refusal, ExchangeError) as error:
            may_be_held = error.verdict is not Verdict.NOT_RUN
            raise
        finally:
            with self._lock:
                self._held_bodies.remove(size, not may_be_held)

    def mark_dispatched(self, order, ticket):
        """Record that a request is about to be sent; the caller holds the lock.

        Raises:
            Refusal: Not run, if it must not be sent any more.
        """
        self._evacuation.check()
        if not self._cold.confirm(ticket.granted_at):
            raise build_not_run_refusal(
                "server-cold", "the request was to be dispatched too late"
            )
        if not self._dispatch_log.mark_dispatched(order.request_id, ticket.deadline):
            raise build_not_run_refusal(
                "request-withdrawn", "its ingress node cancelled it"
            )

    def _run(self, order, call, ticket, caller):
        with self._lock:
            self.mark_dispatched(order, ticket)
        try:
            return self.forwarder.forward(order, call, ticket, caller)
        finally:
            with self._lock:
                self._dispatch_log.mark_ended(order.request_id)
