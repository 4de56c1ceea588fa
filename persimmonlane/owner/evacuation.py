"""Evacuation of the data centre of the local backend server.

The owner sees every request to its backend server, so it enforces an evacuation: it
admits none while its data centre is evacuated, or while it can't know whether it is.
"""

import logging

from .calls import build_not_run_refusal

log = logging.getLogger("persimmonlane.owner")

SERVER_EVACUATED = "server-evacuated"


class EvacuationGate:
    """Whether the local backend server may be sent requests; not thread-safe.

    Attributes:
        closed_at: Clock seconds since which it may not, or None.
        refused: Number of requests that were refused for it.
    """

    __slots__ = ("closed_at", "refused", "_data_centre", "_clock", "_evacuations")

    def __init__(self, settings, clock, evacuations=None):
        """Create the gate.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            evacuations: The `EvacuationHolder`; None where operators evacuate no data
                centres.
        """
        self.closed_at = None
        self.refused = 0
        self._data_centre = None if evacuations is None else settings.data_centre
        self._clock = clock
        self._evacuations = evacuations

    def is_open(self):
        """Return whether requests may be sent to the backend server."""
        evacuations = self._evacuations
        return evacuations is None or (
            evacuations.may_send_to(self._data_centre) and evacuations.is_current()
        )

    def check(self):
        """Refuse a request that was not sent to the backend server yet.

        Raises:
            Refusal: Not run, with code `server-evacuated`.
        """
        if not self.is_open():
            self.refused += 1
            raise build_not_run_refusal(SERVER_EVACUATED, self._describe_reason())

    def note_state(self, running):
        """Log a change of whether requests may be sent.

        Args:
            running: Number of requests that the backend server is running.
        """
        is_open = self.is_open()
        if is_open == (self.closed_at is None):
            return
        now = self._clock.now()
        if is_open:
            log.info(
                "Owner: the backend server may get requests again, after %.2f s; "
                "%d were refused.",
                now - self.closed_at,
                self.refused,
            )
            self.closed_at, self.refused = None, 0
            return
        self.closed_at = now
        log.info(
            "Owner: the backend server gets no requests, as %s; %d are running.",
            self._describe_reason(),
            running,
        )

    def _describe_reason(self):
        if not self._evacuations.is_known():
            return "it is not known which data centres are evacuated"
        if self._evacuations.is_evacuated(self._data_centre):
            return "its data centre is evacuated"
        return "evacuations may have been missed"
