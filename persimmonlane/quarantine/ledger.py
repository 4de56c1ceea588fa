"""Ledger of the requests that ran on backend servers which crashed.

All requests that run on a server when it crashes are implicated, though at most one of
them is to blame. A request that runs to its end somewhere is cleared; one that several
crashes have in common is quarantined.
"""

import enum
import logging
import struct
import threading
import zlib

from .fingerprints import NO_FINGERPRINT

log = logging.getLogger("persimmonlane.quarantine")

# Crashes of different processes after which a request is quarantined.
QUARANTINE_CRASHES = 3
# Time in quarantine after the last of them; doubles with each further crash. After it,
# the request may run once more, alone.
QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0
MEMORY_S = 3600.0
# For this long after its only crash a request runs alone; after more, always.
ALONE_S = 60.0
# A request is hardly to blame for its only crash if so many other backend servers
# crashed around that time without it.
MANY_CRASHES = 2
AROUND_S = 3.0
# A request that was served this shortly before a crash is too common to have caused it.
SERVED_BEFORE_S = 10.0
MAX_CASES = 512
MAX_CRASHES_OF_CASE = 8
MAX_SERVED = 4096
MAX_PROCESSES = 256


class Standing(enum.Enum):
    """What a request may do, by what is known of its fingerprint."""

    CLEAR = "clear"
    IMPLICATED = "implicated"
    QUARANTINED = "quarantined"


class Case:
    """What is known of one fingerprint.

    Attributes:
        crashes: Clock seconds of each crash by the process that crashed.
        cleared_at: Clock seconds at which it was last known to be harmless.
    """

    __slots__ = ("crashes", "cleared_at")

    def __init__(self):
        self.crashes = {}
        self.cleared_at = float("-inf")

    def get_changed_at(self):
        """Return the clock seconds of the last thing that became known."""
        return max([self.cleared_at, *self.crashes.values()])

    def compute_quarantine_end(self):
        """Return the clock seconds at which its quarantine ends, None without one."""
        extra = len(self.crashes) - QUARANTINE_CRASHES
        if extra < 0:
            return None
        duration_s = min(MAX_QUARANTINE_S, QUARANTINE_S * 2**extra)
        return max(self.crashes.values()) + duration_s


class LedgerEntry:
    """A crash in which a request was running, or its clearance.

    Attributes:
        fingerprint: Fingerprint of the request.
        process: Number of the process that crashed; 0 for a clearance.
        at: Clock seconds.
    """

    __slots__ = ("fingerprint", "process", "at")

    def __init__(self, fingerprint, process, at):
        self.fingerprint = fingerprint
        self.process = process
        self.at = at


CLEARANCE = 0


