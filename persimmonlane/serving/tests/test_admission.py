import time

import testtools
from testtools.matchers import GreaterThan

from ...clocks import ManualClock
from ...errors import Refusal
from ...headers import Header
from ...peers.gossip import LocalRateCheck, RateCheck
from ...peers.table import PeerTable
from ...platform.documents import decode_document
from ...routing.rulebook import Organisation
from ...tests.test_sitenode import KEY, build_document
from ...verdicts import Verdict
from ..admission import (
    FRESHNESS_MARGIN_S,
    RATE_ANSWER_S,
    SHARE_ANSWER_S,
    TRUSTED_AGE_S,
    Admission,
)
from ..attempts import IngressRequest

WITHDRAWAL_S = 5.0


class Settings:
    withdrawal_s = WITHDRAWAL_S


class Holder:
    rulebook = None


class AdmissionTests(testtools.TestCase):
    """A proper request is never denied for good by a node that may know too little."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.table = PeerTable("self", 1, self.clock)
        self.holder = Holder()
        self.holder.rulebook = decode_document(build_document())
        self.admission = Admission(Settings, self.holder, self.table, None)
        self.table.mark_fresh(100.0)

    def identify(self, target="/near/", key=KEY):
        headers = [Header("Host", "shop.example"), Header("X-Credential", key)]
        request = IngressRequest("GET", target, headers, None, self.clock.now())
        self.admission.identify(request)
        return request

    def refuse(self, **changes):
        refusal = self.assertRaises(Refusal, self.identify, **changes)
        return refusal.status, refusal.code

    def test_recent_document_decides(self):
        request = self.identify()
        self.assertEqual("census", request.organisation.name)
        self.assertEqual(120.0, request.deadline)
        self.assertEqual((404, "no-route"), self.refuse(target="/other/"))
        self.assertEqual((401, "key-unknown"), self.refuse(key="unknown"))

    def test_older_document_denies_nothing(self):
        self.clock.advance(TRUSTED_AGE_S + 0.1)
        self.assertEqual((503, "document-stale"), self.refuse(target="/other/"))
        self.assertEqual((503, "document-stale"), self.refuse(key="unknown"))
        self.assertIsNotNone(self.identify().organisation)

    def test_node_without_a_document_denies_nothing(self):
        self.holder.rulebook = None
        self.assertEqual((503, "no-document"), self.refuse())

    def test_key_that_may_be_withdrawn_is_refused_as_not_run(self):
        self.clock.advance(WITHDRAWAL_S - FRESHNESS_MARGIN_S + 0.01)
        self.assertEqual((503, "document-stale"), self.refuse())


class RateActor:
    """Answers the questions that it has a wait for, and keeps silent on others."""

    def __init__(self, **waits):
        self.waits = waits
        self.asked = []

    def tell(self, wanted):
        self.asked.append(type(wanted))
        wait_s = self.waits.get(type(wanted).__name__)
        if wait_s is not None:
            wanted.reply.set(wait_s)


class Request:
    organisation = Organisation("census", 10.0, 10.0, None)


class RateTests(testtools.TestCase):
    def check(self, actor):
        Admission(Settings, None, None, actor).check_rate(Request)

    def refuse(self, actor):
        refusal = self.assertRaises(Refusal, self.check, actor)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        return refusal.status, refusal.code

    def test_holder_decides(self):
        actor = RateActor(RateCheck=0.0)
        self.check(actor)
        self.assertEqual([RateCheck], actor.asked)
        refused = self.refuse(RateActor(RateCheck=0.4))
        self.assertEqual((429, "rate-exceeded"), refused)

    def test_share_decides_if_the_holder_is_silent(self):
        actor = RateActor(LocalRateCheck=0.0)
        self.check(actor)
        self.assertEqual([RateCheck, LocalRateCheck], actor.asked)
        refused = self.refuse(RateActor(LocalRateCheck=0.4))
        self.assertEqual((429, "rate-exceeded"), refused)

    def test_request_is_refused_in_time_if_nothing_decides(self):
        began = time.monotonic()
        self.assertEqual((503, "rate-unknown"), self.refuse(RateActor()))
        least_s = RATE_ANSWER_S + SHARE_ANSWER_S
        self.assertThat(time.monotonic() - began, GreaterThan(least_s - 0.01))
