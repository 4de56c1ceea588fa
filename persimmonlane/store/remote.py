"""Remote store client.

Reaches the platform's key-value service over gRPC.
"""

import threading

import grpc

from ..errors import StoreError
from ..standins import store_pb2 as messages
from ..standins import store_pb2_grpc as services
from .client import Entry, StoreClient, StoreConflict, StoreUncertain, clients

CALL_TIMEOUT_S = 1.0
WATCH_SLACK_S = 1.0
CODE_HEADER = "store-code"
MESSAGE_LIMIT_BYTES = 2 * 1024 * 1024
OPTIONS = (
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
)
NOT_EXECUTED = ("store-unavailable", "store-throttled", "lease-lapsed")


@clients.register
class RemoteStore(StoreClient):
    """The platform's service behind an address.

    A call that gets no answer in time drops the connection, because it may have
    gone silent for good.
    """

    name = "grpc"
    aliases = ("standin",)
    options = ("address",)

    def __init__(self, address):
        self._address = address
        self._lock = threading.Lock()
        self._channel = grpc.insecure_channel(address, options=OPTIONS)
        self._stub = services.StoreStub(self._channel)

    def get(self, key):
        """Return the `Entry` of a key; version 0 if there is none."""
        reply = self._call("Get", messages.GetRequest(key=key), CALL_TIMEOUT_S)
        return decode_entry(reply)

    def compare_and_swap(self, key, value, version, lease=None):
        """Write a key that is at a given version; see `StoreClient`."""
        request = messages.SwapRequest(
            key=key,
            value=value or b"",
            delete=value is None,
            version=version,
            lease=lease or 0,
        )
        try:
            reply = self._call("CompareAndSwap", request, CALL_TIMEOUT_S)
        except StoreUnanswered as error:
            raise StoreUncertain("the answer was lost") from error
        entry = decode_entry(reply.entry)
        if reply.conflict:
            raise StoreConflict(entry)
        return entry

    def grant_lease(self, duration_s):
        """Return the identifier of a new lease of a duration in seconds."""
        request = messages.GrantRequest(duration_s=duration_s)
        return self._call("GrantLease", request, CALL_TIMEOUT_S).lease

    def renew_lease(self, lease):
        """Renew a lease; raise `StoreError` with code `lease-lapsed` if gone."""
        request = messages.RenewRequest(lease=lease)
        self._call("RenewLease", request, CALL_TIMEOUT_S)

    def watch(self, key, version, timeout_s):
        """Wait until a key is not at a version; return its `Entry`, or None."""
        request = messages.WatchRequest(key=key, version=version, timeout_s=timeout_s)
        reply = self._call("Watch", request, timeout_s + WATCH_SLACK_S)
        return None if reply.unchanged else decode_entry(reply)

    def close(self):
        """Close the connection."""
        with self._lock:
            self._channel.close()

    def _call(self, method, request, timeout_s):
        channel, stub = self._channel, self._stub
        try:
            return getattr(stub, method)(request, timeout=timeout_s)
        except grpc.RpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._replace_channel(channel)
            raise describe_error(error) from error
        except ValueError as error:
            raise StoreUnanswered("the connection was closed") from error

    def _replace_channel(self, channel):
        with self._lock:
            if self._channel is not channel:
                return
            self._channel = grpc.insecure_channel(self._address, options=OPTIONS)
            self._stub = services.StoreStub(self._channel)
        channel.close()


class StoreUnanswered(StoreError):
    """No answer came: the call may have taken effect."""


def describe_error(error):
    """Return the `StoreError` for a failed call."""
    metadata = dict(error.trailing_metadata() or ())
    code = metadata.get(CODE_HEADER)
    if code in NOT_EXECUTED:
        return StoreError(error.details(), code=code)
    return StoreUnanswered(error.details() or "no answer came")


def decode_entry(reply):
    """Return the entry that a message holds."""
    return Entry(reply.key, reply.value, reply.version)
