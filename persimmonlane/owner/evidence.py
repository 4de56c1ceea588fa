"""Evidence on the health of the local backend server.

Passes the outcomes of its requests, and the time that the running ones take, to the
`FailureDetector`.
"""

import logging

from ..outcomes import OutcomeKind
from .calls import build_not_run_refusal
from .health import (
    HEALTHY_BREAK_RATIO,
    HEALTHY_ERROR_RATIO,
    HEALTHY_SHED_RATIO,
    HealthState,
)

log = logging.getLogger("persimmonlane.owner")

# Longer than a request lasts whose nested call has failed.
NESTED_MEMORY_S = 30.0
# Requests that probe a half-open server at a time.
HALF_OPEN_SLOTS = 1


class HealthEvidence:
    """Collects evidence for the failure detector; not thread-safe.

    The methods that record an outcome return whether the server's status has changed.

    Attributes:
        has_changed: Whether the status has changed since this was last reset.
    """

    __slots__ = (
        "has_changed",
        "_clock",
        "_detector",
        "_admission_queue",
        "_nested_failures",
        "_was_suspect",
    )

    def __init__(self, clock, detector, admission_queue):
        """Create the evidence.

        Args:
            clock: Clock in seconds.
            detector: The `FailureDetector`.
            admission_queue: The `AdmissionQueue`.
        """
        self.has_changed = False
        self._clock = clock
        self._detector = detector
        self._admission_queue = admission_queue
        self._nested_failures = []
        self._was_suspect = False

    def check(self, order):
        """Refuse a request that the health of the server does not admit.

        Args:
            order: The `Order`.

        Raises:
            Refusal: Not run, with code `server-ejected`, `server-on-trial` or
                `server-suspect`.
        """
        detector = self._detector
        if order.force:
            return
        if detector.state is HealthState.EJECTED:
            raise build_not_run_refusal(
                "server-ejected", "the backend server is ejected"
            )
        if detector.state is HealthState.HALF_OPEN:
            self._check_half_open(order)
            return
        self.evaluate_running()
        if not order.idempotent and detector.is_suspect():
            raise build_not_run_refusal(
                "server-suspect", "the backend server may be failing"
            )

    def end_ejection(self):
        """Let an ejected server become half-open when its time is over."""
        if not self._detector.tick():
            return
        log.info(
            "Owner: the backend server is %s beside %d unanswered requests.",
            self._detector.state.value,
            self._admission_queue.running,
        )
        self.has_changed = True

    def is_probing(self):
        """Return whether a half-open server runs as many probes as it may.

        Requests that were granted before do not count: a server that has hung may
        have left some of them unanswered.
        """
        detector = self._detector
        if detector.state is not HealthState.HALF_OPEN:
            return False
        probes = sum(
            1
            for item in self._admission_queue.list_running()
            if item.granted_at >= detector.since
        )
        return probes >= HALF_OPEN_SLOTS

    def note_nested_failure(self):
        """Note that a call which the backend server made of its own has failed.

        A request that made such a call fails, too, though the server is healthy.
        """
        now = self._clock.now()
        recent = [at for at in self._nested_failures if now - at < NESTED_MEMORY_S]
        self._nested_failures = [*recent, now]

    def evaluate_running(self):
        """Evaluate the requests that run; return whether the status has changed."""
        running = [
            (ticket.granted_at, self._compute_survival(ticket))
            for ticket in self._admission_queue.list_running()
        ]
        before = self._detector.state
        self._detector.evaluate_running(running)
        return self._apply_change(before, "overdue requests")

    def record_success(self, ticket):
        """Record an answer below 500 to the request of a `Ticket`."""
        before = self._detector.state
        self._detector.record_success(self._compute_survival(ticket))
        ticket.latency.learn(self._clock.now() - ticket.granted_at)
        return self._apply_change(before, OutcomeKind.OK.value)

    def record_error(self, ticket):
        """Record an error answer, unless a failed nested call explains it."""
        before = self._detector.state
        for at in self._nested_failures:
            if at >= ticket.granted_at:
                self._nested_failures.remove(at)
                break
        else:
            self._detector.record_failure(HEALTHY_ERROR_RATIO)
        return self._apply_change(before, OutcomeKind.ERROR.value)

    def record_break(self, kind):
        """Record a connection that broke or an answer that is not valid.

        Args:
            kind: The `OutcomeKind`.
        """
        before = self._detector.state
        self._detector.record_failure(HEALTHY_BREAK_RATIO)
        return self._apply_change(before, kind.value)

    def record_shed(self):
        """Record a request that the server turned away itself."""
        before = self._detector.state
        self._detector.record_failure(HEALTHY_SHED_RATIO)
        return self._apply_change(before, OutcomeKind.SHED.value)

    def record_unanswered(self, kind, ticket):
        """Record a request that ended without an answer.

        Args:
            kind: The `OutcomeKind`.
            ticket: Its `Ticket`.
        """
        before = self._detector.state
        survival = self._compute_survival(ticket)
        self._detector.record_unanswered(ticket.granted_at, survival)
        return self._apply_change(before, kind.value)

    def _check_half_open(self, order):
        if not order.idempotent or self.is_probing():
            raise build_not_run_refusal(
                "server-on-trial", "the backend server is on trial"
            )

    def _compute_survival(self, ticket):
        return ticket.latency.compute_survival(self._clock.now() - ticket.granted_at)

    def _apply_change(self, before, cause):
        after = self._detector.state
        if before is after:
            return self._apply_suspicion()
        log.info("Owner: the backend server is %s after %s.", after.value, cause)
        self.has_changed = True
        if after is HealthState.EJECTED:
            self._admission_queue.refuse_waiting("server-ejected")
        return True

    def _apply_suspicion(self):
        """Return whether the server has become or ceased to be suspect."""
        is_suspect = self._detector.is_suspect()
        changed = is_suspect is not self._was_suspect
        self._was_suspect = is_suspect
        self.has_changed |= changed
        return changed
