"""Wire.

The UDP socket between nodes.
"""

import contextlib
import logging
import socket
import threading

import msgspec

from .messages import decoder, encoder

log = logging.getLogger("persimmonlane.peers")

DATAGRAM_BYTES = 4096
END_S = 0.5


class Received:
    """A datagram that has come in."""

    __slots__ = ("message", "sender")

    def __init__(self, message, sender):
        self.message = message
        self.sender = sender


class DatagramTransport:
    """The UDP socket between nodes."""

    __slots__ = ("_socket", "_thread", "_ended", "_take")

    def __init__(self, ip, port):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, port))
        self._thread = None
        self._ended = False
        self._take = Received

    def set_taker(self, take):
        """Call a function in the receiving thread for each datagram.

        Args:
            take: Callable with message and sender; returns the message for the actor,
                or None if the datagram needs no actor.
        """
        self._take = take

    def start(self, actor):
        """Hand datagrams to an actor from now on."""
        self._thread = threading.Thread(
            target=self._receive, args=(actor,), daemon=True
        )
        self._thread.start()

    def send(self, address, message):
        """Send a message; what can't be sent is lost like a lost datagram."""
        try:
            self._socket.sendto(encoder.encode(message), socket.MSG_DONTWAIT, address)
        except OSError as error:
            log.debug("Peers: a datagram was not sent: %s.", error)

    def stop(self):
        """Close the socket."""
        self._ended = True
        # This wakes the thread, though an unconnected socket says that it can't be.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        if self._thread is not None:
            self._thread.join(END_S)
        self._socket.close()

    def _receive(self, actor):
        while not self._ended:
            try:
                raw, sender = self._socket.recvfrom(DATAGRAM_BYTES)
            except OSError as error:
                if not self._ended:
                    log.warning("Peers: receiving failed: %s.", error)
                continue
            if self._ended:
                return
            try:
                self._hand_over(raw, sender, actor)
            except (msgspec.MsgspecError, ValueError) as error:
                log.warning("Peers: a datagram is invalid: %s.", error)
            except Exception:
                log.exception("Peers: a datagram was not taken.")

    def _hand_over(self, raw, sender, actor):
        message = self._take(decoder.decode(raw), sender)
        if message is not None:
            actor.tell(message)
