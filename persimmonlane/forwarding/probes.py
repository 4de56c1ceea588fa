"""Probes.

Asks backend servers for an answer on a new connection.
"""

import logging
from concurrent import futures

import urllib3
import urllib3.connection

from ..actors import tell
from ..settings import split_address
from .traffic import ProbeEnded

log = logging.getLogger("persimmonlane.forwarding")

PROBE_PATH = "/health"
PROBE_TIMEOUT_S = 1.0
PROBE_THREADS = 4
GOOD_STATUS = 200


class Prober:
    """Runs probes on a few threads of its own."""

    __slots__ = ("_clock", "_traffic", "_executor")

    def __init__(self, clock, traffic):
        self._clock = clock
        self._traffic = traffic
        self._executor = futures.ThreadPoolExecutor(PROBE_THREADS)

    def probe(self, service, address):
        """Begin a probe; the traffic actor is told its end."""
        self._executor.submit(self._run, service, address)

    def stop(self):
        """Give up probes that have not begun."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, service, address):
        started = self._clock.now()
        ok = ask_health(address)
        latency_s = self._clock.now() - started
        tell(self._traffic, ProbeEnded(service, address, ok, latency_s))


def ask_health(address):
    """Return whether a backend server answers a probe with success."""
    host, port = split_address(address)
    connection = urllib3.connection.HTTPConnection(host, port, timeout=PROBE_TIMEOUT_S)
    try:
        connection.request("GET", PROBE_PATH)
        return connection.getresponse().status == GOOD_STATUS
    except (OSError, urllib3.exceptions.HTTPError):
        return False
    finally:
        connection.close()
