"""Wire forms.

Turns messages into their protobuf forms and back; unknown fields are skipped.
"""

import math

from .limits_pb2 import DemandMessage, DemandsMessage, GrantMessage, LoansMessage
from .messages import Demand, Demands, Grant, Loans

MAX_ITEMS = 4096


def encode_demands(demands, items, revision=0):
    """Return the wire form of some items of a batch of demands."""
    return DemandsMessage(
        borrower=demands.borrower,
        sequence=demands.sequence,
        revision=revision,
        items=[encode_demand(item) for item in items],
    )


def encode_demand(demand):
    """Return the wire form of one demand."""
    return DemandMessage(
        organisation=demand.organisation,
        epoch=demand.epoch,
        rate=demand.rate,
        cap=demand.cap,
        level=demand.level,
        returned=demand.returned,
        demand=demand.demand,
        waiting=demand.waiting,
    )


def decode_demands(message):
    """Return the `Demands` of a wire form; amounts that make no sense become 0."""
    items = tuple(decode_demand(item) for item in message.items[:MAX_ITEMS])
    return Demands(message.borrower, message.sequence, items)


def decode_demand(message):
    """Return the `Demand` of a wire form."""
    return Demand(
        message.organisation,
        epoch=message.epoch,
        rate=clean_amount(message.rate),
        cap=clean_amount(message.cap),
        level=clean_amount(message.level),
        returned=clean_amount(message.returned),
        demand=clean_amount(message.demand),
        waiting=message.waiting,
    )


def encode_loans(loans):
    """Return the wire form of an answer."""
    grants = [encode_grant(grant) for grant in loans.grants]
    return LoansMessage(sequence=loans.sequence, grants=grants)


def encode_grant(grant):
    """Return the wire form of one grant."""
    return GrantMessage(
        organisation=grant.organisation,
        epoch=grant.epoch,
        rate=grant.rate,
        cap=grant.cap,
        tokens=grant.tokens,
        duration_s=grant.duration_s,
        scarce=grant.scarce,
    )


def decode_loans(message):
    """Return the `Loans` of a wire form."""
    grants = tuple(decode_grant(item) for item in message.grants[:MAX_ITEMS])
    return Loans(message.sequence, grants)


def decode_grant(message):
    """Return the `Grant` of a wire form."""
    return Grant(
        message.organisation,
        message.epoch,
        clean_amount(message.rate),
        clean_amount(message.cap),
        clean_amount(message.tokens),
        clean_amount(message.duration_s),
        message.scarce,
    )


def clean_amount(amount):
    """Return a finite amount that isn't negative."""
    if not math.isfinite(amount) or amount < 0:
        return 0.0
    return amount
