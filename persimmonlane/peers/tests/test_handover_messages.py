import testtools

from ..handover import MAX_SENDINGS, HandoverReceiver, HandoverSender
from ..messages import MAX_RATE_ENTRIES, RateEntry, RateHandover
from .simulation import PORT
from .test_gossip import deliver
from .test_handover import ChangingFleet


class HandoverSenderTests(testtools.TestCase):
    def test_message_is_repeated_against_loss(self):
        sender = HandoverSender(7)
        sender.add("10.0.0.1", 9, {"census": 5})
        sent = [sender.take_due() for _ in range(MAX_SENDINGS)]
        message = RateHandover(7, 1, [RateEntry("census", 5)], 9)
        self.assertEqual([[("10.0.0.1", message)]] * MAX_SENDINGS, sent)
        self.assertEqual([], sender.take_due())

    def test_many_organisations_are_split(self):
        sender = HandoverSender(7)
        sender.add("h", 9, {str(number): 1 for number in range(MAX_RATE_ENTRIES + 1)})
        sizes = [len(message.entries) for _, message in sender.take_due()]
        self.assertEqual([MAX_RATE_ENTRIES, 1], sizes)

    def test_repeated_message_is_told_from_a_new_one(self):
        receiver = HandoverReceiver(9)
        first, second = RateHandover(7, 1, []), RateHandover(7, 2, [])
        seen = [receiver.is_first(item) for item in (first, first, second, first)]
        self.assertEqual([True, False, True, False], seen)

    def test_message_for_an_earlier_process_is_not_taken_over(self):
        receiver = HandoverReceiver(9)
        messages = [RateHandover(7, number, [], number) for number in (8, 9, 10)]
        seen = [receiver.is_first(item) for item in messages]
        self.assertEqual([False, True, False], seen)


class HandoverReceivingTests(testtools.TestCase):
    """Which handovers a node takes over."""

    def setUp(self):
        super().setUp()
        self.fleet = ChangingFleet()
        self.fleet.load(0.5, 10.0)
        self.holder = self.fleet.nodes[self.fleet.find_holder()]
        others = set(self.fleet.nodes) - {self.holder.host}
        self.sender = sorted(others)[0]

    def get_tokens(self):
        return self.holder.gossip._rates._limiter._buckets["census"].tokens

    def hand_over(self, sender, sequence=1, organisation="census"):
        before = self.get_tokens()
        message = RateHandover(7, sequence, [RateEntry(organisation, 50)])
        deliver(self.holder.gossip, message, (sender, PORT))
        return round(self.get_tokens() - before)

    def test_tokens_are_added_once(self):
        self.assertEqual([50, 0], [self.hand_over(self.sender) for _ in range(2)])

    def test_message_of_an_unknown_host_is_ignored(self):
        self.assertEqual(0, self.hand_over("10.9.9.9"))

    def test_unknown_organisation_is_ignored(self):
        self.assertEqual(0, self.hand_over(self.sender, organisation="unknown"))

    def test_message_that_waited_for_the_end_of_a_pause_is_ignored(self):
        # Another node may have held the rate, and granted the burst, meanwhile.
        self.fleet.clock.advance(10.0)
        self.hand_over(self.sender)
        self.assertTrue(self.get_tokens() < 10.0)
