"""Configuration actor.

Owns the replica of a node: takes events, starts jobs, and tells subscribers.
"""

import logging
import random

from ..actors import Actor, Tick, tell
from .events import (
    ExchangeFailed,
    LeavingAsked,
    Pulled,
    RepairEnded,
    ReplyReceived,
    ReportReceived,
    StoreSeen,
    SubscriptionAsked,
)
from .messages import DocumentChanged, FreshnessChanged
from .replica import STORE
from .root import EMPTY_ROOT
from .shelf import NodeStatus

log = logging.getLogger("persimmonlane.config")

STORE_RETRY_S = 0.5
NO_VERSION = -1


class ConfigActor(Actor):
    """Owns the replica of this node."""

    handlers = {
        Tick: "tick",
        ReportReceived: "answer_report",
        ReplyReceived: "take_reply",
        ExchangeFailed: "take_failure",
        StoreSeen: "take_store",
        Pulled: "take_revision",
        RepairEnded: "end_repair",
        SubscriptionAsked: "subscribe",
        LeavingAsked: "leave",
    }

    def __init__(self, application, replica, settings, clock, peers, jobs, shelf):
        super().__init__(application)
        self._replica = replica
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._jobs = jobs
        self._shelf = shelf
        self._subscribers = []
        self._isolated = True
        self._store_version = NO_VERSION
        self._store_root = EMPTY_ROOT
        self._store_due = clock.now()
        self._answered = None
        self._store_answers = True
        self._watching = False
        self._pulling = False
        self._repairing = False
        self._rng = random.Random()

    def tick(self, message):
        """Do what is due."""
        self._replica.set_peers(self._peers())
        self._watch()
        self._exchange()
        self._pull()
        self._update_status()

    def answer_report(self, message):
        """Take a peer's report and return this node's."""
        self._replica.note_report(message.report)
        self._pull()
        return self._replica.make_report()

    def take_reply(self, message):
        """Take a peer's answer."""
        self._answered = message
        self._replica.hear_report(message.report, message.sent_at)
        self._pull()

    def take_failure(self, message):
        """Ask another peer."""
        self._replica.hear_failure()
        self._exchange()

    def take_store(self, message):
        """Take what the store holds and go on watching it."""
        self._watching = False
        self._note_store(message.at is not None)
        if message.at is None:
            pause = STORE_RETRY_S * self._rng.uniform(0.75, 1.25)
            self._store_due = self._clock.now() + pause
            return
        if message.root is not None:
            self._store_version = message.version
            self._store_root = message.root
        self._replica.hear_store(self._store_root, message.at)
        self._repair()
        self._pull()
        self._watch()

    def take_revision(self, message):
        """Put a fetched revision into force."""
        self._pulling = False
        snapshot = message.snapshot
        if snapshot is None:
            self._replica.drop_source(message.source)
            return
        if not self._replica.adopt(snapshot.root):
            self._replica.drop_source(message.source)
            return
        self._shelf.put(message.view, snapshot)
        if message.source == STORE:
            self._replica.hear_store(snapshot.root, message.started_at)
        log.info("Config: revision %d is in force.", message.view.revision)
        self._tell_all(DocumentChanged(message.view))
        self._update_status()
        self._exchange()
        self._pull()

    def end_repair(self, message):
        """Allow the next repair."""
        self._repairing = False

    def subscribe(self, message):
        """Tell an actor of what is in force and of each change."""
        self._subscribers.append(message.actor_ref)
        if self._shelf.view is not None:
            tell(message.actor_ref, DocumentChanged(self._shelf.view))
        tell(message.actor_ref, FreshnessChanged(self._isolated))

    def leave(self, message):
        """Tell a few peers that this node leaves."""
        self._replica.leaving = True
        report = self._replica.make_report()
        return [
            self._jobs.exchange(self.actor_ref, peer, report)
            for peer in self._replica.choose_confidants()
        ]

    def _watch(self):
        if self._watching or self._clock.now() < self._store_due:
            return
        if self._replica.wants_store():
            self._watching = True
            self._jobs.watch(self.actor_ref, self._store_version)

    def _note_store(self, answers):
        if answers == self._store_answers:
            return
        self._store_answers = answers
        if answers:
            log.info("Config: the store gives the root again.")
        else:
            log.warning("Config: the store gives no root.")

    def _exchange(self):
        chosen = self._replica.choose_exchanges()
        if not chosen:
            return
        report = self._replica.make_report()
        for peer in chosen:
            self._jobs.exchange(self.actor_ref, peer, report)

    def _pull(self):
        if self._pulling:
            return
        source = self._replica.choose_source()
        if source is None:
            return
        address = self._find_address(source)
        if source != STORE and address is None:
            self._replica.drop_source(source)
            return
        self._pulling = True
        self._jobs.pull(self.actor_ref, source, address)

    def _repair(self):
        if self._repairing or not self._replica.store_differs:
            return
        self._repairing = True
        self._jobs.repair(self.actor_ref, self._replica.root)

    def _find_address(self, name):
        # A seed may answer before the membership knows its name.
        if self._answered is not None and self._answered.report.node == name:
            return self._answered.address
        addresses = (peer.rpc for peer in self._peers() if peer.name == name)
        return next(addresses, None)

    def _update_status(self):
        isolated = self._is_isolated()
        self._shelf.status = NodeStatus(
            self._settings.name,
            self._settings.data_centre,
            self._replica.root.revision,
            self._replica.root.digest,
            self._replica.compute_lag(),
            self._replica.compute_store_age(),
            isolated,
            self._replica.is_relay(),
        )
        if isolated == self._isolated:
            return
        self._isolated = isolated
        log.info("Config: the node is %s.", "isolated" if isolated else "informed")
        self._tell_all(FreshnessChanged(isolated))

    def _is_isolated(self):
        view = self._shelf.view
        if view is None:
            return True
        until = self._replica.compute_fresh_until(view.fleet.isolation_s)
        self._shelf.fresh_until = until
        return self._clock.now() > until

    def _tell_all(self, message):
        self._subscribers = [ref for ref in self._subscribers if tell(ref, message)]
