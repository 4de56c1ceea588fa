import testtools

from ..standins.backend import Script
from .test_sitenode import PATIENCE_S, Site, wait_until

SHORT = {"X-Timeout-Ms": "1000"}


class DepartureTests(testtools.TestCase):
    """A backend server that has left gets no request after a restart of its node.

    The store has lost the node's entry, so that only the other nodes remember it.
    """

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
        self.server = self.site.servers["far"]

    def knows_that_it_leaves(self):
        node, _ = self.site.nodes["near"]
        (peer,) = node._table.list_live()
        return peer.announcement.server.leaving

    def restart_node(self):
        """Restart the node; it gets a heartbeat from before the server left."""
        self.assertTrue(wait_until(self.knows_that_it_leaves))
        self.site.nodes["far"][0].stop()
        self.site.store.state.expire_leases()
        self.site.restart_node(self, "far")
        node, _ = self.site.nodes["far"]
        self.assertTrue(wait_until(node.is_ready))
        self.assertTrue(wait_until(node.owner.hosted.departures.list))
        self.assertFalse(node.owner.is_ready())

    def check_not_used(self):
        for service in ("near", "far"):
            answer = self.site.call("/far/", service, SHORT, method="POST")
            self.assertEqual(503, answer.status)
            self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertEqual([], self.server.requests)

    def test_departure_acknowledged_without_the_store_is_remembered(self):
        _, settings = self.site.nodes["far"]
        self.site.set_key_revocation(3 * PATIENCE_S)
        self.site.store.state.error_status = 503
        for tell in (
            lambda: self.server.send_heartbeat(settings.heartbeat_address, "draining"),
            lambda: self.server.send_departure(settings.heartbeat_address, False),
        ):
            self.assertEqual(200, tell())
        self.restart_node()
        self.check_not_used()

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


class ForgottenDepartureTests(testtools.TestCase):
    """All nodes end at once after a backend server's leaving was acknowledged."""

    def setUp(self):
        super().setUp()
        self.site = Site(self)
        self.assertTrue(wait_until(self.site.is_converged))
        self.server = self.site.servers["far"]
        self.control = self.site.nodes["far"][1].heartbeat_address

    def get_node(self):
        return self.site.nodes["far"][0]

    def restart_all_nodes(self):
        """Restart all nodes; a late heartbeat comes before anything can be known."""
        for node, _ in self.site.nodes.values():
            node.stop()
        for service in list(self.site.nodes):
            self.site.restart_node(self, service)
        registration = self.get_node()._upkeep.registration
        self.assertTrue(wait_until(registration.keeps_departures))

    def check_not_used(self):
        self.restart_all_nodes()
        for _ in range(3):
            self.assertEqual(200, self.server.send_heartbeat(self.control))
            self.assertFalse(self.get_node().owner.is_ready())
        served = len(self.server.requests)
        for service in ("near", "far"):
            answer = self.site.call("/far/", service, SHORT, method="POST")
            self.assertEqual(503, answer.status)
            self.assertEqual("not-run", answer.headers["Persimmon-Verdict"])
        self.assertEqual(served, len(self.server.requests))

    def test_departure_that_names_its_process_is_remembered(self):
        self.assertEqual(200, self.server.send_departure(self.control))
        self.check_not_used()

    def test_departure_that_does_not_name_its_process_is_remembered(self):
        self.assertEqual(200, self.server.send_departure(self.control, False))
        self.check_not_used()

    def test_draining_is_remembered(self):
        self.assertEqual(200, self.server.send_heartbeat(self.control, "draining"))
        self.check_not_used()

    def test_leaving_that_an_answer_says_is_remembered(self):
        self.server.script = Script(headers=(("Server-Leaving", "1"),))
        self.assertEqual(200, self.site.call("/far/", method="POST").status)
        departures = self.get_node().owner.hosted.departures
        self.assertTrue(wait_until(departures.list))
        registration = self.get_node()._upkeep.registration
        self.assertTrue(wait_until(registration.keeps_departures))
        self.check_not_used()

    def test_departure_is_remembered_after_a_second_end_of_all_nodes(self):
        self.assertEqual(200, self.server.send_departure(self.control))
        self.restart_all_nodes()
        self.check_not_used()

    def test_departure_before_the_first_heartbeat_is_remembered(self):
        for node, _ in self.site.nodes.values():
            node.stop()
        for service in list(self.site.nodes):
            self.site.start_node(self, service)
        registration = self.get_node()._upkeep.registration
        self.assertTrue(wait_until(registration.keeps_departures))
        self.assertEqual(200, self.server.send_departure(self.control, False))
        self.check_not_used()

    def test_departure_acknowledged_without_the_store_outlives_all_nodes(self):
        self.check_not_used_without_the_store(
            lambda: self.server.send_departure(self.control, False)
        )

    def test_draining_acknowledged_without_the_store_outlives_all_nodes(self):
        self.check_not_used_without_the_store(
            lambda: self.server.send_heartbeat(self.control, "draining")
        )

    def check_not_used_without_the_store(self, tell):
        state = self.site.store.state
        state.error_status = 503
        self.assertEqual(200, tell())
        for node, _ in self.site.nodes.values():
            node.stop()
        # What the store was not told, it will never know.
        state.expire_leases()
        state.error_status = 0
        self.check_not_used()

    def test_successor_under_the_same_identifier_is_used(self):
        self.assertEqual(200, self.server.send_departure(self.control))
        self.restart_all_nodes()
        self.server.stop()
        self.site.start_server(self, "far", "i-far", 200)
        self.assertTrue(wait_until(self.get_node().owner.is_ready))

    def test_departure_is_not_acknowledged_while_it_could_be_forgotten(self):
        self.site.store.state.error_status = 503
        self.site.nodes["near"][0].stop()
        self.assertEqual(503, self.server.send_departure(self.control))
        self.assertFalse(self.get_node().owner.is_ready())
        self.site.store.state.error_status = 0
        registration = self.get_node()._upkeep.registration
        self.assertTrue(wait_until(registration.keeps_departures))
        self.assertEqual(200, self.server.send_departure(self.control))

    def test_departure_that_is_not_believed_is_not_acknowledged(self):
        self.server._born = 10**14
        self.assertEqual(503, self.server.send_departure(self.control))
        self.assertEqual(503, self.server.send_heartbeat(self.control, "draining"))
        self.assertTrue(self.get_node().owner.is_ready())
