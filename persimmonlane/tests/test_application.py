import json
import logging
import os
import signal
import subprocess
import sys

import testtools

from ..actors import MAX_FAILURES_IN_ROW, Actor
from ..application import EXIT_FAILED, EXIT_OK, Application, Part
from ..logs import create_formatter


class RecordingPart(Part):
    def __init__(self, name, calls):
        self.name = name
        self.calls = calls

    def start(self):
        self.calls.append(f"{self.name} starts")

    def ready(self):
        self.calls.append(f"{self.name} is ready")

    def drain(self):
        self.calls.append(f"{self.name} drains")

    def stop(self):
        self.calls.append(f"{self.name} stops")


class FailingActor(Actor):
    handlers = {str: "fail"}

    def __init__(self, application):
        super().__init__(application)
        self.handled = []

    def fail(self, message):
        self.handled.append(message)
        if message == "broken":
            raise ValueError(message)


class ApplicationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.calls = []
        self.application = Application()
        for name in ("a", "b"):
            self.application.add(RecordingPart(name, self.calls))
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_life_cycle_hooks_run_in_order(self):
        self.application.request_stop()
        self.assertEqual(EXIT_OK, self.application.run())
        expected = [
            "a starts",
            "b starts",
            "a is ready",
            "b is ready",
            "a drains",
            "b drains",
            "b stops",
            "a stops",
        ]
        self.assertEqual(expected, self.calls)

    def test_parts_that_did_not_start_are_not_stopped(self):
        class Faulty(Part):
            def start(self):
                raise ValueError("no port")

        self.application.add(Faulty())
        self.application.add(RecordingPart("c", self.calls))
        self.assertRaises(ValueError, self.application.run)
        expected = ["a starts", "b starts", "b stops", "a stops"]
        self.assertEqual(expected, self.calls)

    def test_failure_to_stop_a_part_does_not_affect_others(self):
        class Faulty(Part):
            def stop(self):
                raise ValueError("stuck")

        self.application.add(Faulty())
        self.application.request_stop()
        self.assertEqual(EXIT_OK, self.application.run())
        self.assertEqual("a stops", self.calls[-1])

    def test_signal_drains(self):
        class Terminating(Part):
            def ready(self):
                os.kill(os.getpid(), signal.SIGTERM)

        self.application.add(Terminating())
        self.assertEqual(EXIT_OK, self.application.run())
        self.assertIn("a drains", self.calls)

    def test_second_signal_does_not_interrupt_the_drain(self):
        class Terminating(Part):
            def ready(self):
                os.kill(os.getpid(), signal.SIGTERM)

            def drain(self):
                os.kill(os.getpid(), signal.SIGTERM)

        self.application.parts.insert(0, Terminating())
        self.assertEqual(EXIT_OK, self.application.run())
        self.assertIn("a drains", self.calls)
        self.assertEqual("a stops", self.calls[-1])

    def test_burst_of_signals_does_not_prevent_the_drain(self):
        script = """
import os, signal, threading
from persimmonlane.application import Application, Part

class Bursting(Part):
    def ready(self):
        threading.Thread(target=self.send, daemon=True).start()

    def send(self):
        for _ in range(300):
            os.kill(os.getpid(), signal.SIGTERM)

    def drain(self):
        print("drained")

application = Application()
application.add(Bursting())
raise SystemExit(application.run())
"""
        for _ in range(5):
            completed = subprocess.run(
                [sys.executable, "-c", script],
                capture_output=True,
                text=True,
                timeout=60,
            )
            self.assertEqual((0, "drained\n"), (completed.returncode, completed.stdout))

    def test_unexpected_error_ends_neither_the_actor_nor_the_process(self):
        actor = FailingActor.start(self.application)
        for _ in range(MAX_FAILURES_IN_ROW * 2):
            actor.tell("broken")
            actor.tell("good")
        handled = actor.proxy().handled.get(timeout=10)
        self.assertEqual(["broken", "good"] * MAX_FAILURES_IN_ROW * 2, handled)
        self.assertIsNone(self.application.failure)
        actor.stop()

    def test_actor_that_keeps_failing_stops_the_process_without_draining(self):
        actor = FailingActor.start(self.application)
        for _ in range(MAX_FAILURES_IN_ROW):
            actor.tell("broken")
        self.assertEqual(EXIT_FAILED, self.application.run())
        self.assertEqual("actor-died", self.application.failure)
        self.assertNotIn("a drains", self.calls)


class LogTests(testtools.TestCase):
    def test_json_lines_are_objects(self):
        record = logging.makeLogRecord({"msg": "Limits: took shard %d.", "args": (7,)})
        fields = json.loads(create_formatter("vm-1").format(record))
        self.assertEqual("Limits: took shard 7.", fields["message"])
        self.assertEqual("vm-1", fields["node"])
