import testtools

from ..queries import PendingQueries


class PendingQueriesTests(testtools.TestCase):
    def test_response_of_another_type_does_not_match(self):
        queries = PendingQueries()
        correlation_id = queries.add("asked")
        self.assertIsNone(queries.pop(correlation_id, int))
        self.assertEqual("asked", queries.pop(correlation_id, str))
        self.assertIsNone(queries.pop(correlation_id, str))

    def test_correlation_ids_of_two_processes_do_not_overlap(self):
        first, second = PendingQueries(), PendingQueries()
        correlation_ids = {first.add("a") for _ in range(100)}
        self.assertEqual(set(), correlation_ids & {second.add("b") for _ in range(100)})
