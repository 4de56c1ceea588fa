import threading
import uuid

import testtools
import urllib3

from ..standins.backend import Script
from .test_sitenode import PATIENCE_S, Site, await_true

GRACE_S = 3.0
SLOTS = 4
NO_ANSWER = "no answer"


class Caller:
    """Sends one request in a thread and keeps what came back."""

    def __init__(self, site, path="/far/", **fields):
        self.answer = None
        self._site = site
        self._path = path
        headers = {"X-Request-Id": uuid.uuid4().hex}
        self._fields = {
            "method": "POST",
            "body": b"x",
            "headers": headers,
            "timeout": PATIENCE_S,
            **fields,
        }
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def wait(self):
        self._thread.join()
        return self.answer

    def _run(self):
        try:
            answer = self._site.call(self._path, **self._fields)
        except urllib3.exceptions.HTTPError:
            self.answer = NO_ANSWER
            return
        self.answer = (answer.status, answer.headers.get("Persimmon-Verdict"))


class StoppingTests(testtools.TestCase):
    """A node is told to stop while it serves callers."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(await_true(self.site.is_whole))
        self.node, settings = self.site.nodes["near"]
        settings.grace_s = GRACE_S
        self.server = self.site.servers["far"]

    def begin_stop(self):
        thread = threading.Thread(target=self.stop, daemon=True)
        thread.start()
        return thread

    def stop(self):
        self.node.drain()
        self.node.stop()

    def await_leaving(self, share):
        self.assertTrue(
            await_true(lambda: self.node.shutdown.get_elapsed_s() > GRACE_S * share)
        )

    def test_request_that_waits_for_a_slot_as_its_node_ends_did_not_run(self):
        self.server.script = Script(hang=True)
        running = [Caller(self.site) for _ in range(SLOTS)]
        self.assertTrue(await_true(lambda: len(self.server.requests) == SLOTS))
        waiting = Caller(self.site)
        self.assertTrue(await_true(lambda: self.node.running.count > SLOTS))
        self.begin_stop().join()
        self.assertEqual((503, "not-run"), waiting.wait())
        self.assertEqual(SLOTS, len(self.server.requests))
        for caller in running:
            caller.wait()

    def test_request_that_comes_too_late_to_be_served_did_not_run(self):
        self.server.script = Script(work_s=GRACE_S)
        stop = self.begin_stop()
        self.await_leaving(0.6)
        late = Caller(self.site)
        self.assertEqual((503, "not-run"), late.wait())
        stop.join()
        self.assertEqual([], self.server.requests)

    def test_refusal_of_a_late_upload_is_not_reset(self):
        stop = self.begin_stop()
        self.await_leaving(0.6)
        late = [Caller(self.site, body=b"x" * 500_000) for _ in range(8)]
        self.assertEqual({(503, "not-run")}, {caller.wait() for caller in late})
        stop.join()
        self.assertEqual([], self.server.requests)

    def test_request_at_a_server_that_hangs_is_answered_as_its_node_ends(self):
        self.server.script = Script(hang=True)
        caller = Caller(self.site)
        self.assertTrue(await_true(lambda: self.server.requests))
        self.begin_stop().join()
        self.assertEqual((504, "may-have-run"), caller.wait())

    def test_request_on_an_open_connection_as_an_idle_node_ends_did_not_run(self):
        _, settings = self.site.nodes["near"]
        settings.grace_s = 2 * GRACE_S
        with urllib3.PoolManager(retries=False, maxsize=1) as kept:
            before = Caller(self.site, path="/none/", pool=kept)
            self.assertEqual((404, "not-run"), before.wait())
            end, answers = self.node._end_waits, []

            def call_and_end():
                answers.append(Caller(self.site, pool=kept).wait())
                end()

            self.node._end_waits = call_and_end
            self.begin_stop().join()
        self.assertEqual([(503, "not-run")], answers)
        self.assertEqual([], self.server.requests)
