"""Two nodes in two regions, with all their sockets."""

import testtools

from ..explaining.tests.test_events import capture_records
from ..serving.capacity import CapacityClient
from ..standins.backend import Script
from .test_sitenode import Site, list_events, wait_until


class RegionSite(Site):
    site_settings = {"regions": {"zone-of-near": "south", "zone-of-far": "north"}}


class RegionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = RegionSite(self)
        self.assertTrue(wait_until(self.site.is_converged))

    def test_owner_in_another_region_is_asked_before_any_request(self):
        records = capture_records(self)
        asked = []
        original = CapacityClient._ask

        def ask(client, order, peer, timeout_s):
            asked.append(peer.name)
            return original(client, order, peer, timeout_s)

        self.patch(CapacityClient, "_ask", ask)
        self.assertEqual(200, self.site.call("/far/", method="POST", body=b"x").status)
        self.assertEqual(["node-far"], asked)
        node, _ = self.site.nodes["near"]
        self.assertIsNotNone(node.selector.budget.get_round_trip_s("north"))
        node._reporter.log_records()
        (line,) = [it for it in records if hasattr(it, "placements")]
        self.assertEqual(
            [{"locality": "elsewhere", "reason": "overflow", "attempts": 1}],
            line.placements,
        )
        self.assertEqual({"north"}, set(line.links))
        (counts,) = [it for it in records if hasattr(it, "messages")]
        sent = [row for row in counts.messages if row["kind"] == "ForwardedRequest"]
        self.assertEqual([True], [row["elsewhere"] for row in sent])

    def test_attempt_that_failed_names_locality_and_reason(self):
        records = capture_records(self)
        self.site.servers["far"].script = Script(status=500, body=b"broken")
        self.site.call("/far/", method="POST")
        events = {record.event: record for record in list_events(records)}
        attempt = events["attempt-ended"]
        self.assertEqual(("elsewhere", "overflow"), (attempt.locality, attempt.reason))
        self.assertFalse(attempt.near)
