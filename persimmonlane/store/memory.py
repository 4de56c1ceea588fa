"""Memory store.

A key-value service in memory with faults that can be switched on; tests use it
directly and the stand-in serves it.
"""

import threading

import msgspec

from ..errors import StoreError
from .client import (
    VALUE_LIMIT_BYTES,
    Entry,
    StoreClient,
    StoreConflict,
    StoreUncertain,
)


class Faults(msgspec.Struct, kw_only=True):
    """Faults of the store.

    Attributes:
        away: Every call fails.
        delay_s: Time that every call takes, in seconds.
        lose_answers: Number of coming writes that take effect unanswered.
        stale_reads: Reads and watches see the values of the time of switching on.
        calls_per_s: Limit on calls per second; 0 means none.
    """

    away: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    stale_reads: bool = False
    calls_per_s: float = 0.0


class Lease:
    """A lease that keeps its keys until it lapses.

    Attributes:
        duration_s: Duration of one renewal in seconds.
        expires: Monotonic seconds at which it lapses.
        keys: Keys that go with it.
    """

    __slots__ = ("duration_s", "expires", "keys")

    def __init__(self, duration_s, expires):
        self.duration_s = duration_s
        self.expires = expires
        self.keys = set()


class MemoryStore(StoreClient):
    """The platform's service in memory; safe for use by several threads.

    Attributes:
        faults: The faults in effect; change them by `set_faults`.
        counts: Number of calls by method; a waiting watch counts as one.
    """

    name = "memory"
    aliases = ()
    options = ("waits",)

    def __init__(self, clock, waits=False):
        """Create an empty store.

        Args:
            clock: Clock for leases and rate limits.
            waits: Whether `watch` waits; without, it answers at once.
        """
        self.faults = Faults()
        self.counts = dict.fromkeys(
            ("get", "compare_and_swap", "grant_lease", "renew_lease", "watch"), 0
        )
        self._clock = clock
        self._waits = waits
        self._changed = threading.Condition()
        self._entries = {}
        self._stale = {}
        self._leases = {}
        self._version = 0
        self._lease_number = 0
        self._cuts = 0
        self._allowance = 0.0
        self._allowed_at = clock.now()

    def get(self, key):
        """Return the `Entry` of a key; version 0 if there is none."""
        with self._changed:
            self._begin("get")
            return self._read(key)

    def compare_and_swap(self, key, value, version, lease=None):
        """Write a key that is at a given version; see `StoreClient`."""
        with self._changed:
            self._begin("compare_and_swap")
            entry = self._write(key, value, version, lease)
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                raise StoreUncertain("the answer was lost")
            return entry

    def grant_lease(self, duration_s):
        """Return the identifier of a new lease of a duration in seconds."""
        with self._changed:
            self._begin("grant_lease")
            self._lease_number += 1
            expires = self._clock.now() + duration_s
            self._leases[self._lease_number] = Lease(duration_s, expires)
            return self._lease_number

    def renew_lease(self, lease):
        """Renew a lease; raise `StoreError` with code `lease-lapsed` if gone."""
        with self._changed:
            self._begin("renew_lease")
            held = self._get_lease(lease)
            held.expires = self._clock.now() + held.duration_s

    def watch(self, key, version, timeout_s):
        """Wait until a key is not at a version; return its `Entry`, or None."""
        deadline = self._clock.now() + timeout_s
        with self._changed:
            self._begin("watch")
            cuts = self._cuts
            while True:
                self._check_watch(cuts)
                self._lapse_due()
                entry = self._read(key)
                if entry.version != version:
                    return entry
                left = deadline - self._clock.now()
                if not self._waits or left <= 0:
                    return None
                self._changed.wait(min(left, self._until_lapse()))

    def set_faults(self, faults):
        """Put other faults into effect."""
        with self._changed:
            if faults.stale_reads and not self.faults.stale_reads:
                self._stale = dict(self._entries)
            self.faults = faults
            self._changed.notify_all()

    def lapse_lease(self, lease):
        """Let a lease lapse at once, as if its holder had been paused."""
        with self._changed:
            self._drop_lease(lease)
            self._changed.notify_all()

    def cut_watches(self):
        """End all waiting watches with an error."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    def export_entries(self):
        """Return a copy of all entries, as a back-up would."""
        with self._changed:
            return dict(self._entries)

    def restore_entries(self, entries):
        """Replace all entries by a back-up; versions go back with them."""
        with self._changed:
            self._entries = dict(entries)
            self._changed.notify_all()

    def _begin(self, method):
        self.counts[method] += 1
        if self.faults.delay_s:
            self._changed.wait_for(lambda: False, self.faults.delay_s)
        if self.faults.away:
            raise StoreError("the store is away")
        self._check_rate()
        self._lapse_due()

    def _check_rate(self):
        limit = self.faults.calls_per_s
        if not limit:
            return
        now = self._clock.now()
        earned = (now - self._allowed_at) * limit
        self._allowance = min(limit, self._allowance + earned)
        self._allowed_at = now
        if self._allowance < 1:
            raise StoreError("too many calls", code="store-throttled")
        self._allowance -= 1

    def _check_watch(self, cuts):
        if self._cuts != cuts:
            raise StoreError("the watch was cut", code="watch-cut")
        if self.faults.away:
            raise StoreError("the store is away")

    def _read(self, key):
        entries = self._stale if self.faults.stale_reads else self._entries
        return entries.get(key) or Entry(key)

    def _write(self, key, value, version, lease):
        current = self._entries.get(key) or Entry(key)
        if current.version != version:
            raise StoreConflict(current)
        if value is not None and len(value) > VALUE_LIMIT_BYTES:
            raise StoreError("the value is too large", code="value-too-large")
        if lease is not None:
            self._get_lease(lease).keys.add(key)
        self._version = max(self._version, current.version) + 1
        if value is None:
            entry = Entry(key)
            self._entries.pop(key, None)
        else:
            entry = Entry(key, bytes(value), self._version)
            self._entries[key] = entry
        self._release_key(key, lease)
        self._changed.notify_all()
        return entry

    def _release_key(self, key, keeper):
        for number, lease in self._leases.items():
            if number != keeper:
                lease.keys.discard(key)

    def _get_lease(self, number):
        lease = self._leases.get(number)
        if lease is None:
            raise StoreError("the lease has lapsed", code="lease-lapsed")
        return lease

    def _lapse_due(self):
        now = self._clock.now()
        due = [n for n, lease in self._leases.items() if lease.expires <= now]
        for number in due:
            self._drop_lease(number)

    def _until_lapse(self):
        now = self._clock.now()
        times = [lease.expires - now for lease in self._leases.values()]
        return max(0.0, min(times, default=threading.TIMEOUT_MAX))

    def _drop_lease(self, number):
        lease = self._leases.pop(number, None)
        if lease is None:
            return
        for key in lease.keys:
            self._entries.pop(key, None)
