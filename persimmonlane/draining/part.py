"""Draining part.

Takes a node through its planned stop before the other parts drain.
"""

import logging
import time

from ..application import Part
from ..invariants import InvariantError
from .drains import Drain, Stage, create_drain

log = logging.getLogger("persimmonlane.draining")

POLL_S = 0.02
LEASE_WITHOUT_DOCUMENT_S = 3.0


class DrainPart(Part):
    """The planned stop of this node."""

    name = "draining"

    def __init__(self, application, clock, membership, config):
        self._application = application
        self._clock = clock
        self._membership = membership
        self._config = config
        self._count_running = int
        self._drain = None

    @property
    def accepts(self):
        """Whether new requests are taken."""
        return self._drain is None or self._drain.accepts

    @property
    def closes(self):
        """Whether answers ask callers to close their connections."""
        return self._drain is not None and self._drain.closes

    def watch(self, count_running):
        """Take a callable that tells how many requests of callers run."""
        self._count_running = count_running

    def drain(self):
        """Announce that the node leaves; return when nothing runs on it."""
        drain = self._create_drain()
        self._membership.announce_leaving(None)
        drain.begin()
        self._drain = drain
        try:
            self._wait(drain)
        except InvariantError as error:
            self._application.fail(error.code, error.message)
        log.info("Draining: done.")

    def _wait(self, drain):
        last = None
        while drain.stage is not Stage.DONE:
            if drain.stage is not last:
                last = drain.stage
                log.info("Draining: %s, %d run.", last.value, self._count_running())
            time.sleep(POLL_S)
            drain.observe(self._count_running(), self._membership.hosted_load())

    def _create_drain(self):
        view = self._config.view()
        if view is None:
            return Drain(self._clock, LEASE_WITHOUT_DOCUMENT_S, 0.0)
        return create_drain(view.document, self._clock)


def build_draining(application, clock, membership, config):
    """Build the draining part of a node and add it to the application.

    Args:
        application: The application.
        clock: Clock in monotonic seconds.
        membership: The membership part.
        config: The configuration part.
    """
    return application.add(DrainPart(application, clock, membership, config))
