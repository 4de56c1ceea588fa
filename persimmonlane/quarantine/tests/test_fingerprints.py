import testtools

from ..fingerprints import compute_fingerprint, hash_parts, identify_process

REQUEST = ("GET", "shop.example", "/a/b?c=d", "census", b"body")


class FingerprintTests(testtools.TestCase):
    def test_request_that_comes_again_has_the_same(self):
        self.assertEqual(compute_fingerprint(*REQUEST), compute_fingerprint(*REQUEST))

    def test_host_counts_without_port_and_case(self):
        again = ("GET", "Shop.Example:8080", *REQUEST[2:])
        self.assertEqual(compute_fingerprint(*REQUEST), compute_fingerprint(*again))

    def test_each_part_counts(self):
        others = ("POST", "shop.test", "/a/b?c=e", "survey", b"other")
        fingerprints = {compute_fingerprint(*REQUEST)}
        for index, other in enumerate(others):
            changed = list(REQUEST)
            changed[index] = other
            fingerprints.add(compute_fingerprint(*changed))
        self.assertEqual(1 + len(others), len(fingerprints))

    def test_bytes_that_move_to_the_next_part_make_another_one(self):
        self.assertNotEqual(hash_parts(b"ab", b"c"), hash_parts(b"a", b"bc"))

    def test_numbers_fit_the_messages_and_are_never_zero(self):
        for number in range(1000):
            self.assertTrue(0 < hash_parts(str(number).encode()) < 1 << 63)

    def test_processes_of_a_server_differ(self):
        self.assertNotEqual(identify_process("i-1", 5), identify_process("i-1", 6))
        self.assertNotEqual(identify_process("i-1", 5), identify_process("i-2", 5))
