import pykka
import testtools

from ...clocks import ManualClock
from ...owner.tests.test_serving import build_order
from ...routing.orders import OwnerReport
from ..gossip import Gossip, Received, RoomWanted
from ..messages import RoomAnswer, RoomAsk, decoder, encoder


class Wire:
    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, decoder.decode(encoder.encode(message))))


class Settings:
    name = "self"
    gossip_port = 9


class RoomTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.wire = Wire()
        self.judged = []
        self.report = OwnerReport("not-run", "server-busy", 4, 2, "sound", 0.3, True)
        self.gossip = Gossip(
            None, Settings, ManualClock(1.0), self.wire, None, None, self.judge
        )

    def judge(self, order):
        self.judged.append(order)
        return self.report

    def test_question_is_answered_by_the_owner_s_report(self):
        order = build_order()
        self.gossip.take_datagram(Received(RoomAsk(7, order), ("10.0.0.2", 9)))
        self.assertEqual([order], self.judged)
        self.assertEqual(
            [(("10.0.0.2", 9), RoomAnswer(7, self.report))], self.wire.sent
        )

    def test_answer_finds_the_one_that_asked(self):
        wanted = RoomWanted("10.0.0.3:80", build_order(), pykka.ThreadingFuture())
        self.gossip.ask_room(wanted)
        ((address, ask),) = self.wire.sent
        self.assertEqual((("10.0.0.3", 9), wanted.order), (address, ask.order))
        answer = Received(RoomAnswer(ask.number, self.report), address)
        self.gossip.take_datagram(answer)
        self.assertEqual(self.report, wanted.reply.get(timeout=0))

    def test_late_and_repeated_answers_change_nothing(self):
        self.gossip.take_datagram(Received(RoomAnswer(99, self.report), None))
        self.assertEqual([], self.wire.sent)
