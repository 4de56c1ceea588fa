"""Fingerprints of requests and of the processes of backend servers."""

import hashlib

from ..routing.rulebook import normalise_host

DIGEST_BYTES = 8
LENGTH_BYTES = 8
# Number of a request without a fingerprint, as from nodes of older releases.
NO_FINGERPRINT = 0


def compute_fingerprint(method, host, target, organisation, body):
    """Return the fingerprint of a request, which is the same when it comes again.

    It does not depend on the node that the request comes to.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Request target.
        organisation: Name of the organisation, empty for anonymous requests.
        body: Bytes.
    """
    texts = (method, normalise_host(host), target, organisation)
    return hash_parts(*(text.encode("utf-8", "surrogatepass") for text in texts), body)


def identify_process(server_id, born):
    """Return a number that identifies one process of a backend server.

    Args:
        server_id: Identifier of the backend server.
        born: Unix milliseconds of its start.
    """
    return hash_parts(server_id.encode("utf-8", "surrogatepass"), str(born).encode())


def hash_parts(*parts):
    """Return a number from 1 to 2**63 for a sequence of bytes objects."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return (int.from_bytes(digest.digest()[:DIGEST_BYTES], "big") >> 1) or 1
