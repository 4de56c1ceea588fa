"""Client of the local backend server."""

from ..headers import drop_hop_by_hop
from ..platform import headers as wire
from ..serving.exchange import Exchange, OutgoingRequest
from .calls import get_echoed_request_id

CONNECT_TIMEOUT_S = 0.5


class ServerClient:
    """Sends requests to the backend server beside this node; thread-safe."""

    __slots__ = ("_settings", "_clock", "_pool")

    def __init__(self, settings, clock, pool):
        self._settings = settings
        self._clock = clock
        self._pool = pool

    def run(self, order, call, deadline, caller):
        """Send a request and return the `CompleteResponse`.

        Args:
            order: The `Order`.
            call: The `ForwardedCall`.
            deadline: Clock seconds by which the response must have arrived.
            caller: The `CallerWatch` of the caller's connection.

        Raises:
            ExchangeError: If no complete and valid response arrived.
            CallerDisconnected: If the caller closed its connection.
        """
        headers = drop_hop_by_hop(call.headers)
        headers += wire.build_backend_headers(
            order, deadline - self._clock.now(), order.server_id
        )
        request = OutgoingRequest(
            address=self._settings.server,
            method=call.method,
            target=call.target,
            headers=headers,
            body=call.body,
            request_id=order.request_id,
            deadline=deadline,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            extract_request_id=get_echoed_request_id,
            on_wait=call.on_wait,
        )
        return Exchange(request, self._pool, self._clock, caller, is_local=True).run()
