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

# A name with its colon.
NAME = rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):"
NAME_RE = re.compile(NAME)
# Apart from tabs, no control character has a place in a value: readers further on the
# path may refuse it (RFC 9110, 5.5).
FIELD_LINE_RE = re.compile(NAME + rb"([\t\x20-\x7e\x80-\xff]*)(?:\r?\n)?")


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
    match = FIELD_LINE_RE.fullmatch(line)
    if match is None:
        raise ValueError(describe_malformed_field(line))
    name, value = match.groups()
    return name, value.strip(b" \t")


def describe_malformed_field(line):
    """Return what is wrong with a line that is no field."""
    if b":" not in line:
        return "a field has no colon"
    if not NAME_RE.match(line):
        return "a field name is malformed"
    return "a field holds a control character"


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
