import testtools

from persimmonlane.reporting import burn
from persimmonlane.reporting.records import LATENCY_BUCKET_COUNT, ServiceRecord

MINUTE_S = 60.0


def make_record(minute, total=100, errors=0, late=0, caller_faults=0, **names):
    latency = [0] * LATENCY_BUCKET_COUNT
    latency[3] = total - caller_faults
    return ServiceRecord(
        node="n1",
        start_s=minute * MINUTE_S,
        end_s=(minute + 1) * MINUTE_S,
        service=names.get("service", "prices"),
        organisation=names.get("organisation", "acme"),
        total=total,
        errors=errors,
        late=late,
        caller_faults=caller_faults,
        latency=tuple(latency),
    )


def find_burn(records, objective="availability", organisation="acme"):
    burns = burn.compute_burns(records)
    (found,) = [
        each
        for each in burns
        if (each.objective, each.organisation) == (objective, organisation)
    ]
    return found


class BurnTest(testtools.TestCase):
    def test_rate_and_budget(self):
        found = find_burn([make_record(n, errors=1) for n in range(60)])
        self.assertAlmostEqual(10.0, found.windows[0].long_rate)
        self.assertAlmostEqual(-9.0, found.budget_left)
        self.assertFalse(found.fast)

    def test_fast_burn_is_on(self):
        found = find_burn([make_record(n, errors=2) for n in range(60)])
        self.assertTrue(found.fast)

    def test_fast_burn_is_off_after_errors_stop(self):
        records = [make_record(n, errors=5 if n < 50 else 0) for n in range(60)]
        found = find_burn(records)
        self.assertTrue(found.windows[0].long_rate > found.windows[0].threshold)
        self.assertFalse(found.fast)

    def test_short_burst_of_errors_is_no_fast_burn(self):
        records = [make_record(n, errors=2 if n >= 55 else 0) for n in range(60)]
        found = find_burn(records)
        self.assertTrue(found.windows[0].short_rate > found.windows[0].threshold)
        self.assertFalse(found.fast)

    def test_too_few_requests_are_no_fast_burn(self):
        self.assertFalse(find_burn([make_record(1, total=10, errors=5)]).fast)

    def test_late_answers_spend_only_the_latency_budget(self):
        records = [make_record(n, late=20) for n in range(60)]
        self.assertTrue(find_burn(records, "latency").fast)
        self.assertEqual(0, find_burn(records).bad)

    def test_caller_faults_do_not_dilute_errors(self):
        records = [
            make_record(n, total=1000, caller_faults=900, errors=2) for n in range(60)
        ]
        self.assertTrue(find_burn(records).fast)

    def test_all_organisations_are_summed(self):
        records = [make_record(n, errors=2) for n in range(60)]
        records += [make_record(n, organisation="bolt") for n in range(60)]
        self.assertTrue(find_burn(records).fast)
        self.assertAlmostEqual(
            10.0,
            find_burn(records, organisation=burn.ALL_ORGANISATIONS)
            .windows[0]
            .long_rate,
        )
