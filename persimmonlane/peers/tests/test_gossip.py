import pykka
import testtools

from ...clocks import ManualClock
from ...owner.tests.test_serving import build_order
from ...quotas.buckets import rank_holders
from ...routing.orders import OwnerReport
from ...routing.rulebook import Organisation
from ..gossip import Gossip, RoomWanted
from ..messages import (
    Announcement,
    RateAnswer,
    RateAsk,
    RoomAnswer,
    RoomAsk,
    decoder,
    encoder,
)


class Wire:
    def __init__(self):
        self.sent = []

    def set_taker(self, take):
        self.take = take

    def send(self, address, message):
        self.sent.append((address, decoder.decode(encoder.encode(message))))


def deliver(gossip, message, sender):
    """Deliver a datagram as the receiving thread and the actor take it."""
    left = gossip.take(message, sender)
    if left is not None:
        gossip.on_receive(left)


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
            None, Settings, ManualClock(1.0), self.wire, None, None, self
        )

    def check_admission(self, order):
        self.judged.append(order)
        return self.report

    def test_question_is_answered_by_the_owner_s_report(self):
        order = build_order()
        deliver(self.gossip, RoomAsk(7, order), ("10.0.0.2", 9))
        self.assertEqual([order], self.judged)
        self.assertEqual(
            [(("10.0.0.2", 9), RoomAnswer(7, self.report))], self.wire.sent
        )

    def test_answer_finds_the_one_that_asked(self):
        wanted = RoomWanted("10.0.0.3:80", build_order(), pykka.ThreadingFuture())
        self.gossip.ask_room(wanted)
        ((address, ask),) = self.wire.sent
        self.assertEqual((("10.0.0.3", 9), wanted.order), (address, ask.order))
        deliver(self.gossip, RoomAnswer(ask.number, self.report), address)
        self.assertEqual(self.report, wanted.reply.get(timeout=0))

    def test_answer_needs_no_actor(self):
        wanted = RoomWanted("10.0.0.3:80", build_order(), pykka.ThreadingFuture())
        self.gossip.ask_room(wanted)
        ((address, ask),) = self.wire.sent
        answer = RoomAnswer(ask.number, self.report)
        self.assertIsNone(self.gossip.take(answer, address))
        self.assertEqual(self.report, wanted.reply.get(timeout=0))

    def test_late_and_repeated_answers_change_nothing(self):
        deliver(self.gossip, RoomAnswer(99, self.report), None)
        self.assertEqual([], self.wire.sent)


ASKER = ("10.0.0.9", 9)


class Document:
    version = 1

    def __init__(self, organisation):
        self.rulebook = self
        self.organisations = {organisation.name: organisation}


class RelayTests(testtools.TestCase):
    """The node knows the holder, a node that asks it does not."""

    def setUp(self):
        super().setUp()
        self.wire = Wire()
        ranked = rank_holders("census", ["one", "two", "three"])
        self.holder, own = ranked[0], ranked[1]
        settings = Settings()
        settings.name = own
        document = Document(Organisation("census", 10.0, 10.0, None))
        self.gossip = Gossip(
            None, settings, ManualClock(1.0), self.wire, None, document, None
        )

    def hear(self, name, address="10.0.0.1:80"):
        news = Announcement(name, 1, 1, address, "south", False, 1, 0.1, 0, 0, None)
        self.gossip.table.take(news)

    def ask(self, relayed=False):
        ask = RateAsk(7, "census", "nine", relayed)
        deliver(self.gossip, ask, ASKER)

    def test_question_goes_on_to_the_holder_and_its_answer_back(self):
        self.hear(self.holder)
        self.ask()
        ((address, passed),) = self.wire.sent
        self.assertEqual((("10.0.0.1", 9), True), (address, passed.relayed))
        deliver(self.gossip, RateAnswer(passed.number, False, 0.4), address)
        self.assertEqual((ASKER, RateAnswer(7, False, 0.4)), self.wire.sent[-1])

    def test_question_that_was_passed_on_is_decided_here(self):
        self.hear(self.holder)
        self.ask(relayed=True)
        ((address, answer),) = self.wire.sent
        self.assertEqual((ASKER, True), (address, answer.granted))

    def test_question_needs_no_actor(self):
        ask = RateAsk(7, "census", "nine", False)
        self.assertIsNone(self.wire.take(ask, ASKER))
        ((address, answer),) = self.wire.sent
        self.assertEqual((ASKER, 7, True), (address, answer.number, answer.granted))

    def test_question_is_decided_here_if_no_better_holder_is_known(self):
        self.ask()
        ((address, answer),) = self.wire.sent
        self.assertEqual((ASKER, True), (address, answer.granted))
