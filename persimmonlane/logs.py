"""Logs.

Configures logging: one JSON object per line on standard output.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from .explaining.writer import BoundedQueueHandler, LogWriter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"

# Libraries whose log messages may contain headers or bodies; only errors are logged.
QUIET_LOGGERS = ("urllib3", "pykka", "cheroot")


def create_formatter(node):
    """Return the JSON formatter for the log lines of a node."""
    return JsonFormatter(FIELDS, static_fields={"node": node})


def configure_logging(node, clock, level="info"):
    """Write log lines to standard output from a background thread.

    Args:
        node: Name of the node, included in each line.
        clock: Clock in seconds.
        level: Lowest level that is logged, in lower case.

    Returns:
        The `LogWriter`, which the caller stops when the process ends.
    """
    target = logging.StreamHandler(sys.stdout)
    target.setFormatter(create_formatter(node))
    handler = BoundedQueueHandler(clock)
    writer = LogWriter(handler, target)
    writer.start()
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    return writer
