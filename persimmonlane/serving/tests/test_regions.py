"""Requests that may be served in certain regions only, on each path of a request."""

import random

import testtools

from ...clocks import ManualClock
from ...errors import Refusal
from ...fleetsettings import FleetSettings
from ...outcomes import OutcomeKind
from ...peers.statuses import Announcement, ServerStatus
from ...peers.table import PeerTable
from ...quarantine.ledger import CrashLedger, LedgerEntry
from ...routing.rulebook import (
    Organisation,
    Route,
    RouteKind,
    WeightedService,
    intersect_regions,
)
from ...signals import PollableEvent
from ...sitenode import NodeState
from ...verdicts import Verdict
from ..attempts import Attempt, IngressRequest
from ..hedge import AttemptWatch
from ..ingress import Ingress
from ..isolation import IsolationPolicy
from ..refusals import REGION_NOT_ALLOWED
from ..responses import CompleteResponse
from ..sending import AttemptSender
from ..shutdown import Shutdown

REGIONS = {"south-1": "south", "south-2": "south", "north-1": "north"}
SOUTH = frozenset({"south"})
NORTH = frozenset({"north"})


def build_settings(regions=REGIONS, **changes):
    given = dict.fromkeys(FleetSettings.__slots__, "")
    given.update(FleetSettings.DEFAULTS)
    given.update(FleetSettings.SITE_DEFAULTS)
    given.update({"name": "self", "data_centre": "south-1", "service": "own"})
    given.update(regions=regions, **changes)
    return FleetSettings(**given)


def build_route(allowed=None, kind=RouteKind.SAFE, services=("prices",), **changes):
    given = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/",
        "kind": kind,
        "services": [WeightedService(name, 1) for name in services],
        "timeout_s": 5.0,
        "objective_s": 2.0,
        "max_attempts": 3,
        "priority": 1,
        "allow_anonymous": False,
        "allowed_regions": allowed,
    }
    given.update(changes)
    return Route(**given)


def build_request(clock, route, organisation_regions=None, body=b""):
    request = IngressRequest("GET", "/a", [], None, clock.now())
    request.route = route
    request.organisation = Organisation("o", 0, 0, None, organisation_regions)
    request.deadline = clock.now() + route.timeout_s
    request.body = body
    request.fingerprint = 5
    return request


class Budget:
    def note_request(self, service):
        pass

    def take(self, service):
        return True

    def refund(self, service):
        pass


class Events:
    def note_attempt(self, *values):
        pass


class Actor:
    """Records the questions to other nodes, and answers none."""

    def __init__(self):
        self.told = []

    def tell(self, message):
        self.told.append(message)


class Sender:
    """Takes the place of the `AttemptSender`.

    Attributes:
        choices: The `PlacementChoice`s of the attempts.
        results: What to return for them: `Attempt`s; success after the last one.
    """

    def __init__(self, *results):
        self.choices = []
        self.results = list(results)

    def send(self, request, choice, hedge, watch):
        self.choices.append(choice)
        if self.results:
            return self.results.pop(0)
        return Attempt(CompleteResponse(200, [], b"", None), Verdict.RAN)

    def list_data_centres(self):
        return [
            item.candidate.peer.data_centre if item.candidate.peer else "south-1"
            for item in self.choices
        ]


def reject(wait_s=0.2):
    return Attempt(None, Verdict.NOT_RUN, "server-busy", wait_s)


def build_rejections(count):
    return [reject() for _ in range(count)]


def fail():
    return Attempt(None, Verdict.MAY_HAVE_RUN, "broke", kind=OutcomeKind.ERROR)


