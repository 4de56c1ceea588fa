import json
import threading
import time

import testtools

from ..platform.evacuations import build_evacuation_key
from ..standins.backend import Script
from .test_sitenode import Site, build_ip, wait_until

EVACUATED = "zone-of-near"
OTHER = "zone-of-far"
EVACUATION_S = 5.0
MARGIN_S = 0.3


class Load:
    """Callers in both data centres, and the backend server in the evacuated one.

    Attributes:
        statuses: Status and verdict of each answer.
    """

    def __init__(self, site):
        self.statuses = []
        self._site = site
        self._ended = threading.Event()
        senders = [
            (path, service, method, headers)
            for path, method in (("/near/", "GET"), ("/far/", "POST"))
            for service in ("near", "far")
            for headers in ({}, {"X-Caller-Service": "near"})
        ]
        self._threads = [
            threading.Thread(target=self._send, args=sender, daemon=True)
            for sender in senders
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _send(self, path, service, method, headers):
        while not self._ended.wait(0.02):
            try:
                answer = self._site.call(path, service, headers, method=method)
            except Exception:  # The node is being restarted.
                continue
            verdict = answer.headers.get("Persimmon-Verdict")
            self.statuses.append((answer.status, verdict))


class EvacuatedSiteTests(testtools.TestCase):
    """Nodes of two data centres; a service has a backend server in each of them."""

    def setUp(self):
        super().setUp()
        self.site = Site(self, store_era=1, has_evacuations=True)
        self.site.add(self, "node-near-2", build_ip(5), "near", "near-2", OTHER)
        self.state = self.site.store.state
        self.assertTrue(wait_until(self.site.is_converged))
        for service in ("near", "far"):
            self.assertTrue(wait_until(lambda s=service: self.is_served(s)))

    def is_served(self, service):
        return all(
            self.site.call(path, service).status == 200 for path in ("/near/", "/far/")
        )

    def evacuate(self, data_centre=EVACUATED):
        self.state.put(build_evacuation_key(data_centre), b"{}")
        return time.monotonic()

    def lift(self, data_centre=EVACUATED):
        self.state.remove(build_evacuation_key(data_centre))

    def count_requests(self, key="near"):
        return len(self.site.servers[key].requests)

    def list_counts(self):
        return [self.count_requests(key) for key in self.site.servers]

    def is_in_force(self, *names):
        return all(
            node.evacuations.names == frozenset(names)
            for node, _ in self.site.nodes.values()
        )

    def check_quiet(self, evacuated_at, lasting_s):
        """Check that the evacuated server gets nothing from the bound on."""
        left_s = evacuated_at + EVACUATION_S - time.monotonic()
        time.sleep(max(0.0, left_s) + MARGIN_S)
        before = self.count_requests()
        time.sleep(lasting_s)
        self.assertEqual(before, self.count_requests())

    def test_no_request_reaches_an_evacuated_server(self):
        with Load(self.site) as load:
            evacuated_at = self.evacuate()
            self.check_quiet(evacuated_at, 1.0)
            # Hedges, retries and last resorts find no other server than that one.
            self.site.servers["near-2"].script = Script(status=500)
            self.check_quiet(evacuated_at, 1.0)
            self.site.servers["near-2"].script = Script(work_s=0.5)
            self.check_quiet(evacuated_at, 2.0)
            self.site.servers["near-2"].script = Script()
            load.statuses.clear()
            self.assertTrue(wait_until(lambda: (200, None) in load.statuses))
        self.assertTrue(wait_until(lambda: self.is_served("near")))

    def test_restarted_node_sends_nothing_to_its_evacuated_server(self):
        self.evacuate()
        self.assertTrue(wait_until(lambda: self.is_in_force(EVACUATED)))
        before = self.count_requests()
        with Load(self.site):
            self.site.nodes["near"][0].stop()
            self.site.restart_node(self, "near")
            self.assertTrue(wait_until(lambda: self.is_served("near")))
            # Its watch and the listing have lost what was before.
            self.state.compact()
            time.sleep(1.0)
        self.assertEqual(before, self.count_requests())

    def test_restored_store_lifts_nothing_before_the_operator_has_written_again(self):
        copy = self.state.take_copy()
        self.evacuate()
        self.assertTrue(wait_until(lambda: self.is_in_force(EVACUATED)))
        before = self.count_requests()
        with Load(self.site):
            self.state.restore(copy)
            time.sleep(1.0)
            self.evacuate()
            time.sleep(3.0)
        self.assertEqual(before, self.count_requests())

    def test_running_request_is_answered(self):
        self.site.servers["far"].script = Script(work_s=1.5)
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.site.call("/far/", method="POST"))
        )
        before = self.count_requests("far")
        caller.start()
        self.assertTrue(wait_until(lambda: self.count_requests("far") > before))
        self.evacuate(OTHER)
        caller.join()
        self.assertEqual([200], [answer.status for answer in answers])

    def test_only_data_centre_of_a_service_is_evacuated_and_comes_back(self):
        self.evacuate(OTHER)
        self.assertTrue(wait_until(lambda: self.is_in_force(OTHER)))
        before = self.count_requests("far")
        answer = self.site.call("/far/", method="POST")
        self.assertEqual(
            (503, "not-run", "no-server"),
            (
                answer.status,
                answer.headers["Persimmon-Verdict"],
                json.loads(answer.data)["code"],
            ),
        )
        self.assertEqual(before, self.count_requests("far"))
        self.lift(OTHER)
        self.assertTrue(wait_until(lambda: self.is_served("near")))

    def test_all_and_unknown_data_centres_are_obeyed(self):
        for name in (EVACUATED, OTHER, "zone-that-nobody-knows"):
            self.evacuate(name)
        self.assertTrue(
            wait_until(
                lambda: self.is_in_force(EVACUATED, OTHER, "zone-that-nobody-knows")
            )
        )
        counts = self.list_counts()
        for service in ("near", "far"):
            self.assertEqual(503, self.site.call("/near/", service).status)
        self.assertEqual(
            counts, [self.count_requests(key) for key in self.site.servers]
        )
        for name in (EVACUATED, OTHER):
            self.lift(name)
        for service in ("near", "far"):
            self.assertTrue(wait_until(lambda s=service: self.is_served(s)))
