"""Hedged requests.

An idempotent request that takes unusually long is sent to a second backend server while
the first attempt goes on. This covers backend servers that hang on some requests.
"""

import copy
import logging
import select
import threading

from ..owner.health import HealthState
from ..signals import PollableEvent
from .callers import CallerDisconnected

log = logging.getLogger("persimmonlane.serving")

# A hedge starts once at most this share of successful requests take longer.
SURVIVAL_LIMIT = 0.15
# The same if the first attempt is at a backend server that is not known to be healthy.
UNHEALTHY_SURVIVAL_LIMIT = 0.6
POLL_INTERVAL_S = 0.05
# No hedge is made if less than this share of the typical time is left.
MIN_TIME_LEFT_SHARE = 0.7
# A request whose deadline leaves time for one more attempt only, in typical times, is
# hedged as soon as at most this share of successful requests take longer.
LAST_CHANCE_SHARE = 1.8
LAST_CHANCE_SURVIVAL_LIMIT = 0.4


class Superseded(Exception):
    """The other attempt has succeeded, or this one was cancelled."""


class AttemptWatch:
    """Ends an attempt early if the caller disconnects or the other attempt succeeds.

    Attributes:
        signal: The `PollableEvent` that ends the attempt, or None while there is no
            other attempt. It changes only between two waits.
    """

    __slots__ = ("signal", "_caller")

    def __init__(self, caller, signal=None):
        self.signal = signal
        self._caller = caller

    def wait(self, backend, timeout_s):
        """Return whether the backend socket became readable within the timeout.

        Args:
            backend: The socket to wait for.
            timeout_s: Longest time to wait, in seconds.

        Raises:
            CallerDisconnected: If the caller closed its connection meanwhile.
            Superseded: If the attempt is no longer needed.
        """
        if self._caller is not None:
            if self._caller.wait(backend, timeout_s, self.signal):
                return True
        else:
            poll = select.poll()
            poll.register(backend, select.POLLIN)
            poll.register(self.signal, select.POLLIN)
            ready = {number for number, _ in poll.poll(max(1, int(timeout_s * 1000)))}
            if backend.fileno() in ready:
                return True
        self._check_signal()
        return False

    def check(self):
        """Check for an early end without waiting.

        Raises:
            CallerDisconnected: If the caller closed its connection.
            Superseded: If the attempt is no longer needed.
        """
        if self._caller is not None:
            self._caller.check()
        self._check_signal()

    def _check_signal(self):
        if self.signal is not None and self.signal.is_set():
            raise Superseded


class Hedge:
    """The second attempt of one request, run in its own thread.

    Attributes:
        watch: The `AttemptWatch` of the first attempt.
        started: Whether the second attempt has started.
        outcome: Its `Attempt`, or None while it runs or if no server accepted it.
    """

    __slots__ = (
        "watch",
        "started",
        "outcome",
        "_ingress",
        "_request",
        "_latency",
        "_candidate",
        "_first_started_at",
        "_succeeded",
        "_cancelled",
        "_finished",
        "_thread",
        "_abandoned",
    )

    def __init__(self, ingress, request, candidate, latency, now):
        self.started = False
        self.outcome = None
        self._ingress = ingress
        self._request = request
        self._latency = latency
        self._candidate = candidate
        self._first_started_at = now
        # Each takes a descriptor, so they are there only once it has started.
        self._succeeded = self._cancelled = self._finished = None
        self._thread = None
        self._abandoned = False
        self.watch = AttemptWatch(request.caller)

    def poll(self, clock):
        """Start the second attempt if it is due; return the seconds to the next call.

        Args:
            clock: Clock in seconds.
        """
        return self.start_if_due(clock.now())

    def start_if_due(self, now):
        """Start the second attempt if it is due.

        Args:
            now: Current time, in seconds.

        Returns:
            Seconds until the next call.
        """
        if self.started or self._abandoned:
            return 1.0
        survival = self._latency.compute_survival(now - self._first_started_at)
        left_s = self._request.deadline - now
        if survival > self._get_survival_limit(left_s):
            return POLL_INTERVAL_S
        if left_s < self._latency.estimate_mean() * MIN_TIME_LEFT_SHARE:
            self._abandoned = True
            return 1.0
        if not self._ingress.acquire_hedge(self._request):
            return POLL_INTERVAL_S
        self.started = True
        self._succeeded = self.watch.signal = PollableEvent()
        self._cancelled = PollableEvent()
        self._finished = PollableEvent()
        # The second attempt may still be prepared once the first one was answered and
        # the request's body is dropped.
        self._request = copy.copy(self._request)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return 1.0

    def wait_for_outcome(self):
        """Wait for the second attempt to finish, after the first has failed.

        Returns:
            Its `Attempt`, or None if no server accepted it.

        Raises:
            CallerDisconnected: If the caller closed its connection.
            NodeShutdown: If the node stops first.
        """
        while not self._finished.is_set():
            self._request.caller.wait(self._finished, POLL_INTERVAL_S)
        return self.outcome

    def close(self):
        """Cancel the second attempt and close its signals."""
        if self._thread is None:
            return
        self._cancelled.set()
        if self._finished.is_set():
            self._close_signals()
        else:
            # Join in the background so that the caller's answer is not delayed.
            threading.Thread(target=self._join, daemon=True).start()

    def _join(self):
        self._thread.join()
        self._close_signals()

    def _close_signals(self):
        for signal in (self._succeeded, self._cancelled, self._finished):
            signal.close()

    def _get_survival_limit(self, left_s):
        """Return the share of slower successful requests from which on to hedge."""
        if self._is_unhealthy():
            return UNHEALTHY_SURVIVAL_LIMIT
        if left_s < self._latency.estimate_mean() * LAST_CHANCE_SHARE:
            return LAST_CHANCE_SURVIVAL_LIMIT
        return SURVIVAL_LIMIT

    def _is_unhealthy(self):
        peer = self._candidate.peer
        server = self._candidate.server
        if (
            peer is not None
            and peer.announcement is not None
            and peer.announcement.server is not None
        ):
            server = peer.announcement.server
        return server.standing != HealthState.HEALTHY.value

    def _run(self):
        try:
            self.outcome = self._ingress.run_hedge(
                self._request,
                AttemptWatch(None, self._cancelled),
                self._candidate.server.server_id,
            )
        except (Superseded, CallerDisconnected):
            return
        except Exception:
            log.exception("Serving: a hedged attempt failed.")
        finally:
            if self.outcome is not None and self.outcome.is_success():
                self._succeeded.set()
            self._finished.set()
