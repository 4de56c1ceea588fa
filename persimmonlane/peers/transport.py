"""UDP transport between nodes."""

import contextlib
import logging
import socket
import threading

from ..decoding import decode_msgpack
from ..errors import InputError
from .messages import decoder, encoder
from .traffic import TrafficCounter

log = logging.getLogger("persimmonlane.peers")

MAX_DATAGRAM_BYTES = 4096
STOP_TIMEOUT_S = 0.5


class ReceivedDatagram:
    """A received message and the address of its sender."""

    __slots__ = ("message", "sender")

    def __init__(self, message, sender):
        self.message = message
        self.sender = sender


class DatagramTransport:
    """Sends messages and receives them in a thread of its own.

    Attributes:
        traffic: The `TrafficCounter` of the messages that were sent.
    """

    __slots__ = ("traffic", "_socket", "_thread", "_stopped", "_handle")

    def __init__(self, ip, port):
        self.traffic = TrafficCounter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, port))
        self._thread = None
        self._stopped = False
        self._handle = ReceivedDatagram

    def set_handler(self, handle):
        """Set the function that is called in the receiving thread for each message.

        Args:
            handle: Callable that takes the message and the sender's address and returns
                the message for the actor, or None if the actor is not needed.
        """
        self._handle = handle

    def start(self, actor):
        """Start receiving datagrams for an actor."""
        self._thread = threading.Thread(
            target=self._receive, args=(actor,), daemon=True
        )
        self._thread.start()

    def send(self, address, message):
        """Send a message without blocking; one that can't be sent is dropped."""
        raw = encoder.encode(message)
        try:
            self._socket.sendto(raw, socket.MSG_DONTWAIT, address)
        except OSError as error:
            log.debug("Peers: sending a datagram failed: %s.", error)
            return
        self.traffic.count(message, address[0], len(raw))

    def stop(self):
        """Stop the receiving thread and close the socket."""
        self._stopped = True
        # Shutdown wakes the receiving thread, even though it raises an error on an
        # unconnected socket.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)
        self._socket.close()

    def _receive(self, actor):
        while not self._stopped:
            try:
                raw, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                if not self._stopped:
                    log.warning("Peers: receiving a datagram failed: %s.", error)
                continue
            if self._stopped:
                return
            try:
                self._dispatch(raw, sender, actor)
            except (InputError, ValueError) as error:
                # As an event the line is limited in rate, whatever is sent here.
                fields = {"event": "datagram-invalid"}
                log.warning("Peers: invalid datagram: %s.", error, extra=fields)
            except Exception:
                log.exception("Peers: handling a datagram failed.")

    def _dispatch(self, raw, sender, actor):
        message = self._handle(decode_msgpack(raw, decoder), sender)
        if message is not None:
            actor.tell(message)
