import testtools

from ...headers import Header
from ...peers.statuses import ServerStatus
from ..notices import MAX_SERVERS, ServerNotices
from ..responses import CompleteResponse

SIGNATURE = Header("X-Response-Signature", "s.1")


def build_server(server_id="i-1", born=5):
    return ServerStatus(server_id, "prices", True, 4, 0, 0, "sound", 0.0, born=born)


class NoticeTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.notices = ServerNotices()

    def answer(self, *headers, server=None, signature=SIGNATURE):
        headers = [Header(name, value) for name, value in headers]
        if signature is not None:
            headers.append(signature)
        answer = CompleteResponse(200, headers, b"", None)
        self.notices.note_answer(server or build_server(), answer)

    def test_limit_is_remembered_until_an_answer_names_none(self):
        self.answer(("Server-Limit", "2.5"))
        self.assertEqual(2.5, self.notices.find_limit("i-1"))
        self.answer(("Server-Limit", "many"))
        self.answer(signature=None)
        self.assertEqual(2.5, self.notices.find_limit("i-1"))
        self.answer()
        self.assertIsNone(self.notices.find_limit("i-1"))

    def test_leaving_server_is_remembered_until_its_identifier_comes_back(self):
        self.answer(("Server-Leaving", "1"))
        self.answer()
        self.assertTrue(self.notices.is_leaving(build_server()))
        self.assertFalse(self.notices.is_leaving(build_server(born=6)))
        self.assertFalse(self.notices.is_leaving(build_server("i-2")))

    def test_other_values_and_forged_answers_say_nothing_of_leaving(self):
        self.answer(("Server-Leaving", "0"))
        self.answer(("Server-Leaving", "1"), signature=None)
        self.assertFalse(self.notices.is_leaving(build_server()))

    def test_memory_is_bounded(self):
        for number in range(MAX_SERVERS + 1):
            self.answer(("Server-Limit", "1"), server=build_server(f"i-{number}"))
        self.assertIsNone(self.notices.find_limit("i-0"))
        self.assertEqual(1.0, self.notices.find_limit(f"i-{MAX_SERVERS}"))
