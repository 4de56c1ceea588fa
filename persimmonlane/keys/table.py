"""Key table.

Finds the organisation of a key by the key's digest.
"""

import hashlib
import hmac
import secrets

from ..errors import InputError, Refusal
from .extraction import MIN_KEY_CHARS

DIGEST_BYTES = 32
INDEX_BYTES = 4
ROW_BYTES = DIGEST_BYTES + INDEX_BYTES
SECRET_BYTES = 24


def encode_key(key):
    """Return a key in bytes; every string that a header may hold has some."""
    return key.encode("utf-8", "surrogatepass")


def compute_digest(salt_hex, key):
    """Return the keyed digest of a key, in hexadecimal."""
    salt = bytes.fromhex(salt_hex)
    return hmac.new(salt, encode_key(key), hashlib.sha256).hexdigest()


def create_key(organisation):
    """Return a new random key for an organisation."""
    return f"{organisation}-{secrets.token_hex(SECRET_BYTES)}"


class KeyTable:
    """The keys of one revision of the document.

    Rows of digest and organisation number stand sorted in one byte string, so
    that a table of a million keys takes 36 MB.
    """

    __slots__ = ("_salt", "_rows", "_count", "_organisations")

    def __init__(self, document):
        self._salt = document.fleet.key_salt
        self._organisations = document.organisations
        rows = sorted(create_rows(document.organisations))
        check_distinct(rows)
        self._count = len(rows)
        self._rows = b"".join(rows)

    def __len__(self):
        return self._count

    def authenticate(self, presented):
        """Return the name of the organisation whose key came with a request.

        Args:
            presented: The keys of one request.

        Raises:
            Refusal: With code `key-missing`, `key-unknown` or `keys-differ`.
        """
        if not presented:
            raise Refusal(401, "key-missing", "the request came without a key")
        key = presented[0]
        for other in presented[1:]:
            if not hmac.compare_digest(encode_key(key), encode_key(other)):
                raise Refusal(400, "keys-differ", "the request came with two keys")
        organisation = self._find(key)
        if organisation is None:
            raise Refusal(401, "key-unknown", "the key is not known")
        return organisation

    def _find(self, key):
        if len(key) < MIN_KEY_CHARS:
            return None
        digest = bytes.fromhex(compute_digest(self._salt, key))
        row = self._get_row(self._bisect(digest))
        # The search runs over keyed digests, whose order tells a caller nothing.
        if not hmac.compare_digest(row[:DIGEST_BYTES], digest):
            return None
        number = int.from_bytes(row[DIGEST_BYTES:], "big")
        return self._organisations[number].name

    def _bisect(self, digest):
        low, high = 0, self._count
        while low < high:
            middle = (low + high) // 2
            if self._get_row(middle) < digest:
                low = middle + 1
            else:
                high = middle
        return low

    def _get_row(self, index):
        start = index * ROW_BYTES
        return self._rows[start : start + ROW_BYTES]


def create_rows(organisations):
    """Yield one row for each key of the organisations."""
    for number, organisation in enumerate(organisations):
        suffix = number.to_bytes(INDEX_BYTES, "big")
        for key in organisation.keys:
            yield bytes.fromhex(key.digest) + suffix


def check_distinct(rows):
    """Check that no digest belongs to two organisations.

    Raises:
        InputError: With code `key-shared` if one does.
    """
    for row, following in zip(rows, rows[1:], strict=False):
        same_digest = row[:DIGEST_BYTES] == following[:DIGEST_BYTES]
        if same_digest and row != following:
            raise InputError("two organisations share a key", code="key-shared")
