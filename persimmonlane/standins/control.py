"""Control.

Lets a test change and count the backend server stand-ins of a process.
"""

import threading

import cheroot.server
import msgspec

from ..forwarding.bodies import create_body
from ..forwarding.strictness import StrictConnection
from .backend import Behaviour

THREADS = 2


class ControlServer:
    """Answers `/behaviour/N` and `/counts/N` for the Nth stand-in."""

    __slots__ = ("_server", "_thread")

    def __init__(self, address, standins):
        """Prepare the server.

        Args:
            address: (host, port) to bind.
            standins: The stand-ins that it controls.
        """
        self._server = cheroot.server.HTTPServer(
            address,
            gateway=lambda request: ControlGateway(request, standins),
            minthreads=THREADS,
            maxthreads=THREADS,
        )
        self._server.ConnectionClass = StrictConnection
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self):
        """Bind, and begin to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self):
        """Stop serving."""
        self._server.stop()


class ControlGateway(cheroot.server.Gateway):
    """Answers one request to the control server."""

    def __init__(self, http_request, standins):
        super().__init__(http_request)
        self.standins = standins

    def respond(self):
        """Change or count a stand-in."""
        _, verb, number = self.req.uri.decode("ascii").split("/")
        standin = self.standins[int(number)]
        body = b"".join(create_body(self.req).pieces())
        if verb == "behaviour":
            standin.change(msgspec.json.decode(body, type=Behaviour))
        answer = msgspec.json.encode(standin.count())
        self.req.status = b"200 OK"
        self.req.outheaders = [(b"Content-Length", str(len(answer)).encode())]
        self.req.ensure_headers_sent()
        self.req.write(answer)
