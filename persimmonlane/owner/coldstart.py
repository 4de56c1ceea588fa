"""Limit on the requests to a cold backend server.

A server is cold after its start, or at any other moment, and crashes if it then gets
many more requests than its service's document entry allows. Nothing says at once that
it has turned cold: heartbeats are seconds apart and may be late. So the owner counts
each request since the server was last known to be warm as one that a cold server gets,
and asks the server again before there are too many of them.
"""

import collections
import logging
import math

from ..routing.rulebook import NO_COLD_START
from .backend import LOST_AFTER_HEARTBEATS

log = logging.getLogger("persimmonlane.owner")

# A request reaches the server later than it is dispatched, by up to this time.
TRANSIT_S = 0.1
WINDOW_S = 1.0 + TRANSIT_S
# Least time between two status checks.
CHECK_INTERVAL_S = 0.1
# A status check whose result has not been noted by then has failed.
CHECK_TIMEOUT_S = 1.0
# Share of the bound that may be used before the server is asked whether it is warm.
CHECK_SHARE = 0.25
# `observe` is called each 0.1 s; after a longer gap the VM or process was suspended.
MAX_GAP_S = 0.5
# Upper bound of the dispatches that are remembered.
MAX_DISPATCHES = 1024
# Announced remaining cold time, in seconds, while it is not known whether the server
# is cold.
ASSUMED_COLD_S = 1.0
# Wait that refusals state while no document says whether the service has a rate.
UNKNOWN_RATE_WAIT_S = 0.5
# A server may say that it is cold for this much longer than the document says.
DURATION_TOLERANCE_S = 1.0