class CrashLedger:
    """The cases that this node knows of; thread-safe and bounded.

    Attributes:
        digest: Number that is the same on nodes which know of the same crashes; 0 if
            there are none.
    """

    __slots__ = ("digest", "_clock", "_lock", "_cases", "_served", "_processes")

    def __init__(self, clock):
        self.digest = 0
        self._clock = clock
        self._lock = threading.Lock()
        self._cases = {}
        # Clock seconds at which requests were served, by fingerprint, oldest first.
        self._served = {}
        # Clock seconds at which processes crashed, oldest first.
        self._processes = {}

    def apply(self, entry):
        """Apply a `LedgerEntry` of this node or another one.

        Returns:
            The entry to tell other nodes of: the same one if it is news, a clearance if
            this node knows better, or None.
        """
        if entry.fingerprint == NO_FINGERPRINT or self._is_forgotten(entry.at):
            return None
        with self._lock:
            if entry.process == CLEARANCE:
                return entry if self._clear(entry.fingerprint, entry.at) else None
            return self._add_crash(entry)

    def note_served(self, fingerprint):
        """Note that a request ran to its end.

        Returns:
            The clearance to tell other nodes of, or None if it was not implicated.
        """
        now = self._clock.now()
        with self._lock:
            self._served.pop(fingerprint, None)
            self._served[fingerprint] = now
            if len(self._served) > MAX_SERVED:
                del self._served[next(iter(self._served))]
            case = self._cases.get(fingerprint)
            if case is None or not case.crashes:
                return None
            self._clear(fingerprint, now)
        return LedgerEntry(fingerprint, CLEARANCE, now)

    def get_standing(self, fingerprint):
        """Return the `Standing` of a request."""
        case = self._cases.get(fingerprint)
        if case is None:
            return Standing.CLEAR
        with self._lock:
            return self._judge(case)

    def must_run_alone(self, fingerprint):
        """Return whether nothing else may run on a server beside a request.

        It need not long after its only crash, or if servers crashed in numbers then.
        """
        case = self._cases.get(fingerprint)
        if case is None:
            return False
        with self._lock:
            if self._judge(case) is not Standing.IMPLICATED:
                return False
            if len(case.crashes) > 1:
                return True
            age_s = self._clock.now() - max(case.crashes.values())
            return age_s < ALONE_S and not self._is_one_of_many(case)

    def count_crashes(self, fingerprint):
        """Return the number of crashes in which a request was running."""
        with self._lock:
            case = self._cases.get(fingerprint)
            return len(case.crashes) if case is not None else 0

    def get_quarantine_s(self, fingerprint):
        """Return the seconds until the quarantine of a request ends, 0 without one."""
        with self._lock:
            case = self._cases.get(fingerprint)
            end = case.compute_quarantine_end() if case is not None else None
            return max(0.0, end - self._clock.now()) if end is not None else 0.0

    def list_entries(self):
        """Return all `LedgerEntry`s, the newest first; forgets the oldest ones."""
        with self._lock:
            self._forget_old()
            entries = []
            for fingerprint, case in self._cases.items():
                if case.cleared_at > float("-inf"):
                    entries.append(LedgerEntry(fingerprint, CLEARANCE, case.cleared_at))
                for process, at in case.crashes.items():
                    entries.append(LedgerEntry(fingerprint, process, at))
        return sorted(entries, key=lambda entry: entry.at, reverse=True)

    def forget_old(self):
        """Forget the cases whose time is over."""
        with self._lock:
            self._forget_old()

    def _is_forgotten(self, at):
        return at < self._clock.now() - MEMORY_S

    def _add_crash(self, entry):
        fingerprint = entry.fingerprint
        case = self._cases.get(fingerprint)
        if case is not None and (
            entry.process in case.crashes or entry.at <= case.cleared_at
        ):
            return None
        if self._was_served_before(fingerprint, entry.at):
            self._clear(fingerprint, entry.at)
            return LedgerEntry(fingerprint, CLEARANCE, entry.at)
        if case is None:
            case = self._cases[fingerprint] = Case()
        case.crashes[entry.process] = entry.at
        self._note_process(entry)
        self._toggle(fingerprint, entry.process)
        self._limit_crashes(fingerprint, case)
        self._log_standing(fingerprint, case)
        self._limit_cases()
        return entry

    def _clear(self, fingerprint, at):
        """Clear a request of the crashes until a time; return whether that is news."""
        case = self._cases.get(fingerprint)
        if case is None:
            case = self._cases[fingerprint] = Case()
        elif at <= case.cleared_at:
            return False
        had_crashes = bool(case.crashes)
        case.cleared_at = at
        for process in [key for key, time in case.crashes.items() if time <= at]:
            del case.crashes[process]
            self._toggle(fingerprint, process)
        self._limit_cases()
        return had_crashes

    def _judge(self, case):
        now = self._clock.now()
        if not case.crashes or now - max(case.crashes.values()) > MEMORY_S:
            return Standing.CLEAR
        end = case.compute_quarantine_end()
        if end is not None and now < end:
            return Standing.QUARANTINED
        return Standing.IMPLICATED

    def _is_one_of_many(self, case):
        (at,) = case.crashes.values()
        others = [
            time
            for process, time in self._processes.items()
            if process not in case.crashes and abs(time - at) < AROUND_S
        ]
        return len(others) >= MANY_CRASHES

    def _note_process(self, entry):
        self._processes.setdefault(entry.process, entry.at)
        while len(self._processes) > MAX_PROCESSES:
            del self._processes[next(iter(self._processes))]

    def _was_served_before(self, fingerprint, at):
        served_at = self._served.get(fingerprint)
        return served_at is not None and served_at >= at - SERVED_BEFORE_S

    def _limit_crashes(self, fingerprint, case):
        while len(case.crashes) > MAX_CRASHES_OF_CASE:
            oldest = min(case.crashes, key=case.crashes.get)
            del case.crashes[oldest]
            self._toggle(fingerprint, oldest)

    def _limit_cases(self):
        """Forget the oldest case if there are too many; a quarantined one last."""
        if len(self._cases) <= MAX_CASES:
            return
        quarantined = Standing.QUARANTINED
        oldest = min(
            self._cases,
            key=lambda key: (
                self._judge(self._cases[key]) is quarantined,
                self._cases[key].get_changed_at(),
            ),
        )
        self._remove(oldest)

    def _forget_old(self):
        for fingerprint, case in list(self._cases.items()):
            if self._is_forgotten(case.get_changed_at()):
                self._remove(fingerprint)

    def _remove(self, fingerprint):
        for process in self._cases.pop(fingerprint).crashes:
            self._toggle(fingerprint, process)

    def _toggle(self, fingerprint, process):
        """Add a crash to the digest, or take it out."""
        self.digest ^= zlib.crc32(struct.pack(">QQ", fingerprint, process))

    def _log_standing(self, fingerprint, case):
        if self._judge(case) is Standing.QUARANTINED:
            log.warning(
                "Quarantine: requests with fingerprint %016x are refused, as %d "
                "backend servers crashed while one was running.",
                fingerprint,
                len(case.crashes),
                extra={"event": "request-quarantined"},
            )
