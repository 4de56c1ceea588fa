import msgspec
import testtools

from ...clocks import ManualClock
from ...config.checks import DocumentInvalid
from ...config.jobs import build_view
from ...config.loading import load_snapshot
from ...config.model import Document, FleetPolicy, Organisation
from ...config.publishing import PublishUncertain, RevisionConflict
from ...errors import InputError, StoreError
from ...keys import KeyTable, compute_digest
from ...store.memory import Faults, MemoryStore
from ..api import AdminApi
from ..failures import (
    NodeUnreachable,
    Unauthorised,
    describe_failure,
    get_status,
    restore_error,
)
from ..operations import NodeState, StoreOperations
from ..part import AdminPart
from ..remote import NodeOperations

SALT = "00112233445566778899aabbccddeeff"
TOKEN = "an operators' token"


def build_document(rate=5.0):
    return Document(
        fleet=FleetPolicy(key_salt=SALT, operator_digest=compute_digest(SALT, TOKEN)),
        organisations=(Organisation(name="salto", rate=rate, burst=10),),
    )


def encode_document(**options):
    return msgspec.json.encode(build_document(**options))


class AdminTests(testtools.TestCase):
    """The API over HTTP, on a store in memory."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(ManualClock())
        states = (NodeState(node="a", data_centre="x", revision=1),)
        operations = StoreOperations(self.store, lambda: states)
        operations.publish(encode_document())
        self.fleet = build_document().fleet
        self.part = AdminPart("127.0.0.1:0", AdminApi(operations, lambda: self.fleet))
        self.part.start()
        self.addCleanup(self.part.stop)
        self.address = f"127.0.0.1:{self.part.port}"
        self.operations = NodeOperations(self.address, TOKEN)

    def test_show_publish_and_history(self):
        current = self.operations.show()
        self.assertEqual((1, build_document()), (current.revision, current.document))
        made = self.operations.publish(encode_document(rate=6), 1, "ana")
        self.assertEqual((2, "ana"), (made.revision, made.author))
        self.assertEqual(made, self.operations.list_history()[-1])
        self.assertEqual("a", self.operations.list_states()[0].node)

    def test_conflict_names_the_present_revision(self):
        error = self.assertRaises(
            RevisionConflict, self.operations.publish, encode_document(rate=6), 0
        )
        self.assertEqual(1, error.revision)

    def test_all_faults_come_back(self):
        error = self.assertRaises(DocumentInvalid, self.operations.publish, b"{}")
        self.assertEqual("missing-field", error.faults[0].code)
        self.assertEqual("$.fleet", error.faults[0].place)

    def test_same_change_is_made_once(self):
        first = self.operations.publish(encode_document(rate=6), 1, "", "c1")
        again = self.operations.publish(encode_document(rate=6), 1, "", "c1")
        self.assertEqual(first, again)

    def test_store_that_is_away(self):
        view = build_view(load_snapshot(self.store))
        self.store.set_faults(Faults(away=True))
        self.assertRaises(StoreError, self.operations.show)
        document = encode_document(rate=6)
        self.assertRaises(StoreError, self.operations.publish, document)
        current = StoreOperations(self.store, get_view=lambda: view).show()
        self.assertEqual((1, build_document()), (current.revision, current.document))

    def test_wrong_or_missing_token_changes_nothing(self):
        for token in ("", "wrong", "Bearer"):
            operations = NodeOperations(self.address, token)
            for call, *args in (
                (operations.show,),
                (operations.list_states,),
                (operations.publish, encode_document(rate=7)),
            ):
                self.assertRaises(Unauthorised, call, *args)
        self.assertEqual(1, self.operations.show().revision)

    def test_no_token_in_force_lets_no_one_in(self):
        for fleet in (None, FleetPolicy(key_salt=SALT)):
            self.fleet = fleet
            self.assertRaises(Unauthorised, self.operations.show)

    def test_node_that_does_not_answer(self):
        self.part.stop()
        self.assertRaises(NodeUnreachable, self.operations.show)

    def test_key_is_granted_and_withdrawn(self):
        created = self.operations.add_key("salto", "tablet-1", "ana")
        self.assertNotIn(
            created.key.encode(), repr(self.store.export_entries()).encode()
        )
        self.assertEqual("salto", self.authenticate(created.key))
        error = self.assertRaises(
            InputError, self.operations.add_key, "salto", "tablet-1"
        )
        self.assertEqual("duplicate-key-id", error.code)
        self.operations.withdraw_key("salto", "tablet-1")
        self.assertEqual((), self.operations.show().document.organisations[0].keys)
        error = self.assertRaises(
            InputError, self.operations.withdraw_key, "salto", "tablet-1"
        )
        self.assertEqual("unknown-key-id", error.code)
        self.assertRaises(InputError, self.operations.add_key, "rocha", "a")

    def authenticate(self, key):
        view = build_view(load_snapshot(self.store))
        return KeyTable(view.document).authenticate([key])


class FailureTests(testtools.TestCase):
    def test_errors_survive_the_wire(self):
        for error in (
            RevisionConflict(4),
            PublishUncertain("c1"),
            Unauthorised("no"),
            InputError("bad", code="x"),
            StoreError("away"),
        ):
            restored = restore_error(get_status(error), describe_failure(error))
            self.assertIs(type(error), type(restored))
            self.assertEqual(error.code, restored.code)
