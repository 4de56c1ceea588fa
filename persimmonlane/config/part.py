"""Configuration part.

Keeps the document in force and tells its subscribers of changes.
"""

import logging
import threading

import pykka

from ..application import Part
from ..errors import PersimmonError
from .loading import load_snapshot
from .messages import DocumentChanged, FreshnessChanged
from .parts import join_document
from .root import ROOT_KEY
from .view import DocumentView

log = logging.getLogger("persimmonlane.config")

WATCH_S = 1.0
RETRY_S = 0.25


class ConfigPart(Part):
    """The configuration of one node."""

    name = "config"

    def __init__(self, application, store):
        self._application = application
        self._store = store
        self._subscribers = []
        self._lock = threading.Lock()
        self._view = None
        self._contents = {}
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def subscribe(self, actor_ref):
        """Tell an actor of the document in force and of each change."""
        with self._lock:
            self._subscribers.append(actor_ref)
            view = self._view
        if view is not None:
            actor_ref.tell(DocumentChanged(view))
            actor_ref.tell(FreshnessChanged(False))

    def view(self):
        """Return the `DocumentView` in force, or None before the first."""
        return self._view

    def start(self):
        """Begin to follow the document."""
        self._thread.start()

    def stop(self):
        """End the thread."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        version = -1
        while not self._ended.is_set():
            try:
                entry = self._store.watch(ROOT_KEY, version, WATCH_S)
                if entry is not None:
                    self._take(load_snapshot(self._store, self._contents))
                    version = entry.version
            except PersimmonError as error:
                log.warning("Config: the store failed: %s.", error)
                self._ended.wait(RETRY_S)

    def _take(self, snapshot):
        root = snapshot.root
        present = self._view.revision if self._view else 0
        if root.revision <= present:
            return
        document = join_document(root.parts, snapshot.contents)
        view = DocumentView(document, root.revision, root.digest)
        with self._lock:
            self._view = view
            self._contents = snapshot.contents
            subscribers = list(self._subscribers)
        for actor_ref in subscribers:
            self._tell(actor_ref, DocumentChanged(view))
            self._tell(actor_ref, FreshnessChanged(False))
        log.info("Config: revision %d is in force.", view.revision)

    def _tell(self, actor_ref, message):
        try:
            actor_ref.tell(message)
        except pykka.ActorDeadError:
            return


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
    return application.add(ConfigPart(application, store))
