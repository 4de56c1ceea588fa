"""Requests that ran on a backend server which crashed, at the ingress.

Such a request may be to blame, or may only have run beside the one that is. It runs
alone until it is cleared, so that it takes no other request with it, and is refused
once it is in quarantine.
"""

from ..headers import find_first
from ..quarantine.fingerprints import compute_fingerprint
from ..quarantine.refusals import build_implicated_refusal, check_quarantine
from ..routing.metadata import MAX_CAUSES
from .attempts import NESTED_CALL_PRIORITY, get_priority
from .placement import admits, is_usable

# So many servers of a service are kept from requests that may crash them.
SPARED_SERVERS = 2
# A request is sent again in the same attempt of its caller after this many crashes.
MAX_CRASHES_TO_RETRY = 1


class IsolationPolicy:
    """Decides how requests that are implicated in crashes may run; thread-safe."""

    __slots__ = ("_ledger", "_list_running")

    def __init__(self, ledger, list_running):
        """Create the policy.

        Args:
            ledger: The `CrashLedger`.
            list_running: Callable that returns the fingerprints of the requests that
                run on the local backend server.
        """
        self._ledger = ledger
        self._list_running = list_running

    def identify(self, request):
        """Set the fingerprint of a request, and what may have caused a nested call.

        Args:
            request: The `IngressRequest`, whose body was read.

        Raises:
            Refusal: Not run, if the request is in quarantine.
        """
        organisation = request.organisation
        request.fingerprint = compute_fingerprint(
            request.method,
            find_first(request.headers, "host"),
            request.target,
            organisation.name if organisation is not None else "",
            request.body,
        )
        if get_priority(request) == NESTED_CALL_PRIORITY:
            request.causes = self._list_running()[:MAX_CAUSES]
        self.check(request)

    def check(self, request):
        """Refuse a request that is in quarantine.

        Raises:
            Refusal: Not run.
        """
        check_quarantine(self._ledger, request.fingerprint)

    def is_isolated(self, request):
        """Return whether a request must run alone, and at one server at a time."""
        if request.crashes > self._ledger.count_crashes(request.fingerprint):
            # The report of the last crash has not arrived yet.
            return True
        return self._ledger.must_run_alone(request.fingerprint)

    def may_retry(self, request):
        """Return whether a request may be sent again to another server."""
        crashes = max(request.crashes, self._ledger.count_crashes(request.fingerprint))
        return crashes <= MAX_CRASHES_TO_RETRY

    def select(self, candidates, idempotent, narrow=None):
        """Return the `Candidate`s that a request may run alone at, the idle ones first.

        Args:
            candidates: All `Candidate`s of the service that were not tried.
            idempotent: Whether the request may run more than once.
            narrow: Callable that leaves out servers which are too far away, or None.
                These still count as servers of the service.
        """
        usable = [item for item in candidates if is_usable(item)]
        if len(usable) <= SPARED_SERVERS:
            return []
        admitting = [item for item in usable if admits(item, idempotent)]
        if narrow is not None:
            admitting = narrow(admitting)
        idle = [
            item for item in admitting if item.server.running + item.server.waiting == 0
        ]
        return idle or admitting

    def build_refusal(self, request):
        """Return the `Refusal` of a request that no server can run alone."""
        return build_implicated_refusal(request.fingerprint)

    def note_served(self, request):
        """Note that a request was served, which clears it for this node."""
        self._ledger.note_served(request.fingerprint)
