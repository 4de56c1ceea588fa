import testtools

from ...errors import Refusal
from ...store.memory import MemoryStore
from ..jobs import build_view
from ..loading import load_snapshot
from ..model import Document, FleetPolicy, Organisation, Route, Service
from ..publishing import Publisher
from ..view import DocumentView
from .test_publishing import SALT, ManualClock

ROUTES = (
    ("root", "/", ()),
    ("prices", "/prices", ("GET",)),
    ("submit", "/prices/", ("POST",)),
    ("index", "/prices/index", ("GET",)),
)


def build_document(organisations=1, extra_routes=0):
    routes = [
        Route(name=name, path=path, service="prices", methods=methods)
        for name, path, methods in ROUTES
    ]
    routes += [
        Route(name=f"r{n}", path=f"/r/{n}", service="prices")
        for n in range(extra_routes)
    ]
    return Document(
        fleet=FleetPolicy(key_salt=SALT),
        services=(Service(name="prices"),),
        routes=tuple(routes),
        organisations=tuple(
            Organisation(name=f"o{n}", rate=1.0, burst=1.0)
            for n in range(organisations)
        ),
    )


class RouteTests(testtools.TestCase):
    def find(self, method, path):
        return DocumentView(build_document(), 1, "d").find_route(method, path).name

    def test_longest_prefix_at_a_boundary_with_the_method_wins(self):
        for method, path, name in (
            ("GET", "/prices", "prices"),
            ("GET", "/prices/", "prices"),
            ("GET", "/prices/x/y", "prices"),
            ("GET", "/prices/index", "index"),
            ("GET", "/prices/index/2", "index"),
            ("GET", "/prices/indexes", "prices"),
            ("POST", "/prices/index/2", "submit"),
            ("PUT", "/prices/index/2", "root"),
            ("GET", "/pricesx", "root"),
            ("GET", "/", "root"),
            ("GET", "//", "root"),
            ("GET", "/" + "x/" * 5000, "root"),
        ):
            self.assertEqual(name, self.find(method, path), path)

    def test_no_route(self):
        document = Document(fleet=FleetPolicy(key_salt=SALT))
        view = DocumentView(document, 1, "d")
        error = self.assertRaises(Refusal, view.find_route, "GET", "/a")
        self.assertEqual("route-unknown", error.code)


class SwapTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = MemoryStore(ManualClock())
        self.publisher = Publisher(self.store)

    def build(self, document, previous=None):
        self.publisher.publish(document)
        return build_view(load_snapshot(self.store), previous)

    def test_what_is_the_same_is_taken_over(self):
        first = self.build(build_document(400, 400))
        second = self.build(build_document(401, 400), first)
        self.assertIs(first.routes, second.routes)
        kept = set(map(id, first.document.organisations.buckets))
        buckets = second.document.organisations.buckets
        fresh = [bucket for bucket in buckets if id(bucket) not in kept]
        self.assertEqual(1, len(fresh))
        self.assertIsNone(first.find_organisation("o400"))
        self.assertEqual("o400", second.find_organisation("o400").name)

    def test_section_without_records_is_taken_over(self):
        empty = Document(fleet=FleetPolicy(key_salt=SALT))
        first = self.build(empty)
        changed = Document(fleet=FleetPolicy(key_salt=SALT, loan_s=9.0))
        self.assertIs(first.routes, self.build(changed, first).routes)

    def test_changed_routes_are_indexed_anew(self):
        first = self.build(build_document(1, 400))
        second = self.build(build_document(1, 401), first)
        self.assertEqual("root", first.find_route("GET", "/r/400").name)
        self.assertEqual("r400", second.find_route("GET", "/r/400/x").name)

    def test_table_is_a_sequence(self):
        table = self.build(build_document(400)).document.organisations
        records = list(table)
        self.assertEqual(records, [table[n] for n in range(400)])
        self.assertEqual(records[-1], table[-1])
        self.assertEqual(tuple(records[3:5]), table[3:5])
        self.assertRaises(IndexError, lambda: table[400])
