"""Poller.

Looks at the health endpoints of the hosted backend servers, in a thread.
"""

import threading

import msgspec
import urllib3

from ..actors import tell
from ..settings import split_address
from .watch import Health, HealthSeen

INTERVAL_S = 1.0
TIMEOUT_S = 0.5
BODY_LIMIT_BYTES = 4096
PATH = "/health"
# Each look takes a new connection: it also says whether the port accepts one.
HEADERS = {"Connection": "close"}


class HealthAnswer(msgspec.Struct):
    """The answer of a health endpoint.

    Attributes:
        state: `serving`, `draining` or `cold`.
        running: Requests that run.
        waiting: Requests that wait.
        slots: Requests that can run at a time.
    """

    state: str = "serving"
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


class Poller:
    """Looks at one backend server each second and tells an actor what it saw."""

    __slots__ = ("_address", "_actor", "_ended", "_thread")

    def __init__(self, address, actor_ref):
        self._address = address
        self._actor = actor_ref
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to look."""
        self._thread.start()

    def stop(self):
        """End the thread."""
        self._ended.set()

    def _run(self):
        host, port = split_address(self._address)
        pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, timeout=TIMEOUT_S, retries=False
        )
        while not self._ended.is_set():
            tell(self._actor, look(pool, self._address))
            self._ended.wait(INTERVAL_S)
        pool.close()


def look(pool, address):
    """Look once at a health endpoint.

    Args:
        pool: A `urllib3.HTTPConnectionPool` for the backend server.
        address: Address of the backend server.

    Returns:
        A `HealthSeen`.
    """
    try:
        answer = pool.request("GET", PATH, headers=HEADERS, preload_content=False)
        try:
            body = answer.read(BODY_LIMIT_BYTES)
        finally:
            answer.close()
    except urllib3.exceptions.NewConnectionError as error:
        return HealthSeen(address, classify_connect_error(error))
    except (urllib3.exceptions.HTTPError, OSError):
        return HealthSeen(address, Health.UNKNOWN)
    return decode_answer(address, answer.status, body)


def classify_connect_error(error):
    """Return `REFUSED` if the port refused the connection, else `UNKNOWN`."""
    refused = isinstance(error.__cause__, ConnectionRefusedError)
    return Health.REFUSED if refused else Health.UNKNOWN


def decode_answer(address, status, body):
    """Return the `HealthSeen` for an answer."""
    try:
        answer = msgspec.json.decode(body, type=HealthAnswer)
        health = Health(answer.state)
    except (msgspec.DecodeError, ValueError):
        return HealthSeen(address, Health.UNKNOWN)
    if status >= 400 and health is not Health.DRAINING:
        health = Health.UNKNOWN
    running, waiting = bound_load(answer.running), bound_load(answer.waiting)
    return HealthSeen(address, health, running, waiting, answer.slots)


def bound_load(count):
    """Return a reported count if it can be one, else None."""
    return count if count is not None and 0 <= count < 2**31 else None
