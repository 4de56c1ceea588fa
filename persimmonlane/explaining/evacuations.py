"""Evacuations in force, from the logs of the nodes."""

import msgspec

from ..decoding import decode_json
from ..errors import InputError
from ..reporting.evacuations import EvacuationReport

# Lines without this field are skipped undecoded.
FIELD = b'"evacuations"'


class EvacuationLine(msgspec.Struct):
    """A log line with the periodic report of a node.

    Attributes:
        asctime: Time at which the line was written.
        node: Name of the node.
        evacuations: The `EvacuationReport`, or None if the line has none.
    """

    asctime: str = ""
    node: str = ""
    evacuations: EvacuationReport | None = None


def find_reports(paths):
    """Return a dict of the last `EvacuationLine` of each node.

    Raises:
        InputError: With code `log-unreadable` if a file can't be read.
    """
    latest = {}
    for path in paths:
        try:
            with open(path, "rb") as file:
                for raw in file:
                    add_line(latest, raw)
        except OSError as error:
            raise InputError(
                f"the file can't be read: {error.strerror}",
                code="log-unreadable",
                place=str(path),
            ) from error
    return latest


def add_line(latest, raw):
    """Add a log line to the last ones of the nodes if it is a later report.

    Other lines are ignored, as is a line that was cut off.
    """
    if FIELD not in raw:
        return
    _, brace, text = raw.partition(b"{")
    try:
        line = decode_json(brace + text, EvacuationLine)
    except InputError:
        return
    known = latest.get(line.node)
    if line.evacuations is not None and (known is None or known.asctime < line.asctime):
        latest[line.node] = line


def render_reports(latest):
    """Return the text on which data centres are evacuated, by all nodes."""
    names = {
        record.data_centre
        for line in latest.values()
        for record in line.evacuations.data_centres
    }
    rows = [describe_data_centre(name, latest) for name in sorted(names)]
    rows = rows or [f"No data centre is evacuated, by {len(latest)} nodes."]
    rows += [
        f"{line.asctime} {node}: does not know the evacuations."
        for node, line in sorted(latest.items())
        if not line.evacuations.known
    ]
    return "\n".join(rows) + "\n"


def describe_data_centre(name, latest):
    """Return the lines on one evacuated data centre.

    The nodes that do not name it may have ended before it was evacuated.
    """
    records = [
        record
        for line in latest.values()
        for record in line.evacuations.data_centres
        if record.data_centre == name
    ]
    since_s = max(record.since_s for record in records)
    running = max(record.running for record in records)
    rows = [
        f"{name}: evacuated for {since_s:.0f} s, by {len(records)} of {len(latest)} "
        f"nodes; {running} requests were running there."
    ]
    rows += [
        f"    not by {node}, which reported last at {line.asctime}"
        for node, line in sorted(latest.items())
        if name not in {item.data_centre for item in line.evacuations.data_centres}
    ]
    return "\n".join(rows)
