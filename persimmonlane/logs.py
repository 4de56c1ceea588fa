"""Logs.

Sets up logging for a process: text or one JSON object a line.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT = "%(asctime)s %(levelname)s %(message)s"
FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"

FORMATTERS = {
    "text": lambda: logging.Formatter(TEXT),
    "json": lambda: JsonFormatter(FIELDS),
}

# Libraries that may put headers or bodies into their messages.
QUIET = ("urllib3", "pykka", "cheroot")


def configure_logging(level, form):
    """Send log lines to standard error.

    Args:
        level: Least level that is logged, in lower case.
        form: `text` or `json`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS[form]())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in QUIET:
        logging.getLogger(name).setLevel(logging.ERROR)
