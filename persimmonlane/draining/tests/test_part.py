import threading

import testtools

from persimmonlane.application import Application
from persimmonlane.clocks import SystemClock
from persimmonlane.config.model import Document, FleetPolicy, Route
from persimmonlane.config.view import DocumentView
from persimmonlane.draining.part import build_draining


class FakeMembership:
    def __init__(self):
        self.leaving = threading.Event()

    def announce_leaving(self, address):
        self.leaving.set()

    def hosted_load(self):
        return 0


class FakeConfig:
    def __init__(self, deadline_ms):
        fleet = FleetPolicy(key_salt="00" * 8, announcement_lease_s=0.05)
        route = Route(name="a", path="/", service="a", deadline_ms=deadline_ms)
        self._view = DocumentView(Document(fleet=fleet, routes=(route,)), 1, "")

    def view(self):
        return self._view


class DrainPartTest(testtools.TestCase):
    def build(self, deadline_ms=20_000):
        self.application = Application()
        self.membership = FakeMembership()
        config = FakeConfig(deadline_ms)
        return build_draining(self.application, SystemClock(), self.membership, config)

    def test_waits_for_the_last_request(self):
        part = self.build()
        running = [1]
        part.watch(lambda: running[0])
        self.assertTrue(part.accepts and not part.closes)
        thread = threading.Thread(target=part.drain)
        thread.start()
        self.assertTrue(self.membership.leaving.wait(10))
        while part.accepts:
            self.assertTrue(thread.is_alive())
        self.assertTrue(thread.is_alive())
        running[0] = 0
        thread.join(10)
        self.assertFalse(thread.is_alive())
        self.assertIsNone(self.application.failure)

    def test_cut_request_fails_the_process(self):
        part = self.build(deadline_ms=1)
        part.watch(lambda: 1)
        part.drain()
        self.assertEqual("invariant-graceful", self.application.failure)
