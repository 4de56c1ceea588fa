"""Keys.

Finds the organisation of a request by its key and hides the key from backend
servers.
"""

from .extraction import (
    KEY_HEADER,
    KEY_PARAMETER,
    ORGANISATION_HEADER,
    Extraction,
    Header,
    extract_keys,
)
from .table import KeyTable, compute_digest, create_key

__all__ = [
    "KEY_HEADER",
    "KEY_PARAMETER",
    "ORGANISATION_HEADER",
    "Extraction",
    "Header",
    "KeyTable",
    "compute_digest",
    "create_key",
    "extract_keys",
]
