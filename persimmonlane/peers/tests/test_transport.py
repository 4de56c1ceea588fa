import contextlib
import queue
import socket
import threading

import testtools

from ..messages import RateResponse, encoder
from ..transport import DatagramTransport, ReceivedDatagram

IP = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0


class Inbox:
    def __init__(self):
        self.messages = queue.Queue()

    def tell(self, message):
        self.messages.put(message)

    def wait_for_message(self):
        return self.messages.get(timeout=WAIT_TIMEOUT_S)


class DatagramTransportTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.bind((IP, 0))
            self.port = sock.getsockname()[1]
        self.inbox = Inbox()
        self.handling_threads = queue.Queue()
        self.transport = DatagramTransport(IP, self.port)
        self.addCleanup(self.transport.stop)

    def send(self, raw):
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.sendto(raw, (IP, self.port))

    def send_response(self, correlation_id):
        self.send(encoder.encode(RateResponse(correlation_id, True, 0.0)))

    def handle(self, message, sender):
        self.handling_threads.put(threading.current_thread())
        if message.correlation_id == 1:
            raise KeyError("error in the handler")
        return None if message.correlation_id == 2 else message.correlation_id

    def test_datagrams_reach_the_actor_without_a_handler(self):
        self.transport.start(self.inbox)
        self.send_response(5)
        received = self.inbox.wait_for_message()
        self.assertIsInstance(received, ReceivedDatagram)
        self.assertEqual((5, IP), (received.message.correlation_id, received.sender[0]))

    def test_handler_decides_which_messages_reach_the_actor(self):
        self.transport.set_handler(self.handle)
        self.transport.start(self.inbox)
        self.send_response(2)
        self.send_response(3)
        self.assertEqual(3, self.inbox.wait_for_message())
        self.assertIsNot(
            threading.current_thread(), self.handling_threads.get(timeout=0)
        )

    def test_receiving_continues_after_invalid_datagrams_and_handler_errors(self):
        self.transport.set_handler(self.handle)
        self.transport.start(self.inbox)
        self.send(b"\xc1garbage")
        self.send(b"")
        self.send_response(1)
        self.send_response(4)
        self.assertEqual(4, self.inbox.wait_for_message())
