"""Wire.

Turns reports into messages and back.
"""

import math

from . import config_pb2 as messages
from .replica import Report
from .roster import Heard

MS_PER_S = 1000


def encode_age(age_s):
    """Return an age in milliseconds, rounded up, or None."""
    return None if age_s is None else math.ceil(age_s * MS_PER_S)


def decode_age(message, field):
    """Return the age in seconds that a field holds, or None."""
    return getattr(message, field) / MS_PER_S if message.HasField(field) else None


def encode_report(report):
    """Return the message for a report."""
    return messages.ReportMessage(
        node=report.node,
        revision=report.revision,
        digest=report.digest,
        store_age_ms=encode_age(report.store_age_s),
        heard=[
            messages.HeardMessage(
                name=entry.name, age_ms=encode_age(entry.age_s), gone=entry.gone
            )
            for entry in report.heard
        ],
        leaving=report.leaving,
    )


def decode_report(message):
    """Return the report that a message holds."""
    heard = tuple(
        Heard(entry.name, decode_age(entry, "age_ms"), entry.gone)
        for entry in message.heard
    )
    return Report(
        message.node,
        message.revision,
        message.digest,
        decode_age(message, "store_age_ms"),
        heard,
        message.leaving,
    )
