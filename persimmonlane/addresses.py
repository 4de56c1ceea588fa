"""Addresses such as `127.0.0.1:80`."""

import ipaddress

MAX_PORT = 65535


def split_address(address):
    """Return the host and the port of an address.

    The brackets of an IPv6 host are removed.

    Raises:
        ValueError: If it has no valid port.
    """
    host, _, port = address.rpartition(":")
    number = int(port) if port.isascii() and port.isdigit() else -1
    if not 0 <= number <= MAX_PORT:
        raise ValueError("the address has no valid port")
    return host.strip("[]"), number


def split_node_address(address):
    """Return the host and the port of an address that another node or process named.

    There are no names to look up between nodes, so the host must be an IP address.

    Raises:
        ValueError: If nothing can be reached at the address.
    """
    host, port = split_address(address)
    ipaddress.ip_address(host)
    if port == 0:
        raise ValueError("the address has no valid port")
    return host, port
