"""Jobs.

Calls of the configuration actor that may block, carried out in other threads.
"""

import logging
from concurrent import futures

from ..actors import tell
from ..errors import PersimmonError
from .events import ExchangeFailed, Pulled, RepairEnded, ReplyReceived, StoreSeen
from .loading import load_snapshot
from .parts import join_document
from .repair import repair_store
from .replica import STORE
from .root import ROOT_KEY, read_root
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
        failure = StoreSeen(None, None, None)
        self._watcher.submit(run_job, actor_ref, failure, self._watch, version)

    def exchange(self, actor_ref, peer, report):
        """Exchange reports with a peer; returns the future."""
        return self._workers.submit(
            run_job, actor_ref, ExchangeFailed(), self._exchange, peer, report
        )

    def pull(self, actor_ref, source, address):
        """Fetch a newer revision and build its view; tells `Pulled`."""
        failure = Pulled(source, None, None, None)
        self._workers.submit(run_job, actor_ref, failure, self._pull, source, address)

    def repair(self, actor_ref, root):
        """Bring the store up to a root; tells `RepairEnded`."""
        failure = RepairEnded()
        self._workers.submit(run_job, actor_ref, failure, self._repair, root)

    def stop(self):
        """Stop taking jobs; a waiting watch ends by itself."""
        self._watcher.shutdown(wait=False, cancel_futures=True)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _watch(self, version):
        started = self._clock.now()
        entry = self._store.watch(ROOT_KEY, version, WATCH_S)
        if entry is None:
            return StoreSeen(None, None, min(self._clock.now(), started + WATCH_S))
        return StoreSeen(read_root(entry), entry.version, started)

    def _exchange(self, peer, report):
        sent_at = self._clock.now()
        answer = self._client.exchange(peer.rpc, report)
        return ReplyReceived(answer, peer.rpc, sent_at)

    def _pull(self, source, address):
        started = self._clock.now()
        held = self._shelf.snapshot.contents
        if source == STORE:
            snapshot = load_snapshot(self._store, held)
        else:
            snapshot = self._client.fetch_snapshot(address, held)
        view = build_view(snapshot, self._shelf.view)
        return Pulled(source, snapshot, view, started)

    def _repair(self, root):
        repair_store(self._store, root, self._shelf.find_part)
        return RepairEnded()


def run_job(actor_ref, failure, work, *arguments):
    """Tell an actor the result of a call.

    Args:
        actor_ref: The actor.
        failure: Message to tell if the call fails; the actor waits for one.
        work: The call.
        *arguments: Its arguments.
    """
    try:
        message = work(*arguments)
    except PersimmonError as error:
        log.debug("Config: a call failed: %s.", error)
        message = failure
    except Exception:
        log.exception("Config: a job failed.")
        message = failure
    tell(actor_ref, message)


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
