import testtools

from ..budget import RetryBudget

RATIO = 0.2
SLACK = 62.0
NODES = 30


class RetryBudgetTests(testtools.TestCase):
    def test_fleet_stays_within_ratio_and_slack(self):
        budgets = [RetryBudget(RATIO, SLACK) for _ in range(NODES)]
        requests = retries = 0
        for round_number in range(200):
            for budget in budgets:
                budget.note_request("prices", NODES)
                requests += 1
                while budget.take("prices", NODES):
                    retries += 1
            if round_number % 20 == 0:
                self.assertThat(
                    retries, testtools.matchers.LessThan(RATIO * requests + SLACK)
                )
        # Retries that the budget allows are not withheld.
        self.assertThat(retries, testtools.matchers.GreaterThan(0.8 * RATIO * requests))

    def test_full_buckets_of_all_nodes_stay_within_the_slack(self):
        budgets = [RetryBudget(RATIO, SLACK) for _ in range(NODES)]
        retries = 0
        for budget in budgets:
            for _ in range(1000):
                budget.note_request("prices", NODES)
            while budget.take("prices", NODES):
                retries += 1
        self.assertThat(retries, testtools.matchers.LessThan(SLACK))

    def test_services_have_separate_buckets(self):
        budget = RetryBudget(RATIO, SLACK)
        while budget.take("prices", 3):
            pass
        self.assertTrue(budget.take("series", 3))
