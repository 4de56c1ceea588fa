"""Backend servers that have said that they leave.

A node that is restarted no longer knows that its backend server leaves, and an earlier
heartbeat may reach it late. The other nodes still know.
"""

MAX_SERVERS = 4096


class DepartedServers:
    """The processes of backend servers that leave or have left; thread-safe."""

    __slots__ = ("_servers",)

    def __init__(self):
        self._servers = {}

    def note(self, server):
        """Note what a `ServerStatus` says, which may be None.

        The oldest processes are forgotten when there are too many.
        """
        if server is None or not server.leaving or not server.born:
            return
        self._servers[build_key(server)] = None
        while len(self._servers) > MAX_SERVERS:
            self._servers.pop(next(iter(self._servers)), None)

    def has(self, server):
        """Return whether the process of a `ServerStatus` is known to leave."""
        return build_key(server) in self._servers


def build_key(server):
    """Return what identifies the process of a server: its identifier may come back."""
    return server.server_id, server.born
