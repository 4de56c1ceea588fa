import time

import testtools
from testtools.matchers import GreaterThan

from ...clocks import ManualClock
from ...errors import Refusal
from ...headers import Header
from ...peers.commands import LocalRateCheck, RateCheck
from ...peers.table import PeerTable
from ...platform.documents import decode_document
from ...routing.rulebook import Organisation
from ...tests.test_sitenode import KEY, build_document
from ...verdicts import Verdict
from ..admission import (
    FRESHNESS_MARGIN_S,
    RATE_QUERIES,
    RATE_REPLY_TIMEOUT_S,
    SHARE_REPLY_TIMEOUT_S,
    Admission,
)
from ..attempts import IngressRequest

WITHDRAWAL_S = 5.0
APPLY_S = 2.0


class Settings:
    document_apply_s = APPLY_S
    key_revocation_s = WITHDRAWAL_S


class Holder:
    rulebook = None
    newer_is_known = False

    def is_superseded(self):
        return self.newer_is_known


class AdmissionTests(testtools.TestCase):
    """A node with an outdated document must not deny a valid request permanently."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.table = PeerTable("self", "south", 1, self.clock)
        self.holder = Holder()
        self.holder.rulebook = decode_document(build_document())
        self.admission = Admission(Settings, self.holder, self.table, None)
        self.table.freshness.mark(100.0)

    def identify(self, target="/near/", key=KEY):
        headers = [Header("Host", "shop.example"), Header("X-Credential", key)]
        request = IngressRequest("GET", target, headers, None, self.clock.now())
        self.admission.identify(request)
        return request

    def get_refusal(self, **changes):
        refusal = self.assertRaises(Refusal, self.identify, **changes)
        return refusal.status, refusal.code

    def test_recent_document_is_applied(self):
        request = self.identify()
        self.assertEqual("census", request.organisation.name)
        self.assertEqual(120.0, request.deadline)
        self.assertEqual((404, "no-route"), self.get_refusal(target="/other/"))
        self.assertEqual((401, "key-unknown"), self.get_refusal(key="unknown"))

    def test_outdated_document_gives_only_retryable_refusals(self):
        self.clock.advance(APPLY_S + 0.1)
        self.assertEqual((503, "document-stale"), self.get_refusal(target="/other/"))
        self.assertEqual((503, "document-stale"), self.get_refusal(key="unknown"))
        self.assertIsNotNone(self.identify().organisation)

    def test_document_that_others_have_replaced_is_not_applied_beyond_its_time(self):
        # Guards against routes of an older version while the newer one can't be had.
        self.holder.newer_is_known = True
        self.clock.advance(APPLY_S)
        self.assertIsNotNone(self.identify().organisation)
        self.clock.advance(0.1)
        self.assertEqual((503, "document-stale"), self.get_refusal())

    def test_missing_document_gives_only_retryable_refusals(self):
        self.holder.rulebook = None
        self.assertEqual((503, "no-document"), self.get_refusal())

    def test_key_that_may_be_revoked_is_refused_as_not_run(self):
        self.clock.advance(WITHDRAWAL_S - FRESHNESS_MARGIN_S + 0.01)
        self.assertEqual((503, "document-stale"), self.get_refusal())


class FakeRateActor:
    """Answers the queries for which a wait is given, and ignores the others."""

    def __init__(self, **waits):
        self.waits = waits
        self.queries = []

    def tell(self, query):
        self.queries.append(type(query))
        wait_s = self.waits.get(type(query).__name__)
        if wait_s is not None:
            query.reply.set(wait_s)


class Request:
    organisation = Organisation("census", 10.0, 10.0, None)


class RateTests(testtools.TestCase):
    def check(self, actor):
        Admission(Settings, None, None, actor).check_rate(Request)

    def get_refusal(self, actor):
        refusal = self.assertRaises(Refusal, self.check, actor)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        return refusal.status, refusal.code

    def test_rate_holder_decides(self):
        actor = FakeRateActor(RateCheck=0.0)
        self.check(actor)
        self.assertEqual([RateCheck], actor.queries)
        refusal = self.get_refusal(FakeRateActor(RateCheck=0.4))
        self.assertEqual((429, "rate-exceeded"), refusal)

    def test_local_share_decides_if_the_rate_holder_does_not_answer(self):
        actor = FakeRateActor(LocalRateCheck=0.0)
        self.check(actor)
        expected = [RateCheck] * RATE_QUERIES + [LocalRateCheck]
        self.assertEqual(expected, actor.queries)
        refusal = self.get_refusal(FakeRateActor(LocalRateCheck=0.4))
        self.assertEqual((429, "rate-exceeded"), refusal)

    def test_request_is_refused_after_the_timeouts_if_nothing_answers(self):
        began = time.monotonic()
        self.assertEqual((503, "rate-unknown"), self.get_refusal(FakeRateActor()))
        min_elapsed_s = RATE_REPLY_TIMEOUT_S * RATE_QUERIES + SHARE_REPLY_TIMEOUT_S
        self.assertThat(time.monotonic() - began, GreaterThan(min_elapsed_s - 0.01))
