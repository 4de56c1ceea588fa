"""Configuration part.

Keeps the document in force, spreads it to other nodes and tells subscribers of
changes.
"""

import random
from concurrent import futures

import pykka

from ..actors import Ticker
from ..application import Part
from ..membership.peers import Peer
from . import config_pb2_grpc as services
from .actor import ConfigActor
from .events import LeavingAsked, ReportReceived, SubscriptionAsked
from .jobs import Jobs
from .replica import Replica
from .shelf import Shelf
from .transport import SpreadServicer

TICK_S = 0.1
ASK_TIMEOUT_S = 0.4
DRAIN_TIMEOUT_S = 1.0


class ConfigPart(Part):
    """The configuration of one node."""

    name = "config"

    def __init__(
        self, application, settings, clock, rpc_server, channels, store, peers
    ):
        self._clock = clock
        self._shelf = Shelf()
        self._jobs = Jobs(store, channels, clock, self._shelf)
        replica = Replica(
            settings.name,
            settings.data_centre,
            clock,
            random.Random(),
            list_seeds(settings),
        )
        self._actor = ConfigActor.start(
            application, replica, settings, clock, peers, self._jobs, self._shelf
        )
        self._ticker = Ticker(self._actor, TICK_S)
        servicer = SpreadServicer(self._shelf, self._receive)
        services.add_SpreadServicer_to_server(servicer, rpc_server.server)

    def subscribe(self, actor_ref):
        """Tell an actor of the document in force and of each change."""
        self._actor.tell(SubscriptionAsked(actor_ref))

    def view(self):
        """Return the `DocumentView` in force, or None before the first."""
        return self._shelf.view

    def is_isolated(self):
        """Return whether keyed requests are to be refused now; thread-safe.

        It holds by its own deadline, also right after a pause of the process.
        """
        return self._clock.now() > self._shelf.fresh_until

    def status(self):
        """Return the `NodeStatus` of this node, or None before the first tick."""
        return self._shelf.status

    def start(self):
        """Begin to follow the document."""
        self._ticker.start()

    def drain(self):
        """Tell a few peers that this node leaves, so that it is not missed."""
        told = self._actor.ask(LeavingAsked(), timeout=ASK_TIMEOUT_S)
        futures.wait(told, DRAIN_TIMEOUT_S)

    def stop(self):
        """End all threads."""
        self._ticker.stop()
        self._jobs.stop()
        self._actor.stop(timeout=DRAIN_TIMEOUT_S)

    def _receive(self, report):
        try:
            return self._actor.ask(ReportReceived(report), timeout=ASK_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return None


def list_seeds(settings):
    """Return the seeds as `Peer`s; their addresses stand in for their names."""
    return tuple(
        Peer(address, settings.data_centre, address)
        for address in settings.seeds
        if address != settings.rpc
    )


def build_config(application, settings, clock, rpc_server, channels, store, peers):
    """Create the configuration part and add it to the application.

    Args:
        application: The `Application`.
        settings: The `NodeSettings`.
        clock: Clock in monotonic seconds.
        rpc_server: The `RpcServer`, not yet started.
        channels: The `Channels`.
        store: The store's client.
        peers: Returns a tuple of the `Peer`s heard of lately; thread-safe.
    """
    part = ConfigPart(application, settings, clock, rpc_server, channels, store, peers)
    return application.add(part)
