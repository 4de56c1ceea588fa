import testtools

from .test_sitenode import Site, wait_until

SHORT = {"X-Timeout-Ms": "1000"}


class DepartureTests(testtools.TestCase):
    """A backend server that has left gets no request after a restart of its node."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
        self.server = self.site.servers["far"]

    def knows_that_it_leaves(self):
        node, _ = self.site.nodes["near"]
        (peer,) = node._table.list_live()
        return not peer.announcement.server.ready

    def restart_node(self):
        """Restart the node; it gets a heartbeat from before the server left."""
        self.assertTrue(wait_until(self.knows_that_it_leaves))
        self.site.nodes["far"][0].stop()
        self.site.restart_node(self, "far")
        self.assertTrue(wait_until(self.site.is_converged))
        owner = self.site.nodes["far"][0].owner
        self.assertTrue(wait_until(lambda: not owner.is_ready()))

    def check_not_used(self):
        for service in ("near", "far"):
            answer = self.site.call("/far/", service, SHORT, method="POST")
            self.assertEqual(503, answer.status)
            self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertEqual([], self.server.requests)

    def test_departed_server_is_not_used_again(self):
        _, settings = self.site.nodes["far"]
        self.assertEqual(200, self.server.send_departure(settings.heartbeat_address))
        self.restart_node()
        self.check_not_used()

    def test_draining_server_is_not_used_again(self):
        _, settings = self.site.nodes["far"]
        status = self.server.send_heartbeat(settings.heartbeat_address, "draining")
        self.assertEqual(200, status)
        self.restart_node()
        self.check_not_used()
