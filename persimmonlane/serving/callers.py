"""Detection of callers that disconnect while their requests are in progress."""

import select
import socket

import urllib3.util

from .shutdown import NodeShutdown


class CallerDisconnected(Exception):
    """The caller closed its connection before the answer."""


class CallerWatch:
    """Waits for backend input while watching for a disconnect and the node's stop."""

    __slots__ = ("_socket", "_shutdown", "_watches_caller", "_close_seen")

    def __init__(self, sock, shutdown):
        """Create a watch.

        Args:
            sock: Socket of the caller's connection.
            shutdown: The `Shutdown` of the node.
        """
        self._socket = sock
        self._shutdown = shutdown
        self._watches_caller = True
        self._close_seen = False

    def wait(self, backend, timeout_s, other=None):
        """Wait until the backend socket is readable.

        Args:
            backend: Socket of the connection to the backend server or node.
            timeout_s: Longest wait in seconds.
            other: Another pollable object that ends the wait once it is readable, or
                None.

        Returns:
            Whether the backend socket is readable. False also if the wait ended early,
            for instance because `other` became readable.

        Raises:
            CallerDisconnected: If the caller closed its connection.
            NodeShutdown: If the node stops.
        """
        poll = select.poll()
        poll.register(backend, select.POLLIN)
        poll.register(self._shutdown.ended, select.POLLIN)
        if not self._close_seen:
            poll.register(self._shutdown.closed, select.POLLIN)
        if self._watches_caller:
            poll.register(self._socket, select.POLLIN)
        if other is not None:
            poll.register(other, select.POLLIN)
        events = poll.poll(max(1, int(timeout_s * 1000)))
        ready = {number for number, _ in events}
        if backend.fileno() in ready:
            return True
        if self._shutdown.ended.fileno() in ready:
            raise NodeShutdown
        # `closed` stays readable once it is set. It ends one wait, after which the
        # calling code checks once whether to go on; later waits would end at once.
        self._close_seen = self._close_seen or self._shutdown.closed.fileno() in ready
        if self._socket.fileno() in ready:
            self._check_caller()
        return False

    def check(self):
        """Check the caller and the node without waiting.

        Raises:
            CallerDisconnected: If the caller closed its connection.
            NodeShutdown: If the node stops.
        """
        if self._shutdown.ended.is_set():
            raise NodeShutdown
        # The socket has a timeout, so recv itself would wait for data, even with
        # MSG_DONTWAIT. It is called only if the socket is readable.
        if self._watches_caller and urllib3.util.wait_for_read(
            self._socket, timeout=0.0
        ):
            self._check_caller()

    def _check_caller(self):
        try:
            data = self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerDisconnected from error
        if not data:
            raise CallerDisconnected
        # A pipelined request has arrived. The socket stays readable until it is read,
        # so polling it further would end every wait at once.
        self._watches_caller = False
