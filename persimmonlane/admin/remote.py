"""Remote operations.

The operators' verbs, carried out by a node's administration API.
"""

from urllib.parse import urlencode

import msgspec
import urllib3

from .failures import Failure, NodeUnreachable, restore_error
from .operations import ChangeMade, Current, NodeState, Operations

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0
OK = 200


class NodeOperations(Operations):
    """The verbs over HTTP."""

    __slots__ = ("_address", "_headers", "_pool")

    def __init__(self, address, token):
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"}
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)

    def show(self):
        """Return the document that was last accepted, as a `Current`."""
        return self._call("GET", "/v1/document", Current)

    def publish(self, data, expected=None, author="", change=None):
        """Publish JSON text; return the `ChangeMade`."""
        options = {"expect-revision": expected, "author": author, "change": change}
        given = {name: value for name, value in options.items() if value is not None}
        path = f"/v1/document?{urlencode(given)}"
        return self._call("PUT", path, ChangeMade, data)

    def list_history(self):
        """Return the last changes as `ChangeMade`, the newest last."""
        return self._call("GET", "/v1/history", tuple[ChangeMade, ...])

    def list_states(self):
        """Return the `NodeState` of each node."""
        return self._call("GET", "/v1/status", tuple[NodeState, ...])

    def _call(self, method, path, kind, body=None):
        url = f"http://{self._address}{path}"
        try:
            reply = self._pool.request(method, url, body=body, headers=self._headers)
        except urllib3.exceptions.HTTPError as error:
            raise NodeUnreachable(f"no answer from {self._address}") from error
        if reply.status != OK:
            failure = msgspec.json.decode(reply.data, type=Failure)
            raise restore_error(reply.status, failure)
        return msgspec.json.decode(reply.data, type=kind)