class ColdStartLimit:
    """Limits the dispatches to one backend server that may be cold; not thread-safe.

    A service without a rate in the document is not limited. All times are in seconds of
    the clock, which does not follow steps of the time of day.

    Attributes:
        start: The `ColdStart` of the server's service, or None without a document.
        is_assumed_cold: Whether the server counts as cold although it has not said so,
            until it reports that it is warm.
    """

    __slots__ = (
        "start",
        "is_assumed_cold",
        "_clock",
        "_settings",
        "_sent_at",
        "_seen_at",
        "_held_until",
        "_is_paused",
        "_resumed_at",
        "_heartbeat_at",
        "_heartbeat_until",
        "_statement_until",
        "_warm_at",
        "_checked_at",
        "_is_checking",
        "_has_logged",
    )

    def __init__(self, clock, settings=None):
        """Create it for a server that gets nothing yet.

        Args:
            clock: Clock in seconds.
            settings: The `FleetSettings`. None only where `start` keeps a `ColdStart`
                without a rate.
        """
        now = clock.now()
        self.start = NO_COLD_START
        self._clock = clock
        self._settings = settings
        self._sent_at = collections.deque(maxlen=MAX_DISPATCHES)
        self._seen_at = now
        # An earlier process of the node may just have dispatched all that is allowed.
        self._held_until = now + WINDOW_S
        self._is_paused = True
        self._resumed_at = now
        self._checked_at = -math.inf
        self.reset()

    def reset(self):
        """Forget what the server has said, since another process has started."""
        self.is_assumed_cold = True
        self._resumed_at = max(self._resumed_at, self._clock.now())
        self._heartbeat_at = -math.inf
        self._heartbeat_until = -math.inf
        self._statement_until = -math.inf
        self._warm_at = -math.inf
        self._is_checking = False
        self._has_logged = False

    @property
    def bound(self):
        """Number of requests that a cold server may get in one second, at least 1."""
        settings = self._settings
        bound = self.start.rate * settings.cold_ratio + settings.cold_slack
        return int(min(MAX_DISPATCHES, max(1.0, bound)))

    def set_start(self, start):
        """Set the `ColdStart` in force, or None while there is no document."""
        known = start is not None and self.start is not None
        if known and start.rate != self.start.rate:
            log.info("Owner: the rate while cold is %s a second.", start.rate)
        self.start = start

    def begin_pause(self):
        """Note that the server gets nothing from now on."""
        self._is_paused = True

    def end_pause(self):
        """Note that the server may get requests again; it counts as cold."""
        self._is_paused = False
        self.is_assumed_cold = True
        self._resumed_at = self._clock.now()

    def note_heartbeat(self, cold_s):
        """Note a heartbeat that superseded the earlier ones.

        One that is as late as a heartbeat may be says nothing of the time after a
        pause.

        Args:
            cold_s: Seconds for which it says that the server remains cold.
        """
        now = self._clock.now()
        self._heartbeat_at = now
        self._note_duration(cold_s)
        self._heartbeat_until = now + cold_s
        if cold_s > 0.0 or not self.is_limited() or self._is_paused:
            return
        delay_s = self._settings.heartbeat_s * LOST_AFTER_HEARTBEATS
        if now - self._resumed_at >= delay_s:
            self.is_assumed_cold = False

    def begin_check(self):
        """Return the clock time if the server is to be asked now, else None."""
        now = self.observe()
        if not self.is_limited() or self._is_paused or self._is_cold(now):
            return None
        age_s = now - self._checked_at
        if age_s < (CHECK_TIMEOUT_S if self._is_checking else CHECK_INTERVAL_S):
            return None
        if (
            not self.is_assumed_cold
            and self._count_unconfirmed() < self.bound * CHECK_SHARE
        ):
            return None
        self._checked_at = now
        self._is_checking = True
        return now

    def note_statement(self, asked_at, cold_s):
        """Note what the server has answered to a status check.

        Args:
            asked_at: Clock time that `begin_check` has returned.
            cold_s: Seconds for which it remains cold, None if it did not say.

        Returns:
            Whether it has become known that the server is cold, or that it is not.
        """
        if asked_at != self._checked_at:
            return False
        self._is_checking = False
        if cold_s is None or asked_at < self._resumed_at:
            return False
        now = self._clock.now()
        before = self._counts_as_cold(now)
        self._note_duration(cold_s)
        self._statement_until = now + cold_s
        if cold_s <= 0.0:
            # What it got while it counted as cold remains in the window.
            self._warm_at = self._warm_at if before else asked_at
            self.is_assumed_cold = False
            if self._heartbeat_at < asked_at:
                self._heartbeat_until = now
        return before != self._counts_as_cold(now)

    def note_malformed(self):
        """Log, once a process, that a status answer's time can't be read."""
        if self._has_logged:
            return
        self._has_logged = True
        log.warning(
            "Owner: the cold time in a status answer of the backend server is "
            "malformed; its heartbeats still count.",
            extra={"event": "cold-start-implausible"},
        )

    def is_limited(self):
        """Return whether the document names a rate for the service."""
        return self.start is not None and self.start.rate is not None

    def get_cold_s(self):
        """Return the seconds for which the server counts as cold, as far as known."""
        if not self.is_limited():
            return 0.0
        until = max(self._heartbeat_until, self._statement_until)
        least_s = ASSUMED_COLD_S if self.is_assumed_cold else 0.0
        return max(least_s, until - self._clock.now())

    def get_wait_s(self, ahead=0):
        """Return the seconds until a request may be dispatched, 0 if it may be now.

        Args:
            ahead: Number of requests that go first.
        """
        if self.start is None:
            return UNKNOWN_RATE_WAIT_S if self._settings.has_evacuations else 0.0
        rate = self.start.rate
        if rate is None:
            return 0.0
        now = self.observe()
        since = self._warm_at - TRANSIT_S
        wait_s = max(
            self._held_until - now,
            self._find_wait_s(now, ahead, self.bound, WINDOW_S, since),
        )
        if self._counts_as_cold(now):
            count = min(self.bound, max(1, int(rate)))
            sustained_s = self._find_wait_s(now, ahead, count, count / rate)
            wait_s = max(wait_s, sustained_s)
        return max(0.0, wait_s)

    def take(self, now):
        """Count a request that gets a slot of the server.

        Args:
            now: The clock time, by which `confirm` knows the request again.
        """
        self._sent_at.append(now)

    def confirm(self, granted_at):
        """Return whether a request may be dispatched that got its slot at a time.

        On a busy VM the request's thread may run late. The request then counts as one
        that gets its slot now.

        Args:
            granted_at: Clock time at which it got its slot.
        """
        now = self.observe()
        if not self.is_limited() or now - granted_at <= TRANSIT_S:
            return True
        if granted_at in self._sent_at:
            self._sent_at.remove(granted_at)
        since = self._warm_at - TRANSIT_S
        if self._find_wait_s(now, 0, self.bound, WINDOW_S, since) > 0.0:
            return False
        self._sent_at.append(now)
        return True

    def observe(self):
        """Return the clock time; to be called at least each 0.1 s.

        What was dispatched just before a suspension may arrive only after it, so that
        it counts as dispatched now.
        """
        now = self._clock.now()
        if now - self._seen_at > MAX_GAP_S and self._sent_at:
            since = self._seen_at - TRANSIT_S
            self._sent_at = collections.deque(
                (now if at > since else at for at in self._sent_at),
                maxlen=MAX_DISPATCHES,
            )
        self._seen_at = now
        return now

    def _find_wait_s(self, now, ahead, count, period_s, since=-math.inf):
        """Return the seconds until a dispatch keeps to a number in each period.

        Args:
            now: The clock time.
            ahead: Number of dispatches that go first.
            count: Number of dispatches allowed in each period.
            period_s: Length of the period, in seconds.
            since: Clock time up to which dispatches do not count.
        """
        periods, position = divmod(ahead, count)
        wait_s = 0.0
        if len(self._sent_at) >= count - position:
            oldest = self._sent_at[position - count]
            if oldest > since:
                wait_s = max(0.0, oldest + period_s - now)
        return wait_s + periods * period_s

    def _count_unconfirmed(self):
        """Return the number of dispatches that a cold server may have got."""
        since = max(self._warm_at - TRANSIT_S, self._seen_at - WINDOW_S)
        return sum(1 for at in self._sent_at if at > since)

    def _is_cold(self, now):
        return now < max(self._heartbeat_until, self._statement_until)

    def _counts_as_cold(self, now):
        return self.is_assumed_cold or self._is_cold(now)

    def _note_duration(self, cold_s):
        """Log a duration that the document contradicts; it is believed all the same."""
        if not self.is_limited() or self._has_logged:
            return
        if cold_s > self.start.duration_s + DURATION_TOLERANCE_S:
            self._has_logged = True
            log.warning(
                "Owner: the backend server says that it is cold for %.1f s, the "
                "document says %.1f s.",
                cold_s,
                self.start.duration_s,
                extra={"event": "cold-start-implausible"},
            )
