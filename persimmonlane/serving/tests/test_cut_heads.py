import json

import testtools

from ...outcomes import OutcomeKind
from ...standins.backend import Flood, Script
from ...tests.test_sitenode import Site, wait_until
from ...verdicts import Verdict
from .scripted import ScriptedServer, build_response
from .test_exchange import ExchangeTestCase

OWN_ID = "X-Request-Id: one"
OTHER_ID = "X-Request-Id: zero"
SIGNATURE = "X-Response-Signature: s.1"
HEADS = {
    "with a length": f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n{SIGNATURE}\r\n"
    "Content-Length: 5\r\n\r\n",
    "without a length": f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n{SIGNATURE}\r\n\r\n",
    "of an empty answer": f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{OWN_ID}\r\n"
    f"{SIGNATURE}\r\n\r\n",
    "in chunks": f"HTTP/1.1 200 OK\r\n{OWN_ID}\r\n{SIGNATURE}\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
}


class CutHeadTests(ExchangeTestCase):
    """Answers whose head ends early are never taken for whole ones."""

    def assert_cut(self, exchange, place):
        try:
            answer = exchange.run()
        except Exception as error:
            self.assertEqual(Verdict.MAY_HAVE_RUN, error.verdict, place)
            self.assertIn(error.kind, (OutcomeKind.ERROR, OutcomeKind.INVALID), place)
        else:
            self.fail(f"{place}: taken as {answer.status} {answer.body!r}")

    def test_head_that_ends_anywhere_on_a_new_connection(self):
        for kind, head in HEADS.items():
            for length in range(len(head)):
                server = self.start_server(
                    [head[:length].encode(), ScriptedServer.CLOSE]
                )
                place = f"{kind}, {length} bytes"
                self.assert_cut(self.create_exchange(server), place)
                server.stop()

    def test_head_that_ends_anywhere_on_a_kept_connection(self):
        first = build_response(b"a", headers=[OTHER_ID])
        for kind, head in HEADS.items():
            for length in range(0, len(head), 3):
                server = self.start_server(
                    [first], [head[:length].encode(), ScriptedServer.CLOSE]
                )
                self.create_exchange(server, request_id="zero").run()
                place = f"{kind}, {length} bytes"
                self.assert_cut(self.create_exchange(server), place)
                self.assertEqual(1, server.connections)
                server.stop()


class CutHeadOfANodeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def test_caller_gets_no_whole_answer_of_a_head_that_ended_early(self):
        for service, method, path in (
            ("near", "GET", "/near/"),
            ("far", "POST", "/far/"),
        ):
            server = self.site.servers[service]
            for kind, head in HEADS.items():
                for length in (0, 9, 17, 24, 45, len(head) - 3, len(head) - 1):
                    start = head[:length].encode()
                    server.script = Script(flood=Flood(start, None))
                    answer = self.site.call(path, method=method)
                    place = f"{path}, {kind}, {length} bytes: {answer.data!r}"
                    self.assertEqual(502, answer.status, place)
                    self.assertIn("code", json.loads(answer.data), place)
