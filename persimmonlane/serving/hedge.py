"""Hedge.

A second attempt of an idempotent request beside the first, once that takes too long.
Answers backend servers that hang some of their requests.
"""

import logging
import select
import threading

from ..owner.standing import Standing
from ..signals import Signal
from .callers import CallerLeft

log = logging.getLogger("persimmonlane.serving")

# The second attempt begins once only this share of sound requests run longer.
HEDGE_SURVIVAL = 0.15
# The same at a backend server that is not known to be sound.
DOUBT_SURVIVAL = 0.6
LOOK_S = 0.05
# The second attempt needs this share of the usual time at least.
LEAST_TIME_SHARE = 0.7


class Superseded(Exception):
    """The other attempt has the answer."""


class AttemptWatch:
    """Watches the caller, if there is one, and the other attempt."""

    __slots__ = ("_caller", "_signal")

    def __init__(self, caller, signal):
        self._caller = caller
        self._signal = signal

    def wait(self, backend, timeout_s):
        """Return whether the backend socket became readable in time.

        Raises:
            CallerLeft: If the caller closed its connection meanwhile.
            Superseded: If the other attempt has the answer.
        """
        if self._caller is not None:
            if self._caller.wait(backend, timeout_s, self._signal):
                return True
        else:
            poll = select.poll()
            poll.register(backend, select.POLLIN)
            poll.register(self._signal, select.POLLIN)
            ready = {number for number, _ in poll.poll(max(1, int(timeout_s * 1000)))}
            if backend.fileno() in ready:
                return True
        self._check_signal()
        return False

    def check(self):
        """Look without waiting.

        Raises:
            CallerLeft: If the caller closed its connection.
            Superseded: If the other attempt has the answer.
        """
        if self._caller is not None:
            self._caller.check()
        self._check_signal()

    def _check_signal(self):
        if self._signal.is_set():
            raise Superseded


class Hedge:
    """The second attempt of one request.

    Attributes:
        watch: The `AttemptWatch` of the first attempt.
        started: Whether the second attempt has begun.
        outcome: Its `Attempt`, or None while it runs or if nobody took it.
    """

    __slots__ = (
        "watch",
        "started",
        "outcome",
        "_ingress",
        "_request",
        "_times",
        "_candidate",
        "_began",
        "_won",
        "_cancelled",
        "_ended",
        "_thread",
        "_give_up",
    )

    def __init__(self, ingress, request, candidate, times, now):
        self.started = False
        self.outcome = None
        self._ingress = ingress
        self._request = request
        self._times = times
        self._candidate = candidate
        self._began = now
        self._won = Signal()
        self._cancelled = Signal()
        self._ended = Signal()
        self._thread = None
        self._give_up = False
        self.watch = AttemptWatch(request.caller, self._won)

    def check(self, now):
        """Begin the second attempt if it is time; return seconds until the next look.

        Args:
            now: Seconds.
        """
        if self.started or self._give_up:
            return 1.0
        survival = self._times.find_survival(now - self._began)
        limit = DOUBT_SURVIVAL if self._is_doubtful() else HEDGE_SURVIVAL
        if survival > limit:
            return LOOK_S
        left_s = self._request.deadline - now
        if left_s < self._times.find_typical() * LEAST_TIME_SHARE:
            self._give_up = True
            return 1.0
        if not self._ingress.take_hedge(self._request):
            return LOOK_S
        self.started = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return 1.0

    def await_outcome(self):
        """Wait for the second attempt, after the first has failed.

        Raises:
            CallerLeft: If the caller went away.
        """
        while not self._ended.is_set():
            self._request.caller.wait(self._ended, LOOK_S)
        return self.outcome

    def close(self):
        """Cancel the second attempt and release what it holds."""
        if self._thread is None:
            self._release()
            return
        self._cancelled.set()
        if self._ended.is_set():
            self._release()
        else:
            # The attempt ends within a moment; the caller's answer need not wait.
            threading.Thread(target=self._reap, daemon=True).start()

    def _reap(self):
        self._thread.join()
        self._release()

    def _release(self):
        for signal in (self._won, self._cancelled, self._ended):
            signal.close()

    def _is_doubtful(self):
        peer = self._candidate.peer
        server = self._candidate.server
        if peer is not None and peer.news is not None and peer.news.server is not None:
            server = peer.news.server
        return server.standing != Standing.SOUND.value

    def _run(self):
        try:
            self.outcome = self._ingress.run_hedge(
                self._request,
                AttemptWatch(None, self._cancelled),
                self._candidate.server.server_id,
            )
        except (Superseded, CallerLeft):
            return
        except Exception:
            log.exception("Serving: a second attempt failed.")
        finally:
            if self.outcome is not None and self.outcome.is_success():
                self._won.set()
            self._ended.set()
