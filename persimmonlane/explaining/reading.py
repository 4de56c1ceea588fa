"""Reading.

Finds the log lines of one request among those of all nodes, and names its cause.
"""

import msgspec

from ..errors import InputError

# What an on-call engineer is told of the code with which a request ended.
CAUSES = {
    "answered": "A backend server answered.",
    "caller-left": "The caller went away before there was an answer.",
    "overloaded": "Every backend server that was asked turned it away; see the "
    "attempts for each reason.",
    "no-server": "No backend server of the service is known to take requests.",
    "rate-exceeded": "Its organisation is beyond its rate.",
    "rate-unknown": "Neither the holder of its rate nor this node decided in time.",
    "key-unknown": "The document in force knows no such key.",
    "no-route": "The document in force has no route for it.",
    "document-stale": "The node could not know whether the document in force is the "
    "newest.",
    "no-document": "The node had no document yet.",
    "node-busy": "The node itself was busy.",
    "node-leaving": "Its node had been told to stop, too soon for an answer.",
    "node-ending": "Its node ended before the answer came.",
    "deadline-passed": "No answer came in its time; the backend server may hang.",
    "connection-broke": "The connection broke while the answer was awaited.",
    "answer-refused": "The bytes that came were no whole answer of the backend server.",
    "answers-too-long": "The answers that the node held together were too long.",
    "unreachable": "No connection could be made.",
}
UNKNOWN_CAUSE = "See the last line."


class Line(msgspec.Struct):
    """A log line of a request.

    Attributes:
        asctime: Time of day at which it was written.
        node: Name of the node.
        message: The sentence.
        event: Name of the event.
        request: Identifier of the request.
        code: Code with which the request ended, if it is that line.
    """

    asctime: str = ""
    node: str = ""
    message: str = ""
    event: str = ""
    request: str = ""
    code: str = ""


class Found:
    """The lines of one request.

    Attributes:
        lines: Pairs of the `Line` and all its fields, in order of time.
        skipped: Number of lines that could not be read.
    """

    __slots__ = ("lines", "skipped")

    def __init__(self):
        self.lines = []
        self.skipped = 0

    def find_cause(self):
        """Return the sentence on how the request ended."""
        ends = [row for row, _ in self.lines if row.event == "request-ended"]
        if not ends:
            return "No node has written how it ended."
        return CAUSES.get(ends[-1].code, UNKNOWN_CAUSE)


def find_request(request_id, paths):
    """Return the `Found` of a request in log files.

    What stands before a line's first brace, such as a collector's prefix, is passed
    over.

    Raises:
        InputError: With code `log-unreadable` if a file can't be read.
    """
    found = Found()
    wanted = request_id.encode()
    for path in paths:
        try:
            with open(path, "rb") as file:
                for raw in file:
                    take_line(found, raw, request_id, wanted)
        except OSError as error:
            raise InputError(
                f"the file can't be read: {error.strerror}",
                code="log-unreadable",
                place=str(path),
            ) from error
    found.lines.sort(key=lambda row: row[0].asctime)
    return found


def take_line(found, raw, request_id, wanted):
    """Take a line if it belongs to the request."""
    if wanted not in raw:
        return
    _, brace, text = raw.partition(b"{")
    try:
        line = msgspec.json.decode(brace + text, type=Line)
        fields = msgspec.json.decode(brace + text)
    except msgspec.DecodeError:
        found.skipped += 1
        return
    if line.request == request_id:
        found.lines.append((line, fields))


def render_explanation(found):
    """Return the text that explains a request."""
    rows = [render_line(line, fields) for line, fields in found.lines]
    rows.append(f"Cause: {found.find_cause()}")
    if found.skipped:
        rows.append(f"{found.skipped} lines could not be read.")
    return "\n".join(rows) + "\n"


# Fields that the head of a printed line shows already, or that say nothing.
SHOWN = {"asctime", "node", "message", "event", "request", "levelname", "name"}


def render_line(line, fields):
    """Return one line of the explanation."""
    rest = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in SHOWN and value not in ("", None)
    )
    return f"{line.asctime} {line.node}: {line.message}\n    {rest}"
