import random

import testtools

from ...clocks import ManualClock
from ..ledger import CrashLedger, LedgerEntry, Standing

SERVERS = 9
SLOTS = 4
STEP_S = 0.02
REQUESTS_PER_S = 40.0
WORK_S = 0.4
RETRIES = 2
DAY_S = 40.0
DOWN_S = 3.0
DEADLY = 1
HOT = range(2, 12)
FIRST_RARE = 1000
SEEDS = range(10)


class Server:
    """A backend server, and what the node beside it knows.

    Attributes:
        running: Clock seconds at which each request ends, by its fingerprint.
        up_at: Clock seconds from which on it takes requests.
    """

    def __init__(self, clock):
        self.ledger = CrashLedger(clock)
        self.running = []
        self.process = 0
        self.up_at = 0.0


class RunningRequest:
    def __init__(self, fingerprint, ends_at, retries_left):
        self.fingerprint = fingerprint
        self.ends_at = ends_at
        self.retries_left = retries_left


class Service:
    """A service under load, whose servers crash. What is known spreads at once.

    Attributes:
        crashes: Number of crashes by the deadly request.
    """

    def __init__(self, seed, hot_share, deadly_per_s=0.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.servers = [Server(self.clock) for _ in range(SERVERS)]
        self.crashes = 0
        self._hot_share = hot_share
        self._deadly_per_s = deadly_per_s
        self._processes = 0
        self._rare = FIRST_RARE

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._end_requests()
            if self.rng.random() < REQUESTS_PER_S * STEP_S:
                self._send(self._draw(), RETRIES)
            if self.rng.random() < self._deadly_per_s * STEP_S:
                self._send(DEADLY, 0)

    def crash(self, server, with_node=False):
        """Let a server crash; all nodes hear of it unless its own is lost with it."""
        requests, server.running = server.running, []
        self._processes += 1
        server.up_at = self.clock.now() + DOWN_S
        if with_node:
            server.ledger = CrashLedger(self.clock)
        else:
            for request in requests:
                entry = LedgerEntry(
                    request.fingerprint, self._processes, self.clock.now()
                )
                self._tell(server, entry)
        return requests

    def retry(self, requests):
        for request in requests:
            if request.retries_left > 0:
                self._send(request.fingerprint, request.retries_left - 1)

    def list_convicted(self):
        fingerprints = {
            entry.fingerprint
            for server in self.servers
            for entry in server.ledger.list_entries()
        }
        return sorted(
            fingerprint
            for fingerprint in fingerprints
            if any(
                server.ledger.get_standing(fingerprint) is Standing.QUARANTINED
                for server in self.servers
            )
        )

    def _tell(self, teller, entry):
        told = teller.ledger.apply(entry)
        if told is None:
            return
        for other in self.servers:
            objection = other.ledger.apply(told)
            if objection is not None and objection is not told:
                for server in self.servers:
                    server.ledger.apply(objection)

    def _draw(self):
        if self.rng.random() < self._hot_share:
            return self.rng.choice(HOT)
        self._rare += 1
        return self._rare

    def _send(self, fingerprint, retries_left):
        ingress = self.rng.choice(self.servers)
        standing = ingress.ledger.get_standing(fingerprint)
        if standing is Standing.QUARANTINED:
            return
        now = self.clock.now()
        is_alone = standing is Standing.IMPLICATED
        free = [
            server
            for server in self.servers
            if server.up_at <= now and len(server.running) < (1 if is_alone else SLOTS)
        ]
        if not free:
            return
        server = self.rng.choice(free)
        ends_at = now + WORK_S * self.rng.uniform(0.3, 2.0)
        server.running.append(RunningRequest(fingerprint, ends_at, retries_left))
        if fingerprint == DEADLY:
            self.crashes += 1
            self.retry(self.crash(server))

    def _end_requests(self):
        now = self.clock.now()
        for server in self.servers:
            for request in [r for r in server.running if r.ends_at <= now]:
                server.running.remove(request)
                clearance = server.ledger.note_served(request.fingerprint)
                if clearance is not None:
                    for other in self.servers:
                        other.ledger.apply(clearance)


class FalseConvictionTests(testtools.TestCase):
    """Requests that only ran where servers crashed must not be refused."""

    def measure(self, disrupt, hot_share):
        """Return the fingerprints that were convicted, by the seed."""
        convicted = {}
        for seed in SEEDS:
            service = Service(seed, hot_share)
            service.run(5.0)
            found = set()
            for _ in range(6):
                disrupt(service)
                service.run(DAY_S / 6)
                found.update(service.list_convicted())
            if found:
                convicted[seed] = sorted(found)
        return convicted

    def test_none_when_a_whole_service_crashes(self):
        for hot_share in (0.0, 0.3, 0.9):
            self.assertEqual({}, self.measure(crash_all, hot_share))

    def test_none_when_many_machines_lose_power(self):
        for hot_share in (0.0, 0.3, 0.9):
            self.assertEqual({}, self.measure(lose_power, hot_share))

    def test_none_when_servers_go_down_and_up_by_turns(self):
        for hot_share in (0.0, 0.3, 0.9):
            self.assertEqual({}, self.measure(flap, hot_share))


class ConvictionTests(testtools.TestCase):
    def test_deadly_request_ends_three_servers_under_load_and_no_other_is_convicted(
        self,
    ):
        for seed in SEEDS:
            service = Service(seed, 0.3, deadly_per_s=1.0)
            service.run(DAY_S)
            self.assertEqual((seed, 3), (seed, service.crashes))
            self.assertEqual([DEADLY], service.list_convicted())

    def test_deadly_request_is_convicted_while_other_servers_crash_too(self):
        for seed in SEEDS:
            service = Service(seed, 0.3, deadly_per_s=1.0)
            for _ in range(8):
                service.run(DAY_S / 8)
                flap(service)
            self.assertEqual([DEADLY], service.list_convicted())
            self.assertLessEqual(service.crashes, 3)


def crash_all(service):
    requests = [
        request for server in service.servers for request in service.crash(server)
    ]
    service.run(DOWN_S + 0.1)
    service.retry(requests)


def lose_power(service):
    lost = service.rng.sample(service.servers, round(0.6 * SERVERS))
    requests = [
        request for server in lost for request in service.crash(server, with_node=True)
    ]
    service.retry(requests)


def flap(service):
    for _ in range(3):
        service.retry(service.crash(service.rng.choice(service.servers)))
        service.run(0.3)
