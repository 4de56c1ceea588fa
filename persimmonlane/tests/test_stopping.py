import threading
import uuid

import testtools
import urllib3

from ..serving.shutdown import ANSWER_SHARE
from ..standins.backend import Script
from .test_sitenode import PATIENCE_S, Site, wait_until

GRACE_S = 3.0
SLOTS = 4
NO_RESPONSE = "no response"


class BackgroundRequest:
    """A request that is sent in a thread of its own.

    Attributes:
        result: Status and verdict of the response, `NO_RESPONSE` if there was none, or
            None before that.
    """

    def __init__(self, site, path="/far/", **fields):
        self.result = None
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

    def wait_for_result(self):
        self._thread.join()
        return self.result

    def _run(self):
        try:
            response = self._site.call(self._path, **self._fields)
        except urllib3.exceptions.HTTPError:
            self.result = NO_RESPONSE
            return
        self.result = (response.status, response.headers.get("Persimmon-Verdict"))


class StoppingTests(testtools.TestCase):
    """A node that is stopped while it serves requests."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
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

    def wait_for_grace_fraction(self, fraction):
        self.assertTrue(
            wait_until(lambda: self.node.shutdown.get_elapsed_s() > GRACE_S * fraction)
        )

    def test_request_that_waits_for_a_slot_when_its_node_ends_did_not_run(self):
        self.server.script = Script(hang=True)
        running_requests = [BackgroundRequest(self.site) for _ in range(SLOTS)]
        self.assertTrue(wait_until(lambda: len(self.server.requests) == SLOTS))
        queued = BackgroundRequest(self.site)
        self.assertTrue(wait_until(lambda: self.node.running.count > SLOTS))
        self.begin_stop().join()
        self.assertEqual((503, "not-run"), queued.wait_for_result())
        self.assertEqual(SLOTS, len(self.server.requests))
        for request in running_requests:
            request.wait_for_result()

    def test_request_that_arrives_too_late_to_be_served_did_not_run(self):
        self.server.script = Script(work_s=GRACE_S)
        stop = self.begin_stop()
        self.wait_for_grace_fraction(0.6)
        late_request = BackgroundRequest(self.site)
        self.assertEqual((503, "not-run"), late_request.wait_for_result())
        stop.join()
        self.assertEqual([], self.server.requests)

    def test_late_request_to_a_slow_server_gets_an_answer(self):
        self.server.slots = 1000
        _, settings = self.site.nodes["far"]
        self.server.send_heartbeat(settings.heartbeat_address)
        self.server.script = Script(work_s=2 * GRACE_S)
        stop = self.begin_stop()
        requests = []
        for fraction in (0.45, 0.52, 0.56, 0.6, 0.64, 0.68, 0.72, 0.8):
            self.wait_for_grace_fraction(fraction)
            left_s = GRACE_S * (ANSWER_SHARE - fraction)
            for share in (0.5, 0.9, 1.1):
                timeout = {"X-Timeout-Ms": str(int(left_s * share * 1000))}
                headers = {"X-Request-Id": uuid.uuid4().hex, **timeout}
                requests.append(BackgroundRequest(self.site, headers=headers))
        stop.join()
        results = {request.wait_for_result() for request in requests}
        self.assertNotIn(NO_RESPONSE, results)
        self.assertTrue(results <= {(503, "not-run"), (504, "may-have-run")}, results)

    def test_refusal_of_a_late_upload_is_delivered_without_a_reset(self):
        stop = self.begin_stop()
        self.wait_for_grace_fraction(0.6)
        late_requests = [
            BackgroundRequest(self.site, body=b"x" * 500_000) for _ in range(8)
        ]
        self.assertEqual(
            {(503, "not-run")}, {request.wait_for_result() for request in late_requests}
        )
        stop.join()
        self.assertEqual([], self.server.requests)

    def test_request_to_a_hanging_server_gets_a_response_when_its_node_ends(self):
        self.server.script = Script(hang=True)
        request = BackgroundRequest(self.site)
        self.assertTrue(wait_until(lambda: self.server.requests))
        self.begin_stop().join()
        self.assertEqual((504, "may-have-run"), request.wait_for_result())

    def test_request_on_an_open_connection_when_an_idle_node_ends_did_not_run(self):
        _, settings = self.site.nodes["near"]
        settings.grace_s = 2 * GRACE_S
        with urllib3.PoolManager(retries=False, maxsize=1) as pool_of_one:
            first_request = BackgroundRequest(
                self.site, path="/none/", pool=pool_of_one
            )
            self.assertEqual((404, "not-run"), first_request.wait_for_result())
            end_waits, results = self.node._end_unfinished_requests, []

            def send_request_and_end():
                results.append(
                    BackgroundRequest(self.site, pool=pool_of_one).wait_for_result()
                )
                end_waits()

            self.node._end_unfinished_requests = send_request_and_end
            self.begin_stop().join()
        self.assertEqual([(503, "not-run")], results)
        self.assertEqual([], self.server.requests)
