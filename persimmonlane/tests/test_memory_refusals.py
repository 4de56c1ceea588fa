import contextlib

import testtools

from ..serving.attempts import IngressRequest, Stage
from ..serving.memory import BYTES_PER_MIB
from ..serving.parsing import HEADER_BYTES
from ..sitenode import MAX_RUNNING_REQUESTS
from .test_sitenode import PATIENCE_S, Site, wait_until

REPEATS = 5
BODY_BYTES = 4 * BYTES_PER_MIB
# With a place in the tables each, more than the bytes that need no reservation.
HEADERS = 1000


class MemoryRefusalTests(testtools.TestCase):
    """Refusals of nodes without room must tell that the request has not run."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def fill(self, name):
        memory = self.site.nodes[name][0].memory
        memory.room = None
        size = memory.request_limit_bytes
        self.assertTrue(wait_until(lambda: memory.reserve(size)))
        return memory, size

    def call(self, path="/far/", **fields):
        fields.setdefault("body", b"x" * BODY_BYTES)
        return self.site.call(path, method="POST", timeout=PATIENCE_S, **fields)

    def assert_not_run(self, answer):
        self.assertEqual(
            (503, "not-run"), (answer.status, answer.headers["Persimmon-Verdict"])
        )
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual([], self.site.servers["far"].requests)

    def test_owner_without_room_refuses_a_body_as_not_run(self):
        memory, size = self.fill("far")
        for _ in range(REPEATS):
            self.assert_not_run(self.call())
        memory.release(size)
        self.assertEqual(200, self.call().status)

    def test_owner_says_that_it_has_no_room_after_it_has_waited(self):
        memory = self.site.nodes["far"][0].memory
        size = memory.request_limit_bytes
        self.assertTrue(wait_until(lambda: memory.reserve(size)))
        answer = self.call()
        self.assert_not_run(answer)
        self.assertIn(b"memory-full", answer.data)

    def test_ingress_without_room_refuses_a_body_as_not_run(self):
        memory, size = self.fill("near")
        for _ in range(REPEATS):
            answer = self.call()
            self.assert_not_run(answer)
            self.assertIn(b"memory-full", answer.data)
        memory.release(size)
        self.assertEqual(200, self.call().status)

    def test_node_without_room_serves_small_requests(self):
        self.fill("near")
        self.fill("far")
        self.assertEqual(200, self.call(body=b"x").status)

    def test_node_without_room_refuses_a_head_of_many_headers(self):
        headers = {f"X-N{number}": "v" for number in range(HEADERS)}
        self.assertTrue(len(headers) * HEADER_BYTES > 64 * 1024)
        self.assertEqual(200, self.call(body=b"x", headers=headers).status)
        self.site.servers["far"].requests.clear()
        self.fill("near")
        answer = self.call(body=b"x", headers=headers)
        self.assert_not_run(answer)
        self.assertIn(b"memory-full", answer.data)


class SlowCallersTests(testtools.TestCase):
    """Callers that send or read slowly must not make a node refuse all others."""

    def check(self, stage, status):
        site = Site(self)
        self.assertTrue(wait_until(site.is_converged))
        node = site.nodes["near"][0]
        with contextlib.ExitStack() as stack:
            for _ in range(MAX_RUNNING_REQUESTS + 1):
                request = IngressRequest("GET", "/near/", [], None, node.clock.now())
                request.stage = stage
                stack.enter_context(node.running.track(request))
            self.assertEqual(status, site.call("/near/").status)

    def test_bodies_that_come_slowly_do_not_make_a_node_busy(self):
        self.check(Stage.BODY, 200)

    def test_answers_that_are_read_slowly_do_not_make_a_node_busy(self):
        self.check(Stage.ANSWER, 200)

    def test_requests_at_backend_servers_make_a_node_busy(self):
        self.check(Stage.SERVER, 503)
