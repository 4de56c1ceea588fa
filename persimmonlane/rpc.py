"""Calls between processes.

One gRPC server and one cache of channels per process, with the fleet token
checked on every call.
"""

import hmac
import logging
import threading
from concurrent import futures

import grpc

from .application import Part
from .errors import PersimmonError

log = logging.getLogger("persimmonlane.rpc")

TOKEN_HEADER = "persimmon-token"
MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
SERVER_THREADS = 8
STOP_GRACE_S = 1.0
OPTIONS = (
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # A connection that has gone silent is given up and replaced.
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1000),
    ("grpc.http2.ping_timeout_ms", 1000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
)


class TokenChecker(grpc.ServerInterceptor):
    """Refuses calls that lack the fleet token."""

    def __init__(self, token):
        self._token = token.encode()
        self._refusal = grpc.unary_unary_rpc_method_handler(self._refuse)

    def intercept_service(self, continuation, handler_call_details):
        """Pass a call on if its token is right."""
        metadata = dict(handler_call_details.invocation_metadata)
        given = metadata.get(TOKEN_HEADER, "").encode()
        if hmac.compare_digest(given, self._token):
            return continuation(handler_call_details)
        return self._refusal

    def _refuse(self, request, context):
        context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong fleet token")


class RpcServer(Part):
    """The gRPC server of a process; slices add their servicers before `start`.

    Attributes:
        server: The `grpc.Server`.
        port: The bound port, known from construction on.
    """

    name = "rpc"

    def __init__(self, address, token, threads=SERVER_THREADS):
        self.server = grpc.server(
            futures.ThreadPoolExecutor(threads),
            interceptors=(TokenChecker(token),),
            options=OPTIONS,
        )
        self.port = bind_port(self.server, address)

    def start(self):
        """Begin to serve."""
        self.server.start()

    def stop(self):
        """Stop serving after a short grace."""
        self.server.stop(STOP_GRACE_S).wait()


def bind_port(server, address):
    """Bind a gRPC server to an address and return the port.

    Raises:
        PersimmonError: With code `address-unavailable`.
    """
    try:
        return server.add_insecure_port(address)
    except RuntimeError as error:
        raise PersimmonError(
            "the address for calls between nodes can't be bound",
            code="address-unavailable",
            place=address,
        ) from error


class Channels(Part):
    """Channels to other processes, kept open and shared.

    Attributes:
        metadata: Metadata that every call must carry.
    """

    name = "channels"

    def __init__(self, token):
        self.metadata = ((TOKEN_HEADER, token),)
        self._channels = {}
        self._lock = threading.Lock()

    def get_channel(self, address):
        """Return the channel to an address."""
        with self._lock:
            channel = self._channels.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, options=OPTIONS)
                self._channels[address] = channel
            return channel

    def forget(self, address):
        """Close the channel to an address that has gone."""
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def stop(self):
        """Close all channels."""
        with self._lock:
            channels = list(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()
