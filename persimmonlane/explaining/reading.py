"""Log search.

Finds the log lines of one request in the logs of all nodes and explains how the
request ended.
"""

import msgspec

from ..decoding import decode_json
from ..errors import InputError
from ..identifiers import abbreviate

# Explanations, for on-call engineers, of the codes with which requests end.
CAUSES = {
    "answered": "A backend server answered.",
    "caller-left": "The caller disconnected before there was an answer.",
    "overloaded": "Every backend server that was asked refused the request; see the "
    "attempts for the reasons.",
    "no-server": "No backend server of the service is known to take requests.",
    "server-evacuated": "The backend server's data centre is evacuated.",
    "region-not-allowed": "No backend server of the service is in a region that its "
    "route and its organisation both allow.",
    "rate-exceeded": "Its organisation is beyond its rate.",
    "rate-unknown": "Neither the node that holds the organisation's rate nor this node "
    "decided in time.",
    "key-unknown": "The document in force has no such API key.",
    "no-route": "The document in force has no route for the request.",
    "document-stale": "The node could not know whether the document in force is the "
    "newest.",
    "no-document": "The node had no document yet.",
    "node-busy": "The node itself was busy.",
    "node-leaving": "The node was told to stop; too little time was left to answer.",
    "node-ending": "The node exited before the answer arrived.",
    "deadline-passed": "No answer came by the deadline; the backend server may hang.",
    "connection-broke": "The connection broke before the answer arrived.",
    "answer-refused": "The answer was invalid, incomplete or not the backend server's.",
    "answers-too-long": "The answers that the node held were too long in total.",
    "unreachable": "No connection could be established.",
    "server-crashed": "The backend server's process ended while the request was "
    "running.",
    "request-implicated": "A backend server crashed while such a request was running, "
    "and no other could run it alone.",
    "request-quarantined": "Several backend servers crashed while such a request was "
    "running; search the logs for its fingerprint.",
}
UNKNOWN_CAUSE = "See the last line."


class LogLine(msgspec.Struct):
    """A log line of a request.

    Attributes:
        asctime: Time at which the line was written.
        node: Name of the node.
        message: Text of the line.
        event: Name of the event, empty if the line is not about one.
        request: Identifier of the request.
        code: Code with which the request ended, empty if the line doesn't report its
            end.
    """

    asctime: str = ""
    node: str = ""
    message: str = ""
    event: str = ""
    request: str = ""
    code: str = ""


class RequestLog:
    """Log lines of one request.

    Attributes:
        lines: Pairs of the `LogLine` and a dict of all its fields, in order of time.
        skipped: Number of lines that hold the identifier but could not be parsed.
    """

    __slots__ = ("lines", "skipped")

    def __init__(self):
        self.lines = []
        self.skipped = 0

    def describe_cause(self):
        """Return a sentence on how the request ended."""
        ends = [row for row, _ in self.lines if row.event == "request-ended"]
        if not ends:
            return "No node logged how the request ended."
        return CAUSES.get(ends[-1].code, UNKNOWN_CAUSE)


def find_request(request_id, paths):
    """Return the `RequestLog` of a request, read from log files.

    Text before the first brace of a line, such as the prefix of a log collector, is
    ignored.

    Raises:
        InputError: With code `log-unreadable` if a file can't be read.
    """
    request_log = RequestLog()
    request_id = abbreviate(request_id)
    encoded_id = request_id.encode()
    for path in paths:
        try:
            with open(path, "rb") as file:
                for raw in file:
                    add_line(request_log, raw, request_id, encoded_id)
        except OSError as error:
            raise InputError(
                f"the file can't be read: {error.strerror}",
                code="log-unreadable",
                place=str(path),
            ) from error
    request_log.lines.sort(key=lambda row: row[0].asctime)
    return request_log


def add_line(request_log, raw, request_id, encoded_id):
    """Add a line to a `RequestLog` if the line is about the request."""
    if encoded_id not in raw:
        return
    _, brace, text = raw.partition(b"{")
    try:
        line = decode_json(brace + text, LogLine)
        fields = decode_json(brace + text)
    except InputError:
        request_log.skipped += 1
        return
    if line.request == request_id:
        request_log.lines.append((line, fields))


def render_explanation(request_log):
    """Return the text that shows a request's log lines and explains its end."""
    rows = [format_line(line, fields) for line, fields in request_log.lines]
    rows.append(f"Cause: {request_log.describe_cause()}")
    if request_log.skipped:
        rows.append(f"{request_log.skipped} lines could not be read.")
    return "\n".join(rows) + "\n"


# Fields that the start of a printed line shows already, or that are of no use here.
OMITTED_FIELDS = {"asctime", "node", "message", "event", "request", "levelname", "name"}


def format_line(line, fields):
    """Return the text of one log line: its message, then its other fields."""
    rest = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in OMITTED_FIELDS and value not in ("", None)
    )
    return f"{line.asctime} {line.node}: {line.message}\n    {rest}"
