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


class ConfirmedDocument:
    """A document that was confirmed as the newest.

    Attributes:
        stamp: Its `DocumentStamp`.
        confirmed_at: Clock seconds at which it was the newest.
    """

    __slots__ = ("stamp", "confirmed_at")

    def __init__(self, stamp, confirmed_at):
        self.stamp = stamp
        self.confirmed_at = confirmed_at


class DocumentFreshness:
    """When the document in force was known to be the newest; thread-safe.

    Attributes:
        confirmed_at: Clock seconds at which the document in force was last confirmed as
            the newest, or None.
    """

    __slots__ = ("confirmed_at", "_clock", "_lock", "_unapplied")

    def __init__(self, clock):
        self.confirmed_at = None
        self._clock = clock
        self._lock = threading.RLock()
        self._unapplied = None

    def mark(self, at):
        """Record that the document in force was the newest at a time in seconds."""
        with self._lock:
            if self.confirmed_at is None or at > self.confirmed_at:
                self.confirmed_at = at

    def mark_document(self, stamp, at, in_force):
        """Record that a document was the newest at a time.

        If a newer one is in force, it was at least as fresh at that time, unless the
        store was restored in between. If the document in force is older, the time is
        kept and applied once the document comes into force.

        Args:
            stamp: The `DocumentStamp` of the document.
            at: Clock seconds at which it was the newest.
            in_force: The `DocumentStamp` of the document in force.
        """
        with self._lock:
            if in_force.covers(stamp):
                self.mark(at)
            elif stamp > in_force and (
                self._unapplied is None or at > self._unapplied.confirmed_at
            ):
                self._unapplied = ConfirmedDocument(stamp, at)

    def apply_document_in_force(self, in_force):
        """Apply a kept confirmation if it holds for the document in force.

        Args:
            in_force: The `DocumentStamp` of the document in force.
        """
        with self._lock:
            unapplied = self._unapplied
            if unapplied is not None and in_force.covers(unapplied.stamp):
                self.mark(unapplied.confirmed_at)
                self._unapplied = None

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
