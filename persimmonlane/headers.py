"""Headers.

HTTP headers and the removal of those that a proxy must not forward.
"""

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)


class Header:
    """An HTTP header field.

    Attributes:
        name: Name as received.
        value: Value as received.
    """

    __slots__ = ("name", "value")

    def __init__(self, name, value):
        self.name = name
        self.value = value

    def __eq__(self, other):
        return (self.name, self.value) == (other.name, other.value)

    def __hash__(self):
        return hash((self.name, self.value))

    def __repr__(self):
        return f"Header({self.name!r})"


def list_connection_names(headers):
    """Return the header names listed in `Connection` headers, in lower case."""
    names = set()
    for header in headers:
        if header.name.lower() == "connection":
            names.update(part.strip().lower() for part in header.value.split(","))
    return names


def drop_hop_by_hop(headers):
    """Return the end-to-end headers, which a proxy forwards."""
    dropped = HOP_BY_HOP | list_connection_names(headers)
    return [header for header in headers if header.name.lower() not in dropped]


def find_values(headers, name):
    """Return the values of all headers with a name, given in lower case."""
    return [header.value for header in headers if header.name.lower() == name]


def find_first(headers, name):
    """Return the first value of a header, or an empty string if it is absent."""
    values = find_values(headers, name.lower())
    return values[0] if values else ""
