"""Backend server of tests that writes its responses byte by byte, over real sockets."""

import contextlib
import socket
import struct
import threading

# Reads while a raw response is written: a small part of a long upload.
PART_BYTES = 4096


class RawServer:
    """Server that passes each connection to a handler.

    Attributes:
        address: Its address, as `host:port`.
        errors: What the handlers raised.
    """

    def __init__(self, test, handle, address="127.0.0.1:0", buffer_bytes=None):
        """Start to serve.

        Args:
            test: The test case; the server ends with it.
            handle: Callable that serves one connection, a socket.
            address: Address to bind, as `host:port`.
            buffer_bytes: Size of its receive buffers; the system's own if None.
        """
        host, port = address.rsplit(":", 1)
        self.errors = []
        self._handle = handle
        self._connections = []
        self._socket = socket.create_server((host, int(port)))
        if buffer_bytes is not None:
            # Connections inherit it when they are accepted.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        test.addCleanup(self.stop)
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        # Closing alone would not end a blocked accept.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for connection in self._connections:
            connection.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            self._handle(connection)
        except Exception as error:
            self.errors.append(error)


def read_head(connection):
    """Read a request's head; return it and the bytes of the body read with it."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(PART_BYTES)
        if not part:
            raise ConnectionError("the request ended within its head")
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body


def reset(connection):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
