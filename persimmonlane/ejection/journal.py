"""Ejection journal.

Writes the events of an ejector to the log.
"""

import logging

from .events import Cleared, Ejected, Returned, Spared, Suspected, TrialBegan

log = logging.getLogger("persimmonlane.ejection")

SENTENCES = {
    Suspected: "Ejection: %s of %s is suspect here (%s).",
    Cleared: "Ejection: %s of %s is no longer suspect (%s).",
    Ejected: "Ejection: took %s of %s out of service (%s).",
    Spared: "Ejection: the floor keeps %s of %s in service (%s).",
    TrialBegan: "Ejection: %s of %s answers probes and is on trial (%s).",
    Returned: "Ejection: %s of %s is back in service (%s).",
}
LEVELS = {Ejected: logging.WARNING, Spared: logging.WARNING}


def log_event(service, event):
    """Log one event of the ejector of a service.

    Args:
        service: Name of the service.
        event: The `events.Event`.
    """
    kind = type(event)
    level = LEVELS.get(kind, logging.INFO)
    log.log(level, SENTENCES[kind], event.address, service, event.symptom or "none")
