import random
import threading

import testtools

from ...routing.stamps import DocumentStamp
from ..documents import DocumentHolder
from ..storesync import StoreSync

TIMEOUT_S = 5.0


class Settings:
    name = "self"


class FetchingTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.documents = DocumentHolder(None)
        self.fetched = []
        self.sync = StoreSync(
            Settings,
            None,
            None,
            None,
            self.documents,
            None,
            None,
            self.fetch_document,
            random.Random(1),
            None,
            None,
        )
        self.addCleanup(self.sync.stop)
        self.fetched_good = threading.Event()

    def fetch_document(self, address):
        self.fetched.append(address)
        if address == "bad:80":
            raise RuntimeError("not foreseen")
        self.fetched_good.set()
        return True  # As a node does that was restarted and has an older version.

    def test_thread_goes_on_after_an_unexpected_error(self):
        thread = threading.Thread(target=self.sync._fetch_from_peers, daemon=True)
        self.documents.add_source(DocumentStamp(2), "bad:80", "south")
        self.documents.add_source(DocumentStamp(2), "good:80", "south")
        thread.start()
        self.assertTrue(self.fetched_good.wait(TIMEOUT_S))

    def test_next_source_is_asked_if_the_first_has_no_newer_version_any_more(self):
        for address in ("restarted:80", "restarted:80", "good:80"):
            self.documents.add_source(DocumentStamp(2), address, "south")
        self.sync.fetch_newer_document()
        # Equally near sources are asked in random order, each of them once.
        self.assertEqual(["good:80", "restarted:80"], sorted(self.fetched))
