import string

import testtools
from hypothesis import given
from hypothesis import strategies as st

from persimmonlane.config.model import Document, FleetPolicy, Key, Organisation
from persimmonlane.errors import InputError, Refusal
from persimmonlane.invariants import InvariantError
from persimmonlane.keys import (
    Header,
    KeyTable,
    compute_digest,
    create_key,
    extract_keys,
    extraction,
)

SALT = "00112233445566778899aabbccddeeff"
KEY = "acme-0123456789abcdef0123456789abcdef"
OTHER = "bolt-fedcba9876543210fedcba9876543210"


def create_document(**keys):
    organisations = tuple(
        Organisation(
            name=name,
            rate=1.0,
            burst=1.0,
            keys=tuple(
                Key(id=str(number), digest=compute_digest(SALT, key))
                for number, key in enumerate(values)
            ),
        )
        for name, values in keys.items()
    )
    return Document(fleet=FleetPolicy(key_salt=SALT), organisations=organisations)


def spell(draw_case, name, separators):
    letters = [
        letter.upper() if upper else letter
        for letter, upper in zip(name, draw_case, strict=False)
    ]
    return "".join(letters).replace("-", separators)


class TableTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = KeyTable(create_document(acme=(KEY, KEY + "2"), bolt=(OTHER,)))

    def refuse(self, presented):
        return self.assertRaises(Refusal, self.table.authenticate, presented)

    def test_each_key_of_an_organisation_works(self):
        self.assertEqual("acme", self.table.authenticate([KEY]))
        self.assertEqual("acme", self.table.authenticate([KEY + "2", KEY + "2"]))
        self.assertEqual("bolt", self.table.authenticate([OTHER]))

    def test_refusals(self):
        self.assertEqual("key-missing", self.refuse([]).code)
        self.assertEqual("key-unknown", self.refuse([KEY + "3"]).code)
        self.assertEqual("key-unknown", self.refuse(["kurz"]).code)
        self.assertEqual("key-unknown", self.refuse(["\udcff" * 40]).code)
        error = self.refuse([KEY, OTHER])
        self.assertEqual((400, "keys-differ"), (error.status, error.code))

    def test_withdrawn_key_is_refused_by_the_next_table(self):
        self.table = KeyTable(create_document(acme=(KEY + "2",)))
        self.assertEqual("key-unknown", self.refuse([KEY]).code)

    def test_empty_table(self):
        self.table = KeyTable(create_document())
        self.assertEqual("key-unknown", self.refuse([KEY]).code)

    def test_shared_key_is_an_input_error(self):
        document = create_document(acme=(KEY,), bolt=(KEY,))
        error = self.assertRaises(InputError, KeyTable, document)
        self.assertEqual("key-shared", error.code)

    def test_many_keys(self):
        keys = {f"o{number}": (f"{KEY}-{number}",) for number in range(500)}
        table = KeyTable(create_document(**keys))
        for name, (key,) in keys.items():
            self.assertEqual(name, table.authenticate([key]))

    def test_created_keys_differ_and_fit_a_header(self):
        first, second = create_key("acme"), create_key("acme")
        self.assertNotEqual(first, second)
        self.assertEqual(
            set(), set(first) - set(string.ascii_lowercase + "-0123456789")
        )


class ExtractionTests(testtools.TestCase):
    def test_places_of_a_key(self):
        for headers, target in (
            ([Header("X-Persimmon-Key", KEY)], "/a"),
            ([Header("x_persimmon_KEY", KEY)], "/a"),
            ([Header("X.Persimmon Key ", KEY)], "/a"),
            ([Header("Authorization", "bearer  " + KEY)], "/a"),
            ([Header("authorization", f"Bearer {KEY}, Bearer {KEY}")], "/a"),
            ([], "/a?persimmon_key=" + KEY),
            ([], "/a?Persimmon-Key=" + KEY),
            ([], "/a?%70ersimmon%5Fkey=" + KEY),
            ([], "/a?persimmon%255Fkey=" + KEY),
            ([], "/a?persimmon_key%3D" + KEY),
            ([], "/a?persimmon_key[]=" + KEY),
            ([], "/a?persimmon.key=" + KEY),
            ([], "/a;persimmon_key=" + KEY),
        ):
            result = extract_keys(headers, target)
            self.assertEqual({KEY}, set(result.presented), target)
            self.assertEqual(((), "/a"), (result.headers, result.target))

    def test_the_rest_stays_as_sent(self):
        headers = [Header("Accept", "a"), Header("Authorization", "Basic eA==")]
        target = "/a%2Fb;v=1/c?x=%20&y=1;persimmon_key=k&z=+"
        result = extract_keys(headers, target)
        self.assertEqual(tuple(headers), result.headers)
        self.assertEqual("/a%2Fb;v=1/c?x=%20&y=1&z=+", result.target)

    def test_organisation_headers_are_dropped(self):
        names = ("X-Persimmon-Organisation", "x_persimmon_organisation")
        result = extract_keys([Header(name, "bolt") for name in names], "/")
        self.assertEqual((), result.headers)
        self.assertEqual((), result.presented)

    def test_copies_of_the_key_are_dropped(self):
        headers = [
            Header("X-Persimmon-Key", KEY),
            Header("Referer", "http://a/?persimmon_key=" + KEY),
            Header("Cookie", "k=" + KEY.replace("-", "%2d")),
        ]
        result = extract_keys(headers, "/a?copy=" + KEY + "&b=1")
        self.assertEqual(((), "/a?b=1"), (result.headers, result.target))

    def test_key_in_the_path_is_refused(self):
        headers = [Header("X-Persimmon-Key", KEY)]
        error = self.assertRaises(Refusal, extract_keys, headers, f"/a/{KEY}/b")
        self.assertEqual("key-misplaced", error.code)

    def test_two_keys_are_both_presented(self):
        headers = [Header("X-Persimmon-Key", f"{KEY},{OTHER}")]
        result = extract_keys(headers, "/")
        self.assertEqual((KEY, OTHER), result.presented)

    @given(
        case=st.lists(st.booleans(), min_size=24, max_size=24),
        separator=st.sampled_from("-_."),
        name=st.sampled_from(["x-persimmon-key", "x-persimmon-organisation"]),
        extra=st.text(string.printable, max_size=20),
        encoded=st.lists(st.integers(0, 12), max_size=6),
    )
    def test_nothing_readable_is_left(self, case, separator, name, extra, encoded):
        headers = [Header(spell(case, name, separator), KEY), Header("Note", extra)]
        parameter = spell(case, "persimmon-key", separator)
        parameter = "".join(
            f"%{ord(letter):02x}" if index in encoded else letter
            for index, letter in enumerate(parameter)
        )
        result = extract_keys(headers, f"/p?{parameter}={KEY}&a=1")
        self.assertNotIn(KEY, result.target)
        self.assertEqual("/p?a=1", result.target)
        self.assertEqual(["Note"], [header.name for header in result.headers])

    def test_invariant_fails_where_cleaning_is_broken(self):
        self.patch(extraction, "take_header", lambda header, presented: False)
        headers = [Header("X-Persimmon-Key", KEY)]
        error = self.assertRaises(InvariantError, extract_keys, headers, "/")
        self.assertEqual("invariant-key-hidden", error.code)
