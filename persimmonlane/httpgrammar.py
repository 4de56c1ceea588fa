"""Grammar of the lines of HTTP/1.1 messages, one for requests and responses.

A line that it refuses could be read in two ways, here and by the next reader on the
path, or hide the lines behind it. Lines may end without a carriage return (RFC 9112,
2.2).
"""

import re

CRLF = b"\r\n"
EMPTY_LINES = (CRLF, b"\n")

STATUS_LINE_RE = re.compile(
    rb"HTTP/1\.[0-9] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r?\n"
)

# Some servers write sizes in a fixed width, with blanks behind the digits.
CHUNK_SIZE_LINE_RE = re.compile(
    rb"([0-9A-Fa-f]+)[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
MAX_SIZE_DIGITS = 16

FIELD_NAME_RE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Apart from tabs, no control character has a place in a value: readers further on the
# path may refuse it (RFC 9110, 5.5).
CONTROL_CHARACTER_RE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def check_status_line(line):
    """Check the first line of a response.

    Args:
        line: The line in bytes, with its end.

    Raises:
        ValueError: If it is no status line. The message holds no byte of the line.
    """
    if not STATUS_LINE_RE.fullmatch(line):
        raise ValueError("the status line is malformed")


def parse_field_line(line):
    """Return the name and the value of a field of a head or a trailer, in bytes.

    A folded line is refused, as it can't be told from a field whose name begins with a
    blank.

    Args:
        line: The line in bytes, with its end.

    Raises:
        ValueError: If it is no field. The message holds no byte of the line.
    """
    text = line.removesuffix(b"\n").removesuffix(b"\r")
    name, colon, value = text.partition(b":")
    if not colon:
        raise ValueError("a field has no colon")
    if not FIELD_NAME_RE.fullmatch(name):
        raise ValueError("a field name is malformed")
    if CONTROL_CHARACTER_RE.search(value):
        raise ValueError("a field holds a control character")
    return name, value.strip(b" \t")


def parse_chunk_size(line):
    """Return the size in bytes that a line names; extensions of the chunk are dropped.

    Args:
        line: The line in bytes, with its end.

    Raises:
        ValueError: If it names none. The message holds no byte of the line.
    """
    match = CHUNK_SIZE_LINE_RE.fullmatch(line)
    if match is None or len(match[1].lstrip(b"0")) > MAX_SIZE_DIGITS:
        raise ValueError("a chunk size is malformed")
    return int(match[1], 16)
