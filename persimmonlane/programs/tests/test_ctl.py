import contextlib
import io
import pathlib
import tempfile

import msgspec
import testtools

from ...config import publishing
from ...keys import compute_digest
from ...standins.store import StoreStandin
from ...store import remote
from ...store.memory import Faults
from .. import ctl

VALUES = {
    "fleet": {"key_salt": "00112233445566778899aabbccddeeff"},
    "services": [{"name": "prices"}],
    "routes": [{"name": "all", "path": "/prices", "service": "prices"}],
    "organisations": [{"name": "salto", "rate": 5, "burst": 10}],
}


class CtlTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.standin = StoreStandin("127.0.0.1:0")
        self.standin.start()
        self.addCleanup(self.standin.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "document.json")
        self.write(VALUES)

    def write(self, values):
        self.path.write_bytes(msgspec.json.encode(values))

    def run_ctl(self, *arguments, target=True):
        place = ("--store", f"127.0.0.1:{self.standin.port}") if target else ()
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = ctl.run([*arguments, *place])
        self.errors = errors.getvalue()
        return code, output.getvalue()

    def test_publish_show_diff_and_history(self):
        path = str(self.path)
        code, output = self.run_ctl("publish", path, "--expect-revision", "0")
        self.assertEqual((0, "Revision 1 is accepted.\n"), (code, output))
        code, output = self.run_ctl("show", "--json")
        self.assertEqual(1, msgspec.json.decode(output)["revision"])
        values = msgspec.json.decode(msgspec.json.encode(VALUES))
        values["services"][0]["slots"] = 8
        values["organisations"].append({"name": "rocha", "rate": 1, "burst": 1})
        self.write(values)
        code, output = self.run_ctl("diff", path)
        self.assertEqual("~ services/prices: slots\n+ organisations/rocha\n", output)
        self.run_ctl("publish", path, "--author", "ana")
        code, output = self.run_ctl("history")
        self.assertEqual(2, len(output.splitlines()))
        self.assertTrue(output.endswith("  ana\n"))

    def test_what_is_shown_can_be_published(self):
        self.run_ctl("publish", str(self.path))
        _, output = self.run_ctl("show")
        self.path.write_text(output)
        code, output = self.run_ctl("publish", str(self.path))
        self.assertEqual((0, "Revision 1 is accepted.\n"), (code, output))

    def test_conflict_has_its_own_code(self):
        self.run_ctl("publish", str(self.path))
        code, _ = self.run_ctl("publish", str(self.path), "--expect-revision", "0")
        self.assertEqual(3, code)
        self.assertIn("revision-conflict", self.errors)

    def test_no_answer_has_its_own_code_and_names_the_change(self):
        self.patch(remote, "CALL_TIMEOUT_S", 0.05)
        self.patch(publishing, "ATTEMPT_PAUSE_S", 0)
        self.patch(ctl, "create_client", self.create_forgetful_client)
        code, _ = self.run_ctl("publish", str(self.path))
        self.assertEqual(4, code)
        self.assertIn("publish again with change", self.errors)

    def create_forgetful_client(self, name, address):
        """Return a client from which the store goes away at the last write."""
        client = remote.RemoteStore(address)
        self.addCleanup(client.close)
        swap = client.compare_and_swap

        def swap_root(key, *arguments):
            if key == "config/root":
                self.standin.store.set_faults(Faults(away=True))
            return swap(key, *arguments)

        client.compare_and_swap = swap_root
        return client

    def test_all_faults_are_printed(self):
        values = dict(VALUES, colour=1, services=[])
        self.write(values)
        code, _ = self.run_ctl("validate", str(self.path), target=False)
        self.assertEqual(2, code)
        self.assertEqual(2, len(self.errors.splitlines()))
        self.assertIn("$.routes[0].service", self.errors)

    def test_faults_come_as_json_for_scripts(self):
        self.write(dict(VALUES, services=[]))
        code, _ = self.run_ctl("validate", str(self.path), "--json", target=False)
        failure = msgspec.json.decode(self.errors)
        self.assertEqual(2, code)
        self.assertEqual("unknown-service", failure["faults"][0]["code"])

    def test_key_is_printed_once_and_withdrawn(self):
        self.run_ctl("publish", str(self.path))
        code, key = self.run_ctl("key", "new", "salto", "--id", "tablet-1")
        self.assertEqual(0, code)
        _, output = self.run_ctl("show")
        self.assertNotIn(key.strip(), output)
        self.assertIn("tablet-1", output)
        code, _ = self.run_ctl("key", "withdraw", "salto", "--id", "tablet-1")
        self.assertEqual(0, code)
        _, output = self.run_ctl("show")
        self.assertNotIn("tablet-1", output)

    def test_faulty_use(self):
        self.assertEqual(2, self.run_ctl("show", target=False)[0])
        self.assertEqual(2, self.run_ctl("status")[0])
        self.assertEqual(2, self.run_ctl("validate", "/none", target=False)[0])
        self.assertEqual(2, self.run_ctl("bogus", target=False)[0])

    def test_store_that_is_away(self):
        self.standin.store.set_faults(Faults(away=True))
        self.assertEqual(1, self.run_ctl("show")[0])

    def test_token_matches_its_digest(self):
        _, output = self.run_ctl("token", str(self.path), "--json", target=False)
        made = msgspec.json.decode(output)
        digest = compute_digest(VALUES["fleet"]["key_salt"], made["token"])
        self.assertEqual(digest, made["operator_digest"])

    def test_schema(self):
        code, output = self.run_ctl("schema", target=False)
        self.assertIn("Document", msgspec.json.decode(output)["$defs"])
