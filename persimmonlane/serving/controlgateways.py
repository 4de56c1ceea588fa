"""Request handlers of the servers for readiness probes and heartbeats."""

import logging

from ..errors import InputError, Refusal
from ..owner.backend import ServerState
from ..platform import heartbeats
from .gateways import HEARTBEAT_LIMIT_BYTES, Gateway

log = logging.getLogger("persimmonlane.serving")


class ReadinessGateway(Gateway):
    """Answers readiness probes."""

    def respond(self):
        """Answer 200 if the node accepts callers' requests, 503 if it does not."""
        path = self.req.uri.decode("latin-1").partition("?")[0]
        if path != heartbeats.READY_PATH:
            self.write_json(404)
            return
        self.write_json(200 if self.node.is_ready() else 503)


class HeartbeatGateway(Gateway):
    """Receives heartbeats of the local backend server.

    That it leaves is acknowledged only once this will be known after the end of the
    node's process. The node has stopped sending requests to it by then.
    """

    def respond(self):
        """Process one heartbeat, or one departure (DELETE)."""
        server_id = heartbeats.parse_server_id(self.req.uri.decode("latin-1"))
        if server_id is None:
            self.write_json(404)
            return
        try:
            body = self.read_body(HEARTBEAT_LIMIT_BYTES)
        except Refusal as refusal:
            self.write_json(refusal.status)
            return
        self._handle(server_id, body)

    def _handle(self, server_id, body):
        owner = self.node.owner
        try:
            if self.req.method == b"DELETE":
                born = heartbeats.decode_departure(body)
                is_believed = owner.handle_departure(server_id, born)
                is_leaving = True
            else:
                heartbeat = heartbeats.decode_heartbeat(server_id, body)
                is_believed = owner.handle_heartbeat(heartbeat)
                is_leaving = heartbeat.state is ServerState.DRAINING
        except InputError as error:
            log.warning(
                "Owner: ignored what is said of backend server %s: %s.",
                server_id,
                error,
                extra={"event": error.code},
            )
            self.write_json(400)
            return
        if is_leaving and not (is_believed and self.node.keep_departures()):
            log.warning(
                "Owner: that %s leaves is not acknowledged: %s.",
                server_id,
                "it might be forgotten" if is_believed else "it is not believed",
                extra={"event": "departure-unacknowledged"},
            )
            self.write_json(503)
            return
        self.write_json(200, b"{}")
