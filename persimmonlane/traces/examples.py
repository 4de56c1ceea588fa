"""Example keys.

Keys for traces and trials, made from a number so that a trace holds none.
"""

from ..config.model import Key
from ..keys.table import compute_digest

SALT = "00112233445566778899aabbccddeeff"


def make_example_key(number):
    """Return the example key with a number."""
    return f"example-{number:032d}"


def describe_example_key(number):
    """Return the `Key` of a document for an example key, under `SALT`."""
    digest = compute_digest(SALT, make_example_key(number))
    return Key(id=f"example-{number}", digest=digest)
