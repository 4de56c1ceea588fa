"""Status checks of the local backend server."""

import logging
import threading

from ..platform import headers as wire
from ..serving.exchange import ExchangeError
from ..serving.fetching import fetch
from .newcomers import Condition, ServerStatement

log = logging.getLogger("persimmonlane.owner")

TIMEOUT_S = 0.4


class StatusCheck:
    """Asks the backend server beside this node how it is."""

    __slots__ = ("_settings", "_clock", "_pool")

    def __init__(self, settings, clock, pool):
        """Create the check.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            pool: The `ConnectionPool`, whose memory for answers is shared.
        """
        self._settings = settings
        self._clock = clock
        self._pool = pool

    def begin(self, path, on_answer):
        """Ask in a thread of its own.

        Args:
            path: Path of the status check.
            on_answer: Callable that is called there with the `ServerStatement`.
        """
        threading.Thread(
            target=lambda: on_answer(self._ask(path)), daemon=True, name="status-check"
        ).start()

    def _ask(self, path):
        address, memory = self._settings.server, self._pool.memory
        try:
            answer = fetch(address, path, TIMEOUT_S, self._clock, memory)
        except ExchangeError as error:
            log.info("Owner: the status check failed: %s.", error)
            return ServerStatement("", Condition.UNKNOWN)
        return wire.parse_status_answer(answer.status, answer.headers)
