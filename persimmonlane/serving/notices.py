"""What backend servers have said of themselves in the answers that this node passed on.

The owner of a server knows it as well, but not after a restart.
"""

from ..peers.departures import build_key
from ..platform import headers as wire

MAX_SERVERS = 4096


class ServerNotices:
    """The limits of backend servers, and which of them are leaving; thread-safe.

    Each method makes single changes and look-ups in dicts.
    """

    __slots__ = ("_limits", "_leaving")

    def __init__(self):
        self._limits = {}
        self._leaving = {}

    def note_answer(self, server, answer):
        """Record what an answer says.

        Args:
            server: The `ServerStatus` of the backend server that was asked.
            answer: Its `CompleteResponse`.
        """
        marks = wire.parse_response_headers(answer.headers)
        if not marks.is_genuine():
            return
        if marks.leaving:
            record(self._leaving, build_key(server), True)
        if marks.is_limit_malformed:
            return
        if marks.limit is None:
            self._limits.pop(server.server_id, None)
        else:
            record(self._limits, server.server_id, marks.limit)

    def find_limit(self, server_id):
        """Return the requests per second that a server takes, None without a limit."""
        return self._limits.get(server_id)

    def is_leaving(self, server):
        """Return whether the process of a server, by its `ServerStatus`, is leaving."""
        return build_key(server) in self._leaving


def record(notices, key, notice):
    """Add a notice to a dict of them; the oldest ones are forgotten."""
    notices[key] = notice
    while len(notices) > MAX_SERVERS:
        notices.pop(next(iter(notices)), None)
