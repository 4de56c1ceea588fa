"""Refusals of requests that no backend server has accepted."""

from ..errors import Refusal

RETRY_AFTER_S = 0.3
# Code of the refusal of a request that no allowed region has a server for. Servers of
# these regions may be back within the time of a restart.
REGION_NOT_ALLOWED = "region-not-allowed"
REGION_RETRY_AFTER_S = 2.0


class RefusalBuilder:
    """Builds the refusals of the ingress; thread-safe.

    Attributes:
        returns: The `ReturnSchedule`.
    """

    __slots__ = ("returns", "_lock", "_candidates", "_shutdown", "_isolation")

    def __init__(self, lock, candidates, shutdown, isolation, returns):
        """Create the builder.

        Args:
            lock: Lock of the ingress, which guards the schedule.
            candidates: The `CandidateFinder`.
            shutdown: The `Shutdown`.
            isolation: The `IsolationPolicy`.
            returns: The `ReturnSchedule`.
        """
        self.returns = returns
        self._lock = lock
        self._candidates = candidates
        self._shutdown = shutdown
        self._isolation = isolation

    def build(self, request, service, rejections):
        """Return the `Refusal` of a request that no backend server has accepted.

        Args:
            request: The `IngressRequest`.
            service: Name of the service.
            rejections: Rejected `Attempt`s by identifier of the backend server.
        """
        if self._is_region_missing(request, service, rejections):
            return self._build_region_refusal(request, service)
        if self._shutdown.may_dispatch() and self._isolation.is_isolated(request):
            return self._isolation.build_refusal(request)
        return self.build_overload(request, service, rejections)

    def build_overload(self, request, service, rejections):
        """Return the `Refusal` of a request that all servers tried have rejected.

        Args:
            request: The `IngressRequest`.
            service: Name of the service.
            rejections: Rejected `Attempt`s by identifier of the backend server; may be
                empty if no server is known.
        """
        if not self._shutdown.may_dispatch():
            return self._shutdown.build_refusal()
        refusals = list(rejections.values())
        wait_s = min((item.wait_s for item in refusals), default=RETRY_AFTER_S)
        codes = ", ".join(item.code for item in refusals) or "none is known"
        return Refusal(
            503,
            "overloaded" if refusals else "no-server",
            f"no backend server of {service} can take the request: {codes}",
            retry_after=self._choose_return_s(request, service, wait_s),
        )

    def _is_region_missing(self, request, service, rejections):
        """Return whether only regions that the request must not use have servers."""
        if request.allowed_regions is None or rejections:
            return False
        if not self._shutdown.may_dispatch():
            return False
        if self._candidates.find(service, request.allowed_regions):
            return False
        return bool(self._candidates.find(service))

    def _build_region_refusal(self, request, service):
        names = ", ".join(sorted(request.allowed_regions)) or "none"
        return Refusal(
            503,
            REGION_NOT_ALLOWED,
            f"no backend server of {service} is in an allowed region: {names}",
            retry_after=REGION_RETRY_AFTER_S,
        )

    def _choose_return_s(self, request, service, wait_s):
        candidates = self._candidates.find(service, request.allowed_regions)
        limits = [item.server.limit for item in candidates]
        node_count = self._candidates.count_nodes()
        with self._lock:
            return self.returns.choose_s(service, wait_s, limits, node_count)
