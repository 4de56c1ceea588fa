"""Freshness of the document in force.

Tracks when the document was last confirmed as the newest, from the store and from what
other nodes report of their own documents.
"""

import threading

MAX_SEND_TIMES = 256


class SendTimes:
    """Send times of this node's recent datagrams, which other nodes echo.

    What a datagram reports was true after the datagram that it echoes was sent. Ages
    counted from that send time can't be made to look smaller by a delay on the way.
    """

    __slots__ = ("_boot", "_clock", "_sent_at")

    def __init__(self, boot, clock):
        self._boot = boot
        self._clock = clock
        self._sent_at = {}

    def record(self, sequence):
        """Record the current time as the send time of a sequence number."""
        self._sent_at[sequence] = self._clock.now()
        while len(self._sent_at) > MAX_SEND_TIMES:
            self._sent_at.pop(next(iter(self._sent_at)))

    def find(self, echo, echo_boot):
        """Return the clock seconds at which an echoed datagram was sent, or None.

        Args:
            echo: The echoed sequence number.
            echo_boot: Boot number of the process that sent it.
        """
        if echo_boot != self._boot:
            return None
        return self._sent_at.get(echo)


class ConfirmedVersion:
    """A version of the document that was confirmed as the newest.

    Attributes:
        version: Number of the version.
        confirmed_at: Clock seconds at which it was the newest.
    """

    __slots__ = ("version", "confirmed_at")

    def __init__(self, version, confirmed_at):
        self.version = version
        self.confirmed_at = confirmed_at


class DocumentFreshness:
    """When the document in force was known to be the newest; thread-safe.

    Attributes:
        confirmed_at: Clock seconds at which the document in force was last confirmed as
            the newest, or None.
    """

    __slots__ = ("confirmed_at", "_clock", "_lock", "_unapplied_version")

    def __init__(self, clock):
        self.confirmed_at = None
        self._clock = clock
        self._lock = threading.RLock()
        self._unapplied_version = None

    def mark(self, at):
        """Record that the document in force was the newest at a time in seconds."""
        with self._lock:
            if self.confirmed_at is None or at > self.confirmed_at:
                self.confirmed_at = at

    def mark_version(self, version, at, in_force):
        """Record that a version was the newest at a time.

        Versions only increase, so a newer version in force was at least as fresh at
        that time. If the version in force is older, the time is kept and applied once
        the version comes into force.

        Args:
            version: Number of the version.
            at: Clock seconds at which it was the newest.
            in_force: Number of the version in force.
        """
        with self._lock:
            if version <= in_force:
                self.mark(at)
            elif (
                self._unapplied_version is None
                or at > self._unapplied_version.confirmed_at
            ):
                self._unapplied_version = ConfirmedVersion(version, at)

    def apply_version_in_force(self, version):
        """Apply a kept confirmation if the version in force has reached it."""
        with self._lock:
            unapplied = self._unapplied_version
            if unapplied is not None and unapplied.version <= version:
                self.mark(unapplied.confirmed_at)
                self._unapplied_version = None

    def compute_age(self):
        """Return the seconds since the document was last confirmed as the newest.

        The age is infinite if the document was never confirmed.
        """
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.now() - self.confirmed_at

    def encode_age(self):
        """Return the age in seconds as sent to peers: -1.0 if it is not known."""
        age_s = self.compute_age()
        return age_s if age_s != float("inf") else -1.0
