import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...headers import Header
from ...peers.statuses import ServerStatus
from ...quarantine.ledger import CrashLedger, LedgerEntry
from ...routing.metadata import MAX_CAUSES
from ...routing.rulebook import Organisation
from ..attempts import IngressRequest
from ..isolation import SPARED_SERVERS, IsolationPolicy
from ..placement import Candidate

RUNNING = list(range(11, 15))


def build_request(request_id="one", target="/a", key="k", organisation="census"):
    headers = [
        Header("Host", "shop.example"),
        Header("X-Request-Id", request_id),
        Header("X-Credential", key),
        Header("User-Agent", request_id),
    ]
    request = IngressRequest("GET", target, headers, None, 0.0)
    if organisation:
        request.organisation = Organisation(organisation, 0.0, 0.0, 1)
    return request


def build_candidate(number, running=0, waiting=0, standing="sound"):
    server = ServerStatus(
        f"i-{number}", "prices", True, 4, running, waiting, standing, 0.0
    )
    return Candidate(server, None, True)


class IsolationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.ledger = CrashLedger(self.clock)
        self.running = RUNNING
        self.policy = IsolationPolicy(self.ledger, lambda: self.running)

    def identify(self, request):
        self.policy.identify(request)
        return request

    def crash(self, request, count):
        for process in range(1, count + 1):
            self.ledger.apply(
                LedgerEntry(request.fingerprint, process, self.clock.now())
            )

    def test_idle_half_open_server_does_not_hide_those_that_admit_the_request(self):
        busy = [build_candidate(number, running=1) for number in (1, 2, 3)]
        half_open = build_candidate(4, standing="trial")
        self.assertEqual(busy, self.policy.select([*busy, half_open], False))
        self.assertEqual([half_open], self.policy.select([*busy, half_open], True))

    def test_request_is_known_again_by_another_identifier_and_key(self):
        first = self.identify(build_request("one", key="k"))
        again = self.identify(build_request("two", key="another of the same"))
        other = self.identify(build_request("three", organisation="survey"))
        self.assertEqual(first.fingerprint, again.fingerprint)
        self.assertNotEqual(first.fingerprint, other.fingerprint)

    def test_nested_call_names_what_may_have_caused_it(self):
        nested = self.identify(build_request(organisation=""))
        self.assertEqual(RUNNING, nested.causes)
        self.assertEqual([], self.identify(build_request()).causes)
        self.running = list(range(1, 100))
        nested = self.identify(build_request(organisation=""))
        self.assertEqual(MAX_CAUSES, len(nested.causes))

    def test_request_runs_alone_after_a_crash_and_until_it_is_served(self):
        request = self.identify(build_request())
        self.assertFalse(self.policy.is_isolated(request))
        self.crash(request, 1)
        self.assertTrue(self.policy.is_isolated(request))
        self.assertTrue(self.policy.may_retry(request))
        self.policy.note_served(request)
        self.assertFalse(self.policy.is_isolated(request))

    def test_request_whose_server_crashed_runs_alone_before_that_is_told(self):
        request = self.identify(build_request())
        request.crashes = 1
        self.assertTrue(self.policy.is_isolated(request))
        self.assertTrue(self.policy.may_retry(request))

    def test_request_is_not_sent_again_after_two_crashes(self):
        request = self.identify(build_request())
        self.crash(request, 2)
        self.assertFalse(self.policy.may_retry(request))

    def test_quarantined_request_is_refused_before_anything_else(self):
        request = self.identify(build_request())
        self.crash(request, 3)
        error = self.assertRaises(Refusal, self.policy.identify, build_request("two"))
        self.assertEqual((503, "request-quarantined"), (error.status, error.code))
        self.assertEqual(300.0, error.retry_after)
        self.assertIn(f"{request.fingerprint:016x}", error.message)

    def test_idle_servers_come_first(self):
        candidates = [build_candidate(1, 2), build_candidate(2), build_candidate(3, 1)]
        self.assertEqual([candidates[1]], self.policy.select(candidates, True))
        candidates[1].server.waiting = 1
        self.assertEqual(candidates, self.policy.select(candidates, True))

    def test_last_sound_servers_are_spared(self):
        candidates = [build_candidate(number) for number in range(SPARED_SERVERS)]
        ejected = build_candidate(9, standing="ejected")
        self.assertEqual([], self.policy.select([*candidates, ejected], True))
