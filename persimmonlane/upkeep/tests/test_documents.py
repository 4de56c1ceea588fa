import threading

import testtools

from ...routing.stamps import DocumentStamp
from .. import documents
from ..documents import DocumentHolder, DocumentSource

GATE_TIMEOUT_S = 2.0
TAKE_TIME_S = 0.3


class SourceTests(testtools.TestCase):
    def test_source_that_is_added_while_others_are_taken_is_not_lost(self):
        holder = DocumentHolder(None)
        building, taken = threading.Event(), threading.Event()
        found = []

        def build_slowly(*fields):
            building.set()
            taken.wait(GATE_TIMEOUT_S)
            return DocumentSource(*fields)

        def take():
            sources = holder.wait_for_sources(0.0)
            found.extend(source.address for source in sources)

        self.patch(documents, "DocumentSource", build_slowly)
        adder = threading.Thread(
            target=holder.add_source, args=(DocumentStamp(2), "new:80", "south")
        )
        taker = threading.Thread(target=take)
        adder.start()
        building.wait(GATE_TIMEOUT_S)
        taker.start()
        taker.join(TAKE_TIME_S)
        taken.set()
        adder.join()
        taker.join()
        take()
        self.assertEqual(["new:80"], found)
