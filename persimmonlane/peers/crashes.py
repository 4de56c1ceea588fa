"""Spreading of what is known of crashes to all nodes.

A node that learns of a crash tells the nodes of its data centre and the relays of the
others, which tell theirs. Announcements and digests carry a number that differs where
something has got lost: then the receiver asks for all.
"""

import logging
import math

from ..quarantine.ledger import CLEARANCE, LedgerEntry
from .commands import CrashesLearned
from .digests import DS_PER_S, split
from .messages import MAX_CRASH_ENTRIES, CrashEntry, CrashQuery, CrashReport

log = logging.getLogger("persimmonlane.peers")

# Datagrams in which a node tells another one of all crashes.
MAX_REPORTS = 12
QUERY_INTERVAL_S = 0.8


class CrashSpread:
    """Sends and receives reports of crashes for one node."""

    __slots__ = (
        "_settings",
        "_clock",
        "_table",
        "_boot",
        "_ledger",
        "_transport",
        "_asked_at",
    )

    def __init__(self, settings, clock, table, boot, ledger, transport):
        """Create the spread.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            table: The `PeerTable`.
            boot: Boot number of this process.
            ledger: The `CrashLedger`.
            transport: The `DatagramTransport`.
        """
        self._settings = settings
        self._clock = clock
        self._table = table
        self._boot = boot
        self._ledger = ledger
        self._transport = transport
        self._asked_at = float("-inf")

    def publish(self, message):
        """Tell other nodes what this one has learned.

        Args:
            message: The `CrashesLearned`.
        """
        entries = self._encode(message.entries)
        for part in split(entries, MAX_CRASH_ENTRIES):
            for peer in self._list_local():
                self._send(peer.host, CrashReport(part, True))
            if not message.is_forwarded:
                for peer in self._list_remote_relays():
                    self._send(peer.host, CrashReport(part))

    def handle_report(self, report, sender):
        """Apply a `CrashReport` in the receiving thread.

        Returns:
            The `CrashesLearned` for the actor if other nodes are to be told, else None.
        """
        if not self._table.is_known_host(sender[0]):
            log.warning(
                "Peers: a report of crashes came from an unknown host.",
                extra={"event": "crash-report-forged"},
            )
            return None
        news, objections = [], []
        for received in report.entries:
            entry = self._decode(received)
            told = self._ledger.apply(entry)
            if told is entry:
                news.append(entry)
            elif told is not None:
                objections.append(told)
        if objections:
            return CrashesLearned(objections)
        # The sender has told the other nodes of its own data centre itself.
        if news and not report.is_forwarded:
            return CrashesLearned(news, True)
        return None

    def answer_query(self, _, sender):
        """Tell the sender of a `CrashQuery` all that is known."""
        if not self._table.is_known_host(sender[0]):
            return
        entries = self._encode(self._ledger.list_entries())
        for part in split(entries, MAX_CRASH_ENTRIES)[:MAX_REPORTS]:
            self._transport.send(sender, CrashReport(part, True))

    def compare(self, digest, host):
        """Ask a node for all crashes if it knows of others than this one.

        Args:
            digest: Digest of its ledger, or None from older releases.
            host: The host.
        """
        if digest is None or digest == self._ledger.digest:
            return
        now = self._clock.now()
        if now - self._asked_at >= QUERY_INTERVAL_S:
            self._asked_at = now
            self._send(host, CrashQuery(self._boot))

    def _encode(self, entries):
        now = self._clock.now()
        return [
            CrashEntry(entry.fingerprint, entry.process, encode_age(entry, now))
            for entry in entries
        ]

    def _decode(self, entry):
        at = self._clock.now() - entry.age_ds / DS_PER_S
        return LedgerEntry(entry.fingerprint, entry.process, at)

    def _list_local(self):
        return [
            peer
            for peer in self._table.list_live()
            if peer.data_centre == self._settings.data_centre and accepts_reports(peer)
        ]

    def _list_remote_relays(self):
        others = {
            peer.data_centre
            for peer in self._table.list_live()
            if peer.data_centre != self._settings.data_centre
        }
        relays = [
            self._table.peers.get(name)
            for data_centre in others
            for name in self._table.rank_relays(data_centre)
        ]
        return [peer for peer in relays if peer is not None and accepts_reports(peer)]

    def _send(self, host, message):
        self._transport.send((host, self._settings.gossip_port), message)


def accepts_reports(peer):
    """Return whether a `Peer` is of a release that knows of crash reports."""
    latest = peer.announcement
    return latest is not None and latest.crash_digest is not None


def encode_age(entry, now):
    """Return the age of a `LedgerEntry` in tenths of a second, see `CrashEntry`."""
    age_ds = max(0.0, now - entry.at) * DS_PER_S
    return math.floor(age_ds) if entry.process == CLEARANCE else math.ceil(age_ds)
