"""Trace files.

Reads and writes traces as lines of JSON.
"""

import functools
import operator

import msgspec

from ..errors import InputError
from . import events
from .events import FORMAT, End, Event, Header


class TraceError(InputError):
    """A file that is no whole trace."""

    code = "trace-invalid"


@functools.cache
def create_decoder():
    """Return the decoder of lines; all event classes must be known by then."""
    classes = [Header, End, *events.collect_events(Event)]
    return msgspec.json.Decoder(functools.reduce(operator.or_, classes))


encode_line = msgspec.json.Encoder().encode


class NumberedEvent:
    """An event with the number of its line.

    Attributes:
        number: Number of the line, from 1.
        event: The event.
    """

    __slots__ = ("number", "event")

    def __init__(self, number, event):
        self.number = number
        self.event = event


class Trace:
    """A whole trace.

    Attributes:
        header: The `Header`.
        events: The events, as `NumberedEvent`s.
    """

    __slots__ = ("header", "events")

    def __init__(self, header, numbered):
        self.header = header
        self.events = numbered


def encode_trace(header, listed):
    """Return a trace with these events in bytes."""
    lines = [header, *listed]
    lines.append(End(lines=len(lines)))
    return b"".join(encode_line(line) + b"\n" for line in lines)


def read_trace(path, partial=False):
    """Return the trace of a file.

    Args:
        path: Path of the file.
        partial: Whether to take the whole lines of a trace without an end.

    Raises:
        TraceError: If the file can't be read or is no whole trace.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise TraceError(
            f"the file can't be read: {error.strerror}",
            code="trace-unreadable",
            place=str(path),
        ) from error
    if partial:
        data = complete(data)
    return decode_trace(data, str(path))


def decode_trace(data, place="trace"):
    """Return the trace that some bytes hold.

    Raises:
        TraceError: With code `trace-foreign`, `trace-format`, `trace-invalid`,
            `trace-order` or `trace-truncated`, and the line in its place.
    """
    lines = data.splitlines()
    header = decode_header(lines[0] if lines else b"", f"{place}:1")
    check_end(lines, data, place)
    numbered = []
    latest = float("-inf")
    for number, line in enumerate(lines[1:-1], start=2):
        event = decode_line(line, f"{place}:{number}")
        if not isinstance(event, Event):
            raise TraceError("a second header or end", place=f"{place}:{number}")
        if event.at < latest:
            raise TraceError(
                "the time falls", code="trace-order", place=f"{place}:{number}"
            )
        latest = event.at
        numbered.append(NumberedEvent(number, event))
    return Trace(header, numbered)


def complete(data):
    """Return the whole lines of a trace, with an end if it has none."""
    lines = data.splitlines(keepends=True)
    if lines and not lines[-1].endswith(b"\n"):
        lines.pop()
    if lines and is_end(lines[-1]):
        return b"".join(lines)
    lines.append(encode_line(End(lines=len(lines))) + b"\n")
    return b"".join(lines)


def is_end(line):
    """Return whether a line is an end."""
    try:
        return isinstance(create_decoder().decode(line), End)
    except msgspec.DecodeError:
        return False


def decode_header(line, place):
    """Return the header of a trace."""
    try:
        header = create_decoder().decode(line)
    except msgspec.DecodeError as error:
        raise TraceError(
            "the first line is no header of a trace", code="trace-foreign", place=place
        ) from error
    if not isinstance(header, Header):
        raise TraceError(
            "the first line is no header of a trace", code="trace-foreign", place=place
        )
    if header.trace != FORMAT:
        raise TraceError(
            f"format {header.trace} is not known, only {FORMAT}",
            code="trace-format",
            place=place,
        )
    return header


def check_end(lines, data, place):
    """Check that the last line is the end of the whole trace."""
    place = f"{place}:{len(lines)}"
    if not is_end(lines[-1]) or not data.endswith(b"\n"):
        raise TraceError("the end is missing", code="trace-truncated", place=place)
    end = create_decoder().decode(lines[-1])
    if end.lines != len(lines) - 1:
        raise TraceError(
            f"the end states {end.lines} lines, there are {len(lines) - 1}",
            code="trace-truncated",
            place=place,
        )


def decode_line(line, place):
    """Return the event of one line."""
    try:
        return create_decoder().decode(line)
    except msgspec.DecodeError as error:
        raise TraceError(str(error), place=place) from error
