"""Identifiers of requests, which callers choose, as the node keeps and logs them."""

import hashlib

# Longer identifiers are abbreviated, so that what is kept of a request has a bounded
# size.
MAX_IDENTIFIER_CHARS = 128
PREFIX_CHARS = 64
DIGEST_BYTES = 16


def abbreviate(identifier):
    """Return an identifier, or the beginning and the digest of a long one.

    Args:
        identifier: Identifier of a request.
    """
    if len(identifier) <= MAX_IDENTIFIER_CHARS:
        return identifier
    raw = identifier.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()
    return f"{identifier[:PREFIX_CHARS]}~{digest}"
