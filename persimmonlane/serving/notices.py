"""What backend servers have said of themselves in the answers that this node passed on.

The owner of a server knows it as well, but not after a restart.
"""

from ..platform import headers as wire

MAX_SERVERS = 4096


class ServerNotices:
    """The limits that backend servers have named; thread-safe.

    Each method makes a single change or look-up in a dict.
    """

    __slots__ = ("_limits",)

    def __init__(self):
        self._limits = {}

    def note_answer(self, server_id, answer):
        """Record what an answer says.

        Args:
            server_id: Identifier of the backend server.
            answer: Its `CompleteResponse`.
        """
        marks = wire.parse_response_headers(answer.headers)
        if marks.is_limit_malformed:
            return
        if marks.limit is None:
            self._limits.pop(server_id, None)
        elif len(self._limits) < MAX_SERVERS or server_id in self._limits:
            self._limits[server_id] = marks.limit

    def find_limit(self, server_id):
        """Return the requests per second that a server takes, None without a limit."""
        return self._limits.get(server_id)
