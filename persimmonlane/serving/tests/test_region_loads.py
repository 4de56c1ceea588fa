"""Placement across data centres under load: today's against the weighed one.

Each test replays a load against both, without a network: what it compares are requests
within their objective, refusals, and requests and bytes between data centres and
regions. See `regionload` for the model.
"""

import testtools
from testtools.matchers import GreaterThan, LessThan

from ...localities import Locality
from .regionload import Load, Model

ZONES = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}
THREE_ZONES = {"a-1": "a", "a-2": "a", "a-3": "a"}
RUN_S = 34.0
# Share of the requests that may miss the objective in addition.
TOLERANCE = 0.01


class RegionLoadTests(testtools.TestCase):
    def compare(self, load, seed=1, run_s=RUN_S):
        """Run a load with today's placement and with the weighed one."""
        former = Model(load, False, seed).run(run_s)
        weighed = Model(load, True, seed).run(run_s)
        self.addDetail(
            "totals", testtools.content.text_content(f"{former}\n{weighed}\n")
        )
        return former, weighed

    def check_served(self, former, weighed):
        """Check that no more requests miss their objective, but for a tolerance."""
        former_share = former.good / former.offered
        weighed_share = weighed.good / weighed.offered
        self.assertThat(weighed_share, GreaterThan(former_share - TOLERANCE))

    def check_moved(self, former, weighed, region_ratio, elsewhere_ratio):
        """Check the moved requests as shares of those that today's placement moves."""
        for locality, ratio in (
            (Locality.REGION, region_ratio),
            (Locality.ELSEWHERE, elsewhere_ratio),
        ):
            limit = former.moved[locality] * ratio + 1
            self.assertThat(weighed.moved[locality], LessThan(limit), locality)
        self.assertThat(
            weighed.moved_bytes[Locality.ELSEWHERE],
            LessThan(former.moved_bytes[Locality.ELSEWHERE] * elsewhere_ratio + 1),
        )

    def test_steady_load_stays_nearby(self):
        # Chance alone fills the servers nearby for moments at this load.
        load = Load(ZONES, dict.fromkeys(ZONES, 5), utilisation=0.6)
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 0.2, 0.05)

    def test_periodic_variation_of_55_percent_shifted_between_data_centres(self):
        load = Load(ZONES, dict.fromkeys(ZONES, 5), variation=0.55, utilisation=0.75)
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 0.6, 0.1)
        self.check_no_exchange(weighed)

    def check_no_exchange(self, totals):
        """Check that hardly any requests go both ways within an announcement."""
        counts = {}
        for at, source, target in totals.pairs:
            key = (int(at), source, target)
            counts[key] = counts.get(key, 0) + 1
        both = sum(
            min(count, counts.get((second, target, source), 0))
            for (second, source, target), count in counts.items()
        )
        self.assertThat(both, LessThan(0.1 * len(totals.pairs) + 1))

    def test_one_server_for_each_data_centre(self):
        load = Load(
            ZONES,
            dict.fromkeys(ZONES, 1),
            variation=0.55,
            utilisation=0.6,
            mean_s=0.22,
            objective_s=1.2,
        )
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 0.8, 0.2)

    def test_burst_in_one_data_centre_of_three(self):
        load = Load(
            THREE_ZONES,
            dict.fromkeys(THREE_ZONES, 5),
            bursts={"a-1": 2.4},
            utilisation=0.6,
            slots=5,
            objective_s=1.5,
        )
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 0.6, 0.0)
        sources = {source for at, source, _ in weighed.pairs if 20.0 <= at < 28.0}
        self.assertIn("a-1", sources)

    def test_three_servers_in_ten_hang(self):
        load = Load(ZONES, dict.fromkeys(ZONES, 6), hanging=0.3, utilisation=0.3)
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 1.0, 0.3)

    def test_data_centre_with_too_few_servers_for_good_uses_its_region(self):
        servers = {"a-1": 2, "a-2": 8, "b-1": 5, "b-2": 5}
        load = Load(ZONES, servers, utilisation=0.6)
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 1.2, 0.1)
        # Its servers can process two fifths of what callers send.
        self.assertThat(weighed.moved[Locality.REGION], GreaterThan(100))

    def test_region_with_too_few_servers_for_good_uses_the_other_one(self):
        servers = {"a-1": 2, "a-2": 2, "b-1": 8, "b-2": 8}
        load = Load(ZONES, servers, utilisation=0.55)
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 1.0, 0.8)
        self.assertThat(weighed.moved[Locality.ELSEWHERE], GreaterThan(100))

    def test_overload_in_all_data_centres_is_not_passed_around(self):
        load = Load(ZONES, dict.fromkeys(ZONES, 3), utilisation=1.2, variation=0.55)
        former, weighed = self.compare(load, run_s=25.0)
        self.assertThat(
            weighed.good / weighed.offered,
            GreaterThan(former.good / former.offered - 0.03),
        )
        self.check_moved(former, weighed, 1.5, 0.2)

    def test_stale_information(self):
        load = Load(
            ZONES,
            dict.fromkeys(ZONES, 5),
            variation=0.55,
            utilisation=0.75,
            delay_s=3.0,
        )
        former, weighed = self.compare(load)
        self.check_served(former, weighed)
        self.check_moved(former, weighed, 0.6, 0.1)

    def test_link_that_narrows(self):
        # From 12 s on each exchange takes 0.3 s longer on the way: the link is full.
        servers = {"a-1": 2, "a-2": 2, "b-1": 8, "b-2": 8}

        def find_path_s(now):
            return 0.012 if now < 12.0 else 0.16

        load = Load(
            ZONES,
            servers,
            utilisation=0.55,
            elsewhere_s=find_path_s,
            body_bytes=40_000,
            response_bytes=60_000,
        )
        former, weighed = self.compare(load)
        self.assertThat(
            weighed.moved_bytes[Locality.ELSEWHERE],
            LessThan(former.moved_bytes[Locality.ELSEWHERE] * 0.7),
        )
        early = [at for at, *way in weighed.pairs if at < 12.0 and crosses(way)]
        late = [at for at, *way in weighed.pairs if at > 22.0 and crosses(way)]
        self.assertThat(len(late), LessThan(len(early) / 2))


def crosses(way):
    source, target = way
    return ZONES[source] != ZONES[target]
