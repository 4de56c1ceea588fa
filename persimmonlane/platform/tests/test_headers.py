import testtools

from ...headers import Header
from ...owner.newcomers import Condition
from ..headers import INSTANCE, encode_name, parse_status_answer

SERVER_ID = "i-é-予約"


class StatusAnswerTests(testtools.TestCase):
    def test_server_whose_identifier_is_not_ascii_is_recognised(self):
        # Its statements were taken for those of another process, and ignored.
        headers = [Header(INSTANCE, encode_name(SERVER_ID))]
        statement = parse_status_answer(503, headers)
        self.assertEqual(SERVER_ID, statement.server_id)
        self.assertIs(Condition.ILL, statement.condition)

    def test_identifier_that_is_not_utf8_is_kept_as_it_came(self):
        statement = parse_status_answer(503, [Header(INSTANCE, "i-\xe9")])
        self.assertEqual("i-\xe9", statement.server_id)
