import socket

import pykka
import testtools

from persimmonlane.application import Application
from persimmonlane.reporting.metrics import NoMetrics, create_metrics
from persimmonlane.reporting.part import History, build_reporting
from persimmonlane.reporting.tests.test_burn import make_record


class PartTest(testtools.TestCase):
    def test_records_are_kept_and_counted(self):
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        metrics = create_metrics(f"127.0.0.1:{server.getsockname()[1]}", "p")
        drained = [[make_record(0, errors=3)], [make_record(1)]]
        part = build_reporting(Application(), lambda: drained.pop(0), metrics)
        part.collect()
        part.collect()
        self.assertEqual(2, len(part.history.list()))
        self.assertEqual(b"p.services.prices.requests:100|c", server.recv(100))
        self.assertEqual(b"p.services.prices.errors:3|c", server.recv(100))

    def test_a_dead_actor_harms_nothing(self):
        def drain():
            raise pykka.ActorDeadError("gone")

        part = build_reporting(Application(), drain, NoMetrics())
        part.collect()
        self.assertEqual((), part.history.list())

    def test_life_cycle(self):
        application = Application()
        build_reporting(application, list, NoMetrics())
        application.start()
        application.drain()
        application.stop()

    def test_history_is_bounded(self):
        history = History(limit=5)
        history.add([make_record(n) for n in range(9)])
        self.assertEqual(5, len(history.list()))
        self.assertEqual(540.0, history.list()[-1].end_s)
