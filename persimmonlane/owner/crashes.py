"""Crashes of the local backend server.

A connection that breaks says nothing of the server; one that breaks as the process ends
does: nothing listens at its address any more, or another process has started there. All
requests that were running are implicated then.
"""

import logging
import socket
import threading
import time

from ..addresses import split_address
from ..explaining.events import RequestImplicated, log_event
from ..quarantine.fingerprints import identify_process
from ..quarantine.ledger import LedgerEntry
from .incarnations import is_same_incarnation

log = logging.getLogger("persimmonlane.owner")

# Refusals by the local machine come at once.
PROBE_TIMEOUT_S = 0.2
# An ending process may close its connections before its listener.
SECOND_PROBE_S = 0.03
# Between two probes, when many connections break.
PROBE_INTERVAL_S = 0.2
# A process that starts this shortly after connections broke has replaced one that
# crashed.
BREAK_MEMORY_S = 10.0


class RunningRequest:
    """A request that was sent to the backend server.

    Attributes:
        request_id: Identifier of the request.
        route: Name of its route.
        fingerprint: Its fingerprint.
        causes: Fingerprints of the requests that may have made it as a nested call.
        process: The `Heartbeat` of the process that it was sent to.
    """

    __slots__ = ("request_id", "route", "fingerprint", "causes", "process")

    def __init__(self, order, fingerprint, process):
        self.request_id = order.request_id
        self.route = order.route
        self.fingerprint = fingerprint
        self.causes = order.causes
        self.process = process


class BrokenRequest:
    """A `RunningRequest` whose connection broke, and when in clock seconds."""

    __slots__ = ("request", "at")

    def __init__(self, request, at):
        self.request = request
        self.at = at


class CrashObserver:
    """Tells crashes of the local backend server from broken connections; thread-safe.

    Attributes:
        on_crash: Callable that is called with the `LedgerEntry`s of a crash.
    """

    __slots__ = (
        "on_crash",
        "_clock",
        "_hosted",
        "_ledger",
        "_is_listening",
        "_lock",
        "_running",
        "_broken",
        "_ended",
        "_is_probing",
        "_probed_at",
    )

    def __init__(self, clock, hosted, ledger, is_listening):
        """Create the observer.

        Args:
            clock: Clock in seconds.
            hosted: The `HostedServer`.
            ledger: The `CrashLedger`.
            is_listening: Callable that tells whether the server's address accepts
                connections.
        """
        self.on_crash = lambda entries: None
        self._clock = clock
        self._hosted = hosted
        self._ledger = ledger
        self._is_listening = is_listening
        self._lock = threading.Condition()
        self._running = set()
        self._broken = []
        self._ended = None
        self._is_probing = False
        self._probed_at = float("-inf")

    def enter(self, order, fingerprint, process):
        """Note that a request is sent to the server.

        Args:
            order: The `Order`.
            fingerprint: Fingerprint of the request.
            process: The `Heartbeat` of the server's process.

        Returns:
            The `RunningRequest` for `leave`.
        """
        request = RunningRequest(order, fingerprint, process)
        with self._lock:
            self._running.add(request)
        return request

    def leave(self, request):
        """Note that a `RunningRequest` has ended."""
        with self._lock:
            self._running.discard(request)

    def list_running(self):
        """Return the fingerprints of the requests that run now."""
        with self._lock:
            return [request.fingerprint for request in self._running]

    def examine_break(self, request):
        """Return whether a request's connection broke as the process crashed.

        Args:
            request: The `RunningRequest`.
        """
        process = request.process
        with self._lock:
            if self._has_ended(process):
                return True
            if not self._hosted.may_crash(process):
                return False
            self._remember_break(request)
            if not self._begin_probe():
                # Another request that broke is finding out.
                self._lock.wait_for(lambda: not self._is_probing, 2 * PROBE_TIMEOUT_S)
                return self._has_ended(process)
        is_gone = not self._is_listening()
        with self._lock:
            self._is_probing = False
            self._probed_at = self._clock.now()
            if is_gone and not self._has_ended(process):
                self._note_crash(process, list(self._running))
            self._lock.notify_all()
            return self._has_ended(process)

    def note_started(self, before):
        """Handle that another process of the server has started.

        Args:
            before: The `Heartbeat` of the process before, or None.
        """
        with self._lock:
            if before is None or self._has_ended(before):
                return
            since = self._clock.now() - BREAK_MEMORY_S
            broken = [
                item.request
                for item in self._broken
                if item.at >= since
                and is_same_incarnation(item.request.process, before)
            ]
            if broken and self._hosted.ended_without_notice(before):
                self._note_crash(before, broken)

    def _has_ended(self, process):
        return self._ended is not None and is_same_incarnation(self._ended, process)

    def _remember_break(self, request):
        now = self._clock.now()
        self._broken = [item for item in self._broken if now - item.at < BREAK_MEMORY_S]
        self._broken.append(BrokenRequest(request, now))

    def _begin_probe(self):
        """Return whether the calling thread is to probe the server."""
        now = self._clock.now()
        if self._is_probing or now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._is_probing = True
        return True

    def _note_crash(self, process, requests):
        """Implicate the requests that were running as a process crashed."""
        self._ended = process
        self._hosted.note_crash(process)
        number = identify_process(process.server_id, process.born)
        now = self._clock.now()
        entries = []
        for fingerprint in list_implicated(requests):
            told = self._ledger.apply(LedgerEntry(fingerprint, number, now))
            if told is not None:
                entries.append(told)
        log.warning(
            "Owner: the process of %s has ended with %d requests running.",
            process.server_id,
            len(requests),
        )
        for request in requests:
            log_event(
                RequestImplicated(
                    request.request_id,
                    request.route,
                    process.server_id,
                    f"{request.fingerprint:016x}",
                    self._ledger.count_crashes(request.fingerprint),
                    len(requests),
                )
            )
        if entries:
            self.on_crash(entries)


def list_implicated(requests):
    """Return the fingerprints of some `RunningRequest`s and of what caused them."""
    fingerprints = {}
    for request in requests:
        for fingerprint in (request.fingerprint, *request.causes):
            fingerprints[fingerprint] = None
    return [fingerprint for fingerprint in fingerprints if fingerprint]


def is_listening(address):
    """Return whether an address accepts connections, or does not answer."""
    if is_refused(address):
        return False
    time.sleep(SECOND_PROBE_S)
    return not is_refused(address)


def is_refused(address):
    """Return whether an address refuses connections.

    One that hangs says nothing.
    """
    try:
        socket.create_connection(split_address(address), PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError as error:
        log.info("Owner: the backend server could not be probed: %s.", error)
    return False
