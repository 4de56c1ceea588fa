"""Synchronisation with the store.

Runs the threads that register the node in the store, keep its document up to date and
confirm that the document is the newest version.
"""

import collections
import logging
import math
import threading

from ..application import Part
from ..errors import StoreError
from .reading import DocumentReader
from .registration import RESTORE_SPREAD_S, Registration
from .watching import RETRY_DELAY_S, DocumentWatch

log = logging.getLogger("persimmonlane.upkeep")

POLL_INTERVAL_S = 0.1
# Shortest time between two calls for the reason that other nodes know more.
ASK_INTERVAL_S = 1.0


class StoreSync(Part):
    """Keeps the node's entry, its document and the document's freshness up to date.

    Args:
        settings: The `FleetSettings`.
        clock: Clock that gives the time in seconds.
        store: The `SiteStore`.
        generations: The `GenerationTracker` of the store.
        documents: The `DocumentHolder`.
        gossip: Actor that is told of registered nodes and of the document's freshness.
        table: Table of the known nodes.
        fetch_document: Function that fetches the document from the node at an address
            and puts it into force if it is newer.
        rng: The `random.Random` that spreads the nodes' calls.
        departures: The `Departures` that the node's entry keeps.
        on_departures_read: Callable that is called with the `Departure`s that the entry
            of the node's last process held; the list may be empty.
        evacuations: The `EvacuationHolder`; None where operators evacuate no data
            centres.

    Attributes:
        registration: The `Registration`.
        watch: The `DocumentWatch`.
    """

    name = "upkeep"

    def __init__(
        self,
        settings,
        clock,
        store,
        generations,
        documents,
        gossip,
        table,
        fetch_document,
        rng,
        departures,
        on_departures_read,
        evacuations=None,
    ):
        self._clock = clock
        self._evacuations = evacuations
        self._generations = generations
        self._documents = documents
        self._table = table
        self._fetch_document = fetch_document
        self._rng = rng
        self._stopped = threading.Event()
        self._retry_at = 0.0
        self._asked_at = float("-inf")
        self._ask_at = None
        self._reader = DocumentReader(
            settings,
            clock,
            store,
            generations,
            documents,
            gossip,
            table,
            rng,
            evacuations,
        )
        self.registration = Registration(
            settings,
            store,
            generations,
            gossip,
            self._reader.is_probing_relay,
            rng,
            departures,
            on_departures_read,
        )
        self.watch = DocumentWatch(
            settings, clock, store, documents, self._reader, table
        )
        documents.add_listener(self._log_unconfirmed_time)
        # A task that fails ends the round, and the next one begins after it.
        self._tasks = collections.deque(
            [
                self._reader.run_due_probe,
                self.registration.run_due_renewal,
                self.registration.run_due_listing,
            ]
        )
        self._threads = [
            threading.Thread(target=self._run_periodic_tasks, daemon=True),
            threading.Thread(target=self._run_document_watch, daemon=True),
            threading.Thread(target=self._fetch_from_peers, daemon=True),
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Make the threads stop after the call that they are in."""
        self._stopped.set()

    def run_due_tasks(self):
        """Make the calls to the store that are due; log it if the store fails."""
        now = self._clock.now()
        must_ask = self._must_ask(now)
        if now < self._retry_at and not must_ask:
            return
        try:
            self._reader.confirm_settled()
            if must_ask:
                self._ask_for_generation(now)
            self._run_tasks(now)
        except StoreError as error:
            log.warning("Upkeep: %s.", error)
            if self._evacuations is not None:
                self._evacuations.note_unreachable(now)
            self._retry_at = now + RETRY_DELAY_S * self._rng.uniform(0.8, 1.2)
            self.registration.request_renewal()
        except Exception:
            log.exception("Upkeep: a periodic task failed.")
            self._retry_at = now + RETRY_DELAY_S

    def keep_departures(self, timeout_s):
        """Return whether the store holds what backend servers have said of leaving.

        What it lacks is written.

        Args:
            timeout_s: Longest time in seconds to wait for an answer.
        """
        try:
            return self.registration.keep_departures(self._clock.now(), timeout_s)
        except StoreError as error:
            log.warning("Upkeep: a departure was not written: %s.", error)
            return False

    def list_unkept_departures(self):
        """Return the `Departure`s that the store does not hold, as far as is known."""
        return self.registration.list_unkept_departures()

    def _run_tasks(self, now):
        for _ in range(len(self._tasks)):
            self._tasks.rotate(-1)
            self._tasks[-1](now)

    def _must_ask(self, now):
        """Return whether to call the store since other nodes say it was restored."""
        if not self._generations.is_behind():
            self._ask_at = None
            return False
        if self._ask_at is None:
            earliest = max(now, self._asked_at + ASK_INTERVAL_S)
            self._ask_at = earliest + RESTORE_SPREAD_S * self._rng.random()
        return now >= self._ask_at

    def _ask_for_generation(self, now):
        self._asked_at = now
        self._ask_at = None
        self.registration.ask_for_generation()

    def fetch_newer_document(self):
        """Fetch the document from nodes that announce a newer version.

        Waits for such nodes for a while.
        """
        asked = set()
        for source in self._documents.wait_for_sources(RETRY_DELAY_S):
            # A source may have been restarted since, and have an older version now.
            if source.stamp > self._documents.stamp and source.address not in asked:
                asked.add(source.address)
                self.fetch_from(source.address)

    def fetch_from(self, address):
        """Fetch the document from the node at an address; errors are logged."""
        try:
            self._fetch_document(address)
        except Exception:
            log.exception("Upkeep: fetching the document from %s failed.", address)

    def _log_unconfirmed_time(self, rulebook):
        """Log for how long the node could not know that there was a new version."""
        age_s = self._table.freshness.compute_age()
        if math.isfinite(age_s):
            log.info(
                "Upkeep: version %08x replaces one that was confirmed %.2f s before.",
                rulebook.version,
                age_s,
            )

    def _run_periodic_tasks(self):
        while not self._stopped.wait(POLL_INTERVAL_S):
            self.run_due_tasks()

    def _run_document_watch(self):
        pause_s = 0.0
        while not self._stopped.wait(POLL_INTERVAL_S + pause_s):
            pause_s = self.watch.wait()

    def _fetch_from_peers(self):
        while not self._stopped.is_set():
            self.fetch_newer_document()
