import contextlib
import queue
import socket
import threading

import testtools

from ..messages import RateAnswer, encoder
from ..wire import DatagramTransport, Received

IP = "127.0.0.1"
PATIENCE_S = 20.0


class Inbox:
    def __init__(self):
        self.messages = queue.Queue()

    def tell(self, message):
        self.messages.put(message)

    def await_message(self):
        return self.messages.get(timeout=PATIENCE_S)


class DatagramWireTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.bind((IP, 0))
            self.port = sock.getsockname()[1]
        self.inbox = Inbox()
        self.taken = queue.Queue()
        self.wire = DatagramTransport(IP, self.port)
        self.addCleanup(self.wire.stop)

    def send(self, raw):
        with contextlib.closing(socket.socket(type=socket.SOCK_DGRAM)) as sock:
            sock.sendto(raw, (IP, self.port))

    def send_answer(self, number):
        self.send(encoder.encode(RateAnswer(number, True, 0.0)))

    def take(self, message, sender):
        self.taken.put(threading.current_thread())
        if message.number == 1:
            raise KeyError("a fault of the taker")
        return None if message.number == 2 else message.number

    def test_datagrams_reach_the_actor(self):
        self.wire.start(self.inbox)
        self.send_answer(5)
        received = self.inbox.await_message()
        self.assertIsInstance(received, Received)
        self.assertEqual((5, IP), (received.message.number, received.sender[0]))

    def test_taker_decides_what_is_left_for_the_actor(self):
        self.wire.set_taker(self.take)
        self.wire.start(self.inbox)
        self.send_answer(2)
        self.send_answer(3)
        self.assertEqual(3, self.inbox.await_message())
        self.assertIsNot(threading.current_thread(), self.taken.get(timeout=0))

    def test_invalid_datagrams_and_faults_of_the_taker_end_nothing(self):
        self.wire.set_taker(self.take)
        self.wire.start(self.inbox)
        self.send(b"\xc1garbage")
        self.send(b"")
        self.send_answer(1)
        self.send_answer(4)
        self.assertEqual(4, self.inbox.await_message())
