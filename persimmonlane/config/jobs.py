"""Jobs.

Calls of the configuration actor that may block, carried out in other threads.
"""

import logging
from concurrent import futures

from ..actors import tell
from ..errors import PersimmonError, StoreError
from .events import ExchangeFailed, Pulled, RepairEnded, ReplyReceived, StoreSeen
from .loading import load_snapshot
from .parts import join_document
from .repair import repair_store
from .replica import STORE
from .root import ROOT_KEY
from .transport import SpreadClient
from .view import DocumentView

log = logging.getLogger("persimmonlane.config")

WATCH_S = 1.0
PEER_THREADS = 4


class Jobs:
    """Calls that may block, each told to the actor when it ends.

    The store has a thread of its own, because a watch waits.
    """

    __slots__ = ("_store", "_client", "_clock", "_shelf", "_watcher", "_workers")

    def __init__(self, store, channels, clock, shelf):
        self._store = store
        self._client = SpreadClient(channels)
        self._clock = clock
        self._shelf = shelf
        self._watcher = futures.ThreadPoolExecutor(1, "config-store")
        self._workers = futures.ThreadPoolExecutor(PEER_THREADS, "config-peers")

    def watch(self, actor_ref, version):
        """Wait for the root to leave a version; tells `StoreSeen`."""
        self._watcher.submit(self._watch, actor_ref, version)

    def exchange(self, actor_ref, peer, report):
        """Exchange reports with a peer; returns the future."""
        return self._workers.submit(self._exchange, actor_ref, peer, report)

    def pull(self, actor_ref, source, address):
        """Fetch a newer revision and build its view; tells `Pulled`."""
        self._workers.submit(self._pull, actor_ref, source, address)

    def repair(self, actor_ref, root):
        """Bring the store up to a root; tells `RepairEnded`."""
        self._workers.submit(self._repair, actor_ref, root)

    def stop(self):
        """Stop taking jobs; a waiting watch ends by itself."""
        self._watcher.shutdown(wait=False, cancel_futures=True)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _watch(self, actor_ref, version):
        started = self._clock.now()
        try:
            entry = self._store.watch(ROOT_KEY, version, WATCH_S)
        except StoreError as error:
            log.debug("Config: the store can't be watched: %s.", error)
            tell(actor_ref, StoreSeen(None, None))
            return
        at = started
        if entry is None:
            at = min(self._clock.now(), started + WATCH_S)
        tell(actor_ref, StoreSeen(entry, at))

    def _exchange(self, actor_ref, peer, report):
        sent_at = self._clock.now()
        try:
            answer = self._client.exchange(peer.rpc, report)
        except PersimmonError:
            tell(actor_ref, ExchangeFailed())
            return
        tell(actor_ref, ReplyReceived(answer, peer.rpc, sent_at))

    def _pull(self, actor_ref, source, address):
        started = self._clock.now()
        held = self._shelf.snapshot.contents
        try:
            if source == STORE:
                snapshot = load_snapshot(self._store, held)
            else:
                snapshot = self._client.fetch_snapshot(address, held)
            view = build_view(snapshot, self._shelf.view)
        except PersimmonError as error:
            log.warning("Config: a newer revision can't be fetched: %s.", error)
            tell(actor_ref, Pulled(source, None, None, started))
            return
        tell(actor_ref, Pulled(source, snapshot, view, started))

    def _repair(self, actor_ref, root):
        try:
            repair_store(self._store, root, self._shelf.find_part)
        except PersimmonError as error:
            log.warning("Config: the store can't be repaired: %s.", error)
        except KeyError:
            log.info("Config: the repair was overtaken by a newer revision.")
        tell(actor_ref, RepairEnded())


def build_view(snapshot, previous=None):
    """Return the view of a fetched revision.

    Args:
        snapshot: The `Snapshot`.
        previous: The view before it; what is the same is taken over.
    """
    root = snapshot.root
    earlier = previous.document if previous else None
    document = join_document(root.parts, snapshot.contents, earlier)
    return DocumentView(document, root.revision, root.digest, previous)
