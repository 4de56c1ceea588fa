"""Key extraction.

Takes keys out of a request in every spelling that a server could read.
"""

import re
from urllib.parse import unquote_plus

from ..errors import Refusal
from ..invariants import check_invariant

KEY_HEADER = "X-Persimmon-Key"
ORGANISATION_HEADER = "X-Persimmon-Organisation"
KEY_PARAMETER = "persimmon_key"
BEARER = "bearer"
MIN_KEY_CHARS = 16
MAX_DECODINGS = 4

_separators = re.compile(r"[^a-z0-9]")
_parameter_ends = re.compile(r"([&;])")


def fold_name(name):
    """Return a header or parameter name as the most lenient server reads it."""
    return _separators.sub("-", name.strip().lower())


def decode_fully(text):
    """Return a text with its percent encoding undone, also where it is nested."""
    for _ in range(MAX_DECODINGS):
        decoded = unquote_plus(text)
        if decoded == text:
            break
        text = decoded
    return text


FOLDED_KEY = fold_name(KEY_HEADER)
FOLDED_ORGANISATION = fold_name(ORGANISATION_HEADER)
FOLDED_PARAMETER = fold_name(KEY_PARAMETER)
RESERVED_HEADERS = frozenset((FOLDED_KEY, FOLDED_ORGANISATION))


class Header:
    """One header of a request.

    Attributes:
        name: Its name as received.
        value: Its value as received.
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


class Extraction:
    """A request apart from its keys.

    Attributes:
        presented: The keys that came with the request, in order of appearance.
        headers: The headers that may go to a backend server.
        target: The request target that may go to a backend server.
    """

    __slots__ = ("presented", "headers", "target")

    def __init__(self, presented, headers, target):
        self.presented = presented
        self.headers = headers
        self.target = target


def extract_keys(headers, target):
    """Take all keys out of a request.

    Args:
        headers: The request's headers, as a sequence of `Header`.
        target: The request target, such as `/prices?item=3`.

    Returns:
        An `Extraction`.

    Raises:
        Refusal: With code `key-misplaced` if a key stands where it can't be
            removed without changing the request, such as in the path.
    """
    presented = []
    kept = [header for header in headers if not take_header(header, presented)]
    target = clean_target(target, presented)
    hidden = [key for key in presented if len(key) >= MIN_KEY_CHARS]
    kept = [header for header in kept if not holds_key(header.value, hidden)]
    target = drop_parameters(target, hidden)
    if holds_key(target, hidden):
        raise Refusal(400, "key-misplaced", "the key stands in the request's path")
    check_hidden(kept, target, hidden)
    return Extraction(tuple(presented), tuple(kept), target)


def take_header(header, presented):
    """Return whether a header must go; note the keys in it."""
    name = fold_name(header.name)
    if name == FOLDED_KEY:
        presented.extend(split_values(header.value))
        return True
    if name == FOLDED_ORGANISATION:
        return True
    if name == "authorization":
        return take_bearer(header.value, presented)
    return False


def take_bearer(value, presented):
    """Return whether an Authorization value holds keys; note them."""
    scheme, _, rest = value.strip().partition(" ")
    if scheme.lower() != BEARER:
        return False
    for part in split_values(rest):
        first, _, second = part.partition(" ")
        presented.append(second.strip() if first.lower() == BEARER else part)
    return True


def split_values(value):
    """Return the non-empty members of a list header."""
    parts = (part.strip() for part in value.split(","))
    return [part for part in parts if part]


def is_key_parameter(parameter):
    """Return whether a `name=value` parameter carries a key."""
    name = decode_fully(parameter).partition("=")[0].partition("[")[0]
    return fold_name(name).strip("-") == FOLDED_PARAMETER


def clean_target(target, presented):
    """Return a target without key parameters and fragment; note the keys."""

    def is_unwanted(parameter):
        if not is_key_parameter(parameter):
            return False
        value = decode_fully(parameter).partition("=")[2].strip()
        if value:
            presented.append(value)
        return True

    return filter_parameters(target.partition("#")[0], is_unwanted)


def drop_parameters(target, keys):
    """Return a target without parameters that hold one of the keys."""
    return filter_parameters(target, lambda parameter: holds_key(parameter, keys))


def filter_parameters(target, is_unwanted):
    """Return a target without the unwanted parameters of path and query."""
    path, mark, query = target.partition("?")
    segments = [filter_segment(part, is_unwanted) for part in path.split("/")]
    query = filter_query(query, is_unwanted)
    return "/".join(segments) + (mark + query if query else "")


def filter_segment(segment, is_unwanted):
    """Return a path segment without its unwanted matrix parameters."""
    first, *parameters = segment.split(";")
    kept = [parameter for parameter in parameters if not is_unwanted(parameter)]
    return ";".join([first, *kept])


def filter_query(query, is_unwanted):
    """Return a query without its unwanted parameters; separators stay as sent."""
    pieces = _parameter_ends.split(query)
    kept = []
    for index in range(0, len(pieces), 2):
        if is_unwanted(pieces[index]):
            continue
        if kept:
            kept.append(pieces[index - 1])
        kept.append(pieces[index])
    return "".join(kept)


def holds_key(text, keys):
    """Return whether one of the keys stands in a text, encoded or not."""
    if not keys:
        return False
    decoded = decode_fully(text)
    return any(key in text or key in decoded for key in keys)


def check_hidden(headers, target, keys):
    """Assert that nothing of a key or a reserved header is left."""
    for header in headers:
        check_invariant(
            "key-hidden",
            fold_name(header.name) not in RESERVED_HEADERS
            and not holds_key(header.value, keys)
            and not holds_key(header.name, keys),
            "a header kept for the backend server is reserved or holds a key",
        )
    check_invariant(
        "key-hidden",
        not holds_key(target, keys),
        "the target kept for the backend server holds a key",
    )
