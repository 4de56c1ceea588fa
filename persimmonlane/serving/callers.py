"""Callers.

Notices callers that leave while their answers are awaited.
"""

import select
import socket

import urllib3.util

from .departure import NodeShutdown


class CallerLeft(Exception):
    """The caller closed its connection before the answer."""


class CallerWatch:
    """Waits for an answer while watching whether the caller or the node leaves."""

    __slots__ = ("_socket", "_shutdown", "_watching", "_closed")

    def __init__(self, sock, shutdown):
        """Take what is watched.

        Args:
            sock: The caller's socket.
            shutdown: The `Shutdown` of the node.
        """
        self._socket = sock
        self._shutdown = shutdown
        self._watching = True
        self._closed = False

    def wait(self, backend, timeout_s, other=None):
        """Return whether the backend socket became readable in time.

        Args:
            backend: The socket.
            timeout_s: Seconds to wait at most.
            other: Something else that ends the wait once it is readable.

        Raises:
            CallerLeft: If the caller closed its connection meanwhile.
            NodeShutdown: If the node ends.
        """
        poll = select.poll()
        poll.register(backend, select.POLLIN)
        poll.register(self._shutdown.ended, select.POLLIN)
        if not self._closed:
            poll.register(self._shutdown.closed, select.POLLIN)
        if self._watching:
            poll.register(self._socket, select.POLLIN)
        if other is not None:
            poll.register(other, select.POLLIN)
        events = poll.poll(max(1, int(timeout_s * 1000)))
        ready = {number for number, _ in events}
        if backend.fileno() in ready:
            return True
        if self._shutdown.ended.fileno() in ready:
            raise NodeShutdown
        # One look is due when the node closes.
        self._closed = self._closed or self._shutdown.closed.fileno() in ready
        if self._socket.fileno() in ready:
            self._check_caller()
        return False

    def check(self):
        """Look without waiting.

        Raises:
            CallerLeft: If the caller closed its connection.
            NodeShutdown: If the node ends.
        """
        if self._shutdown.ended.is_set():
            raise NodeShutdown
        # A socket with a time-out would wait for bytes in its own recv.
        if self._watching and urllib3.util.wait_for_read(self._socket, timeout=0.0):
            self._check_caller()

    def _check_caller(self):
        try:
            data = self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerLeft from error
        if not data:
            raise CallerLeft
        # A pipelined request is waiting; it would wake every poll.
        self._watching = False
