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

OWN = frozenset((DEADLINE.lower(), REQUEST_ID.lower()))


def list_connection_names(pairs):
    """Return the lower-case header names that `Connection` headers list."""
    names = set()
    for name, value in pairs:
        if name.lower() == "connection":
            names.update(part.strip().lower() for part in value.split(","))
    return names


def drop_hop_by_hop(pairs):
    """Return the headers that go beyond one connection, as (name, value) pairs."""
    dropped = HOP_BY_HOP | list_connection_names(pairs)
    return [(name, value) for name, value in pairs if name.lower() not in dropped]
