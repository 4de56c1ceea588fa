"""Output to inbound connections that never blocks the thread that writes."""

import collections
import os


class ConnectionOutput:
    """What is written to a connection; keeps what the socket does not take at once.

    Takes the place of the writer of a cheroot connection. A body is not copied: the
    output refers to its memory until it is sent.
    """

    __slots__ = ("_sock", "_transfer", "_unsent")

    def __init__(self, sock):
        """Create the output.

        Args:
            sock: The socket, which has a timeout and so does not block.
        """
        self._sock = sock
        self._transfer = None
        self._unsent = collections.deque()

    @property
    def is_pending(self):
        """Whether some of what was written is still to be sent."""
        return bool(self._unsent)

    def report_to(self, transfer):
        """Set the `Transfer` that is told of what is sent."""
        self._transfer = transfer

    def write(self, data):
        """Send bytes as far as the socket takes them now, and keep the rest.

        Raises:
            OSError: If the connection is broken.
        """
        if len(data):
            self._unsent.append(memoryview(data))
            self.send_pending()
        return len(data)

    def send_pending(self):
        """Send what the socket takes now of what is still to be sent.

        Raises:
            OSError: If the connection is broken.
        """
        while self._unsent:
            view = self._unsent[0]
            try:
                # The `send` of a socket with a timeout would wait for it.
                sent = os.write(self._sock.fileno(), view)
            except BlockingIOError:
                return
            self._transfer.note(sent)
            if sent == len(view):
                self._unsent.popleft()
            else:
                self._unsent[0] = view[sent:]

    def clear(self):
        """Drop what is still to be sent."""
        self._unsent.clear()
