"""Retry budget.

A retry or a hedge takes a token, which the nodes of the data centre share.
"""

import logging
import threading

import pykka

from ..peers.commands import RetryCheck
from ..quotas.buckets import Bucket

log = logging.getLogger("persimmonlane.serving")

REPLY_TIMEOUT_S = 0.03
# The pool is told of the requests after this many, and with each question.
REPORTED_REQUESTS = 6
# Part of the slack that the nodes have of their own, for when their pool is silent.
ALONE_FACTOR = 0.05
# Tokens that were taken for hedges and not needed, kept for the next.
MAX_KEPT = 2


class RetryBudget:
    """Retry tokens of one node; thread-safe."""

    __slots__ = (
        "_settings",
        "_clock",
        "_table",
        "_actor",
        "_lock",
        "_requests",
        "_kept",
        "_alone",
    )

    def __init__(self, settings, clock, table, actor):
        """Create the budget.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            table: The `PeerTable`.
            actor: Reference to the `Gossip` actor, which asks for tokens.
        """
        self._settings = settings
        self._clock = clock
        self._table = table
        self._actor = actor
        self._lock = threading.Lock()
        self._requests = {}
        self._kept = {}
        self._alone = {}

    def note_request(self, service):
        """Count a request, which earns a fraction of a token."""
        with self._lock:
            requests = self._requests[service] = self._requests.get(service, 0) + 1
        if requests % REPORTED_REQUESTS == 0:
            self._actor.tell(RetryCheck(service, requests))

    def take(self, service):
        """Take a token; return whether one was available."""
        with self._lock:
            if self._kept.get(service, 0):
                self._kept[service] -= 1
                return True
            requests = self._requests.get(service, 0)
        command = RetryCheck(service, requests, pykka.ThreadingFuture())
        self._actor.tell(command)
        try:
            return command.reply.get(timeout=REPLY_TIMEOUT_S)
        except pykka.Timeout:
            log.debug("Serving: the node that keeps the retry tokens did not answer.")
        return self._take_alone(service)

    def refund(self, service):
        """Return an unused token."""
        with self._lock:
            kept = self._kept.get(service, 0) + 1
            self._kept[service] = min(MAX_KEPT, kept)

    def _take_alone(self, service):
        now = self._clock.now()
        slack = self._settings.retry_slack * ALONE_FACTOR / self._table.count_members()
        rate = slack / self._settings.retry_window_s
        with self._lock:
            bucket = self._alone.get(service)
            if bucket is None:
                bucket = self._alone[service] = Bucket(rate, 1.0, 1.0, now)
            return bucket.take(now) <= 0.0
