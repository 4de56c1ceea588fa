"""Logs.

Sets up logging for a process: one JSON object a line on standard output.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from .explaining.writer import BoundedQueueHandler, LogWriter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"

# Libraries that may put headers or bodies into their messages.
QUIET = ("urllib3", "pykka", "cheroot")


def create_formatter(node):
    """Return the formatter of the log lines of a node."""
    return JsonFormatter(FIELDS, static_fields={"node": node})


def configure_logging(node, clock, level="info"):
    """Send log lines to standard output; return the `LogWriter` to stop at the end.

    Args:
        node: Name of the node, written into each line.
        clock: Clock in seconds.
        level: Least level that is logged, in lower case.
    """
    target = logging.StreamHandler(sys.stdout)
    target.setFormatter(create_formatter(node))
    handler = BoundedQueueHandler(clock)
    writer = LogWriter(handler, target)
    writer.start()
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in QUIET:
        logging.getLogger(name).setLevel(logging.ERROR)
    return writer
