"""Headers.

Names of headers, and the rules on which of them a proxy passes on.
"""

DEADLINE = "Persimmon-Deadline-Ms"
REQUEST_ID = "Persimmon-Request-Id"
ORGANISATION = "X-Persimmon-Organisation"
VERDICT = "Persimmon-Verdict"

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

# Headers of a request that the node writes itself.
OWN = frozenset((DEADLINE.lower(), REQUEST_ID.lower(), "content-length"))


def list_connection_names(headers):
    """Return the lower-case header names that `Connection` headers list."""
    names = set()
    for header in headers:
        if header.name.lower() == "connection":
            names.update(part.strip().lower() for part in header.value.split(","))
    return names


def drop_hop_by_hop(headers):
    """Return the headers that go beyond one connection."""
    dropped = HOP_BY_HOP | list_connection_names(headers)
    return [header for header in headers if header.name.lower() not in dropped]


def find_values(headers, name):
    """Return the values of all headers with a lower-case name."""
    return [header.value for header in headers if header.name.lower() == name]
