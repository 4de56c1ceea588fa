"""What an owner tells other nodes of its backend server."""

from ..peers.statuses import ServerStatus
from ..routing.metadata import OwnerReport

# A server that got no request for this long needs one, to show how it is.
QUIET_S = 1.0


class OwnerStatus:
    """Describes the backend server of one owner, without changing anything."""

    __slots__ = (
        "_clock",
        "_hosted",
        "_admission_queue",
        "_detector",
        "_evidence",
        "_latency_models",
    )

    def __init__(
        self, clock, hosted, admission_queue, detector, evidence, latency_models
    ):
        """Create the status.

        Args:
            clock: Clock in seconds.
            hosted: The `HostedServer`.
            admission_queue: The `AdmissionQueue`.
            detector: The `FailureDetector`.
            evidence: The `HealthEvidence`.
            latency_models: The `LatencyModels`.
        """
        self._clock = clock
        self._hosted = hosted
        self._admission_queue = admission_queue
        self._detector = detector
        self._evidence = evidence
        self._latency_models = latency_models

    def describe(self, is_leaving):
        """Return the `ServerStatus` of the backend server, or None if there is none.

        Args:
            is_leaving: Whether the node takes no more requests for it.
        """
        # Of a process that is held back the other nodes may know that it has departed.
        current = self._hosted.current or self._hosted.newcomers.held
        if current is None:
            return None
        queue, detector = self._admission_queue, self._detector
        return ServerStatus(
            current.server_id,
            current.service,
            queue.slots > 0 and not is_leaving,
            queue.slots,
            queue.running,
            queue.waiting,
            detector.state.value,
            max(queue.cold.get_cold_s(), self._hosted.cold_until - self._clock.now()),
            detector.is_suspect(),
            detector.risk.error_percent,
            detector.risk.hang_percent,
            queue.limit.rate,
            current.born,
            self._hosted.is_leaving(),
            self._evidence.is_probing(),
            self._is_quiet(),
        )

    def report(self, verdict, code="", wait_s=0.0, route=""):
        """Return the `OwnerReport` that accompanies an answer.

        Args:
            verdict: The `Verdict`.
            code: Code of the failure; empty if the backend server answered.
            wait_s: Expected seconds until a slot is free.
            route: Name of the request's route, to report what is known of it.
        """
        queue, detector = self._admission_queue, self._detector
        figures = self._latency_models.describe(route)
        return OwnerReport(
            verdict.value,
            code,
            queue.running,
            queue.waiting,
            detector.state.value,
            wait_s,
            detector.is_suspect(),
            detector.risk.error_percent,
            detector.risk.hang_percent,
            figures.median_ms,
            figures.deviation_percent,
            figures.answers,
            queue.limit.rate,
            self._evidence.is_probing(),
            self._is_quiet(),
        )

    def _is_quiet(self):
        """Return whether the server got no request for a while."""
        return self._clock.now() - self._admission_queue.granted_at >= QUIET_S
