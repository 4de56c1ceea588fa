"""Store stand-in.

Serves a `MemoryStore` over gRPC in the place of the platform's service, with a
control service that switches faults.
"""

import signal
import threading
from concurrent import futures

import grpc

from ..clocks import SystemClock
from ..errors import StoreError
from ..store.client import StoreConflict, StoreUncertain
from ..store.memory import Faults, MemoryStore
from . import store_pb2 as messages
from . import store_pb2_grpc as services

SERVER_THREADS = 64
CODE_HEADER = "store-code"
MESSAGE_LIMIT_BYTES = 2 * 1024 * 1024
OPTIONS = (
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.so_reuseport", 0),
)


class StoreServicer(services.StoreServicer):
    """Answers the calls of the store's clients."""

    def __init__(self, store):
        self._store = store

    def Get(self, request, context):  # noqa: N802
        """Return the entry of a key."""
        with failing(context):
            return encode_entry(self._store.get(request.key))

    def CompareAndSwap(self, request, context):  # noqa: N802
        """Write a key that is at a given version."""
        value = None if request.delete else request.value
        with failing(context):
            try:
                entry = self._store.compare_and_swap(
                    request.key, value, request.version, request.lease or None
                )
            except StoreConflict as conflict:
                entry = encode_entry(conflict.entry)
                return messages.SwapReply(entry=entry, conflict=True)
            return messages.SwapReply(entry=encode_entry(entry))

    def GrantLease(self, request, context):  # noqa: N802
        """Grant a lease."""
        with failing(context):
            lease = self._store.grant_lease(request.duration_s)
            return messages.LeaseReply(lease=lease)

    def RenewLease(self, request, context):  # noqa: N802
        """Renew a lease."""
        with failing(context):
            self._store.renew_lease(request.lease)
            return messages.LeaseReply(lease=request.lease)

    def Watch(self, request, context):  # noqa: N802
        """Wait until a key is not at a version."""
        with failing(context):
            entry = self._store.watch(request.key, request.version, request.timeout_s)
            if entry is None:
                return messages.EntryReply(key=request.key, unchanged=True)
            return encode_entry(entry)


class StoreControlServicer(services.StoreControlServicer):
    """Switches faults from outside."""

    def __init__(self, store):
        self._store = store

    def SetFaults(self, request, context):  # noqa: N802
        """Put other faults into effect."""
        faults = Faults(
            away=request.away,
            delay_s=request.delay_s,
            lose_answers=request.lose_answers,
            stale_reads=request.stale_reads,
            calls_per_s=request.calls_per_s,
        )
        self._store.set_faults(faults)
        return messages.Done()

    def LapseLease(self, request, context):  # noqa: N802
        """Let a lease lapse at once."""
        self._store.lapse_lease(request.lease)
        return messages.Done()

    def CutWatches(self, request, context):  # noqa: N802
        """End all waiting watches with an error."""
        self._store.cut_watches()
        return messages.Done()

    def GetCounts(self, request, context):  # noqa: N802
        """Return the number of calls by method."""
        return messages.Counts(calls=self._store.counts)


class failing:  # noqa: N801
    """Turns store errors into failed calls."""

    __slots__ = ("_context",)

    def __init__(self, context):
        self._context = context

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        if not isinstance(error, StoreError):
            return False
        self._context.set_trailing_metadata(((CODE_HEADER, error.code),))
        lost = isinstance(error, StoreUncertain)
        status = grpc.StatusCode.UNKNOWN if lost else grpc.StatusCode.UNAVAILABLE
        self._context.abort(status, error.message)
        return False


class StoreStandin:
    """The stand-in as a server.

    Attributes:
        store: The `MemoryStore` behind it.
        port: The bound port.
    """

    __slots__ = ("store", "port", "_server")

    def __init__(self, address, faults=None):
        self.store = MemoryStore(SystemClock(), waits=True)
        if faults is not None:
            self.store.set_faults(faults)
        pool = futures.ThreadPoolExecutor(SERVER_THREADS)
        self._server = grpc.server(pool, options=OPTIONS)
        services.add_StoreServicer_to_server(StoreServicer(self.store), self._server)
        control = StoreControlServicer(self.store)
        services.add_StoreControlServicer_to_server(control, self._server)
        self.port = self._server.add_insecure_port(address)

    def start(self):
        """Begin to serve."""
        self._server.start()

    def stop(self):
        """Stop serving at once; waiting watches end with an error."""
        self.store.cut_watches()
        self._server.stop(0).wait()


class StoreControl:
    """Switches the faults of a stand-in in another process."""

    __slots__ = ("_channel", "_stub")

    def __init__(self, address):
        self._channel = grpc.insecure_channel(address, options=OPTIONS)
        self._stub = services.StoreControlStub(self._channel)

    def set_faults(self, faults):
        """Put other faults into effect."""
        request = messages.FaultSettings(
            away=faults.away,
            delay_s=faults.delay_s,
            lose_answers=faults.lose_answers,
            stale_reads=faults.stale_reads,
            calls_per_s=faults.calls_per_s,
        )
        self._stub.SetFaults(request, timeout=5)

    def lapse_lease(self, lease):
        """Let a lease lapse at once."""
        self._stub.LapseLease(messages.RenewRequest(lease=lease), timeout=5)

    def cut_watches(self):
        """End all waiting watches with an error."""
        self._stub.CutWatches(messages.Done(), timeout=5)

    def get_counts(self):
        """Return the number of calls by method."""
        return dict(self._stub.GetCounts(messages.Done(), timeout=5).calls)

    def close(self):
        """Close the channel."""
        self._channel.close()


def encode_entry(entry):
    """Return the message for an entry."""
    return messages.EntryReply(key=entry.key, value=entry.value, version=entry.version)


def run_store(address, faults=None):
    """Serve a store until SIGTERM or SIGINT; print its port once bound."""
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    standin = StoreStandin(address, faults)
    standin.start()
    print(f"store: listening on port {standin.port}", flush=True)
    ended.wait()
    standin.stop()
