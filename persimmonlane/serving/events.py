"""Events.

One log line for each request that ends in another way than a plain answer.
"""

import logging

log = logging.getLogger("persimmonlane.serving")

SERVER_FAULT = 500


class RequestEvents:
    """Writes what happened to requests."""

    __slots__ = ("_clock",)

    def __init__(self, clock):
        self._clock = clock

    def note_refused(self, request, refusal):
        """Note a request that the node answered itself."""
        log.info(
            "Serving: refused %s: %s.",
            request.wishes.request_id,
            refusal.message,
            extra=self._describe(request, refusal.status, refusal.code),
        )

    def note_left(self, request):
        """Note a request whose caller went away."""
        log.info(
            "Serving: the caller of %s left.",
            request.wishes.request_id,
            extra=self._describe(request, 0, "caller-left"),
        )

    def note_answered(self, request, status):
        """Note a request that a backend server answered; failures are logged."""
        if status >= SERVER_FAULT:
            log.info(
                "Serving: the backend server failed %s.",
                request.wishes.request_id,
                extra=self._describe(request, status, "backend-failed"),
            )

    def _describe(self, request, status, code):
        return {
            "request": request.wishes.request_id,
            "route": request.route.name if request.route else "",
            "status": status,
            "code": code,
            "age_s": round(self._clock.now() - request.arrived, 3),
        }
