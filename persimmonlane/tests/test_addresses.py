import testtools

from ..addresses import split_address, split_node_address


class AddressTests(testtools.TestCase):
    def test_address_is_split(self):
        self.assertEqual(("::1", 80), split_address("[::1]:80"))
        self.assertEqual(("10.0.0.1", 65535), split_node_address("10.0.0.1:65535"))

    def test_address_without_a_valid_port_is_invalid(self):
        for address in ("", "10.0.0.1", "10.0.0.1:", "10.0.0.1:-1", "10.0.0.1:x"):
            self.assertRaises(ValueError, split_address, address)
        for address in ("10.0.0.1:99999", "10.0.0.1:٣", "10.0.0.1:" + "9" * 5000):
            self.assertRaises(ValueError, split_address, address)

    def test_node_address_without_an_ip_address_is_invalid(self):
        for host in ("", "name", "a\0b", "\u00e9" * 80, "10.0.0.256", "10.0.0.1 "):
            self.assertRaises(ValueError, split_node_address, f"{host}:80")
        self.assertRaises(ValueError, split_node_address, "10.0.0.1:0")
