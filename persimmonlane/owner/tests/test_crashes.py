import threading

import testtools

from ...clocks import ManualClock
from ...explaining.tests.test_events import capture_records
from ...quarantine.ledger import CrashLedger, Standing
from ..backend import Heartbeat, ServerState
from ..crashes import BREAK_MEMORY_S, PROBE_INTERVAL_S, CrashObserver
from .hosting import build_hosted
from .test_owner import build_order

ADDRESS = "10.0.0.1:80"


class CrashObserverTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.hosted = build_hosted(self.clock, ADDRESS)
        self.ledger = CrashLedger(self.clock)
        self.listens = True
        self.probes = 0
        self.observer = CrashObserver(
            self.clock, self.hosted, self.ledger, self.is_listening
        )
        self.told = []
        self.observer.on_crash = self.told.append
        self.start("i-1", 5)

    def is_listening(self):
        self.probes += 1
        return self.listens

    def start(self, server_id, born, state=ServerState.READY, sequence=1):
        before = self.hosted.current
        heartbeat = Heartbeat(
            server_id, "prices", ADDRESS, born, sequence, state, 4, 0.0
        )
        self.hosted.apply_heartbeat(heartbeat)
        if before is not None and before.born != born:
            self.observer.note_started(before)

    def enter(self, fingerprint, causes=()):
        order = build_order(
            request_id=f"id-{fingerprint}", fingerprint=fingerprint, causes=list(causes)
        )
        return self.observer.enter(order, fingerprint, self.hosted.current)

    def list_implicated(self):
        return sorted(entry.fingerprint for told in self.told for entry in told)

    def test_all_requests_that_were_running_are_implicated(self):
        ended = self.enter(1)
        self.observer.leave(ended)
        requests = [self.enter(fingerprint) for fingerprint in (2, 3, 4)]
        self.listens = False
        self.assertTrue(all(map(self.observer.examine_break, requests)))
        self.assertEqual([2, 3, 4], self.list_implicated())
        self.assertEqual(1, self.probes)
        self.assertEqual(Standing.CLEAR, self.ledger.get_standing(1))

    def test_server_that_crashed_takes_no_requests_until_it_is_heard_of(self):
        self.listens = False
        self.observer.examine_break(self.enter(2))
        self.assertFalse(self.hosted.is_ready())
        self.start("i-1", 5, sequence=2)
        self.assertTrue(self.hosted.is_ready())

    def test_connection_that_is_reset_is_no_crash(self):
        self.assertFalse(self.observer.examine_break(self.enter(2)))
        self.assertEqual([], self.told)
        self.assertTrue(self.hosted.is_ready())

    def test_planned_end_is_no_crash(self):
        request = self.enter(2)
        self.start("i-1", 5, ServerState.DRAINING, sequence=2)
        self.listens = False
        self.assertFalse(self.observer.examine_break(request))
        self.start("i-2", 9)
        self.assertEqual([], self.told)

    def test_departure_is_no_crash(self):
        request = self.enter(2)
        self.hosted.apply_departure("i-1", 5)
        self.listens = False
        self.assertFalse(self.observer.examine_break(request))

    def test_break_is_a_crash_if_another_process_starts_soon_after(self):
        requests = [self.enter(2), self.enter(3)]
        for request in requests:
            self.assertFalse(self.observer.examine_break(request))
            self.observer.leave(request)
        self.clock.advance(BREAK_MEMORY_S / 2)
        self.start("i-1", 9)
        self.assertEqual([2, 3], self.list_implicated())

    def test_break_long_before_a_new_process_is_no_crash(self):
        self.observer.examine_break(self.enter(2))
        self.clock.advance(BREAK_MEMORY_S + 1.0)
        self.start("i-1", 9)
        self.assertEqual([], self.told)

    def test_crash_is_told_once(self):
        self.listens = False
        self.observer.examine_break(self.enter(2))
        self.start("i-1", 9)
        self.assertEqual(1, len(self.told))

    def test_server_is_not_probed_for_each_of_many_breaks(self):
        for _ in range(20):
            self.observer.examine_break(self.enter(2))
        self.assertEqual(1, self.probes)
        self.clock.advance(PROBE_INTERVAL_S)
        self.observer.examine_break(self.enter(2))
        self.assertEqual(2, self.probes)

    def test_requests_that_break_together_wait_for_one_probe(self):
        requests = [self.enter(2), self.enter(3)]
        probing, released = threading.Event(), threading.Event()

        def probe():
            probing.set()
            released.wait(5.0)
            return False

        self.observer._is_listening = probe
        results = []
        threads = [
            threading.Thread(
                target=lambda r=request: results.append(self.observer.examine_break(r))
            )
            for request in requests
        ]
        threads[0].start()
        probing.wait(5.0)
        threads[1].start()
        released.set()
        for thread in threads:
            thread.join()
        self.assertEqual([True, True], results)

    def test_cause_of_a_nested_call_is_implicated_with_it(self):
        self.listens = False
        self.observer.examine_break(self.enter(2, causes=(8, 9)))
        self.assertEqual([2, 8, 9], self.list_implicated())

    def test_request_that_was_just_served_here_is_not_implicated(self):
        self.ledger.note_served(2)
        self.listens = False
        self.observer.examine_break(self.enter(2))
        self.observer.examine_break(self.enter(3))
        self.assertEqual(Standing.CLEAR, self.ledger.get_standing(2))

    def test_request_of_an_older_release_names_nobody(self):
        self.listens = False
        self.assertTrue(self.observer.examine_break(self.enter(0)))
        self.assertEqual([], self.told)

    def test_each_request_gets_a_log_line(self):
        records = capture_records(self)
        requests = [self.enter(2), self.enter(3)]
        self.listens = False
        self.observer.examine_break(requests[0])
        lines = [r for r in records if getattr(r, "event", "") == "request-implicated"]
        self.assertEqual({"id-2", "id-3"}, {line.request for line in lines})
        self.assertEqual({f"{2:016x}", f"{3:016x}"}, {x.fingerprint for x in lines})
        self.assertEqual({(1, 2)}, {(line.crashes, line.running) for line in lines})