class IngressTestCase(testtools.TestCase):
    """An ingress in data centre south-1 with peers and a scripted sender."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.own = None
        self.actor = Actor()
        self.ledger = CrashLedger(self.clock)
        self.build()

    def build(self, **settings):
        self.settings = build_settings(**settings)
        self.table = PeerTable("self", "south-1", 1, self.clock)
        self.ingress = Ingress(
            self.settings,
            self.clock,
            None,
            lambda: NodeState(False, self.own),
            self.table,
            self.actor,
            None,
            Budget(),
            Events(),
            Shutdown(self.clock),
            None,
            None,
            IsolationPolicy(self.ledger, list),
        )
        self.ingress._rng.seed(7)

    def add(self, number, data_centre, service="prices", **changes):
        given = {"slots": 4, "running": 0, "waiting": 0, "standing": "sound"}
        given.update(changes)
        server = ServerStatus(f"i-{number}", service, True, cold_s=0.0, **given)
        self.table.apply_announcement(
            Announcement(
                f"n-{number}",
                number,
                1,
                f"10.0.0.{number}:80",
                data_centre,
                False,
                1,
                0.1,
                0,
                0,
                server,
            )
        )
        return server

    def forward(self, request, *results):
        """Forward a request; return the data centres that it was sent to."""
        self.sender = self.ingress._sender = Sender(*results)
        try:
            self.ingress.forward(request)
        except Refusal as refusal:
            self.refusal = refusal
        return self.sender.list_data_centres()


class AllowedRegionTests(IngressTestCase):
    """No path of a request leads to a region that it must not use."""

    def setUp(self):
        super().setUp()
        for number in range(2, 5):
            self.add(number, "south-2", running=4, waiting=6)
        for number in range(5, 9):
            self.add(number, "north-1")

    def test_route_and_organisation_must_both_allow_a_region(self):
        for route, organisation, expected in (
            (None, None, None),
            (SOUTH, None, SOUTH),
            (None, NORTH, NORTH),
            (SOUTH, NORTH, frozenset()),
        ):
            found = intersect_regions(
                build_route(route), Organisation("o", 0, 0, None, organisation)
            )
            self.assertEqual(expected, found)
        self.assertEqual(SOUTH, intersect_regions(build_route(SOUTH), None))

    def test_first_attempt_and_last_resorts_stay_in_allowed_regions(self):
        # The servers there are busy, those of the other region are free.
        request = build_request(self.clock, build_route(SOUTH))
        sent = self.forward(request, *build_rejections(9))
        self.assertIn(True, [item.last_resort for item in self.sender.choices])
        self.assertEqual({"south-2"}, set(sent))
        self.assertEqual("overloaded", self.refusal.code)

    def test_retries_stay_in_allowed_regions(self):
        request = build_request(self.clock, build_route(None), NORTH)
        self.assertEqual(["north-1"] * 3, self.forward(request, fail(), fail(), fail()))

    def test_hedges_stay_in_allowed_regions(self):
        signal = PollableEvent()
        self.addCleanup(signal.close)
        watch = AttemptWatch(None, signal)
        for _ in range(20):
            request = build_request(self.clock, build_route(SOUTH))
            self.forward(request)
            first = self.sender.choices[0].candidate.server.server_id
            self.ingress.run_hedge(request, watch, first)
            self.assertEqual({"south-2"}, set(self.sender.list_data_centres()))

    def test_requests_that_run_alone_stay_in_allowed_regions(self):
        request = build_request(self.clock, build_route(SOUTH))
        self.ledger.apply(LedgerEntry(request.fingerprint, 1, self.clock.now()))
        sent = self.forward(request, *build_rejections(9))
        self.assertEqual({"south-2"}, set(sent))
        self.assertTrue(all(item.alone for item in self.sender.choices))

    def test_nested_calls_stay_in_the_regions_of_their_route(self):
        for _ in range(20):
            request = build_request(self.clock, build_route(SOUTH))
            request.organisation = None
            self.assertEqual(["south-2"], self.forward(request))

    def test_each_part_of_a_traffic_split_stays_in_allowed_regions(self):
        for number in range(10, 13):
            self.add(number, "south-2", "canary", running=4)
            self.add(number + 10, "north-1", "canary")
        route = build_route(SOUTH, services=("prices", "canary"))
        for _ in range(40):
            request = build_request(self.clock, route)
            self.assertEqual(["south-2"], self.forward(request))

    def test_own_server_of_the_node_is_no_exception(self):
        self.own = ServerStatus("i-1", "prices", True, 4, 0, 0, "sound", 0.0)
        for _ in range(20):
            request = build_request(self.clock, build_route(NORTH))
            self.assertEqual(["north-1"], self.forward(request))

    def test_capacity_checks_ask_allowed_regions_only(self):
        # A check tells another region of the request before its body does.
        request = build_request(self.clock, build_route(SOUTH), body=b"x" * 4096)
        sender = self.ingress._sender
        self.assertIsInstance(sender, AttemptSender)
        asked = []

        def check(request, order, peer):
            asked.append(peer.data_centre)
            return reject()

        class Capacity:
            pass

        sender._capacity = Capacity()
        sender._capacity.check = check
        self.assertRaises(Refusal, self.ingress.forward, request)
        self.assertEqual({"south-2"}, set(asked))

    def test_request_without_an_allowed_server_is_refused_at_once(self):
        for route, organisation in ((frozenset({"west"}), None), (SOUTH, NORTH)):
            request = build_request(self.clock, build_route(route), organisation)
            self.assertEqual([], self.forward(request))
            self.assertEqual(REGION_NOT_ALLOWED, self.refusal.code)
            self.assertEqual(503, self.refusal.status)
            self.assertIs(Verdict.NOT_RUN, self.refusal.verdict)
            self.assertGreater(self.refusal.retry_after, 0)

    def test_isolated_request_without_an_allowed_server_names_the_regions(self):
        request = build_request(self.clock, build_route(frozenset({"west"})))
        self.ledger.apply(LedgerEntry(request.fingerprint, 1, self.clock.now()))
        self.assertEqual([], self.forward(request))
        self.assertEqual(REGION_NOT_ALLOWED, self.refusal.code)

    def test_data_centre_of_an_unknown_region_serves_no_restricted_request(self):
        self.add(30, "new-1")
        for _ in range(20):
            request = build_request(self.clock, build_route(NORTH))
            self.assertEqual(["north-1"], self.forward(request))

    def test_retry_after_counts_the_limits_of_allowed_servers_only(self):
        # A server without a limit in another region would hide the backlog here.
        self.build()
        self.add(2, "south-2", limit=0.2)
        self.add(5, "north-1")
        self.ingress._refusals.returns._rng = random.Random(1)
        route = build_route(SOUTH, RouteKind.UNSAFE)
        waits = []
        for _ in range(6):
            self.forward(build_request(self.clock, route), *build_rejections(9))
            waits.append(self.refusal.retry_after)
        self.assertGreater(max(waits), 1.0)
