"""Wire forms.

Turns messages into their protobuf forms and back; unknown fields are skipped.
"""

import math

from .lease import Lease, Member, ShardEpoch
from .limits_pb2 import (
    DemandMessage,
    DemandsMessage,
    GrantMessage,
    LoansMessage,
    MemberMessage,
    PromiseReply,
    PromiseRequest,
    ShardEpochMessage,
    UnheldMessage,
)
from .messages import Demand, Demands, Grant, Loans
from .node import Answer, Unheld

MAX_ITEMS = 4096


def encode_demands(demands, relay=False):
    """Return the wire form of a batch of demands."""
    return DemandsMessage(
        borrower=demands.borrower,
        sequence=demands.sequence,
        items=[encode_demand(item) for item in demands.items],
        relay=relay,
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


def encode_answer(answer):
    """Return the wire form of an answer."""
    return LoansMessage(
        sequence=answer.loans.sequence,
        grants=[encode_grant(grant) for grant in answer.loans.grants],
        unheld=[encode_unheld(unheld) for unheld in answer.unheld],
    )


def decode_answer(message):
    """Return the `Answer` of a wire form."""
    grants = tuple(decode_grant(item) for item in message.grants[:MAX_ITEMS])
    unheld = tuple(decode_unheld(item) for item in message.unheld[:MAX_ITEMS])
    return Answer(Loans(message.sequence, grants), unheld)


def encode_unheld(unheld):
    """Return the wire form of a shard that isn't held."""
    lease = unheld.lease
    if lease is None or lease.released:
        return UnheldMessage(shard=unheld.shard)
    return UnheldMessage(
        shard=unheld.shard,
        epoch=lease.epoch,
        holder=encode_member(lease.holder),
        successors=[encode_member(member) for member in lease.successors],
    )


def decode_unheld(message):
    """Return the `Unheld` of a wire form."""
    if not message.epoch:
        return Unheld(message.shard, None)
    successors = tuple(decode_member(member) for member in message.successors)
    lease = Lease(message.epoch, decode_member(message.holder), "", successors)
    return Unheld(message.shard, lease)


def encode_member(member):
    """Return the wire form of a node."""
    return MemberMessage(name=member.name, rpc=member.rpc)


def decode_member(message):
    """Return the `Member` of a wire form."""
    return Member(message.name, message.rpc)


def encode_promise_request(shards):
    """Return the wire form of a request for promises."""
    return PromiseRequest(shards=[encode_shard(one) for one in shards])


def encode_promise_reply(name, incarnation, promised):
    """Return the wire form of promises."""
    return PromiseReply(
        name=name,
        incarnation=incarnation,
        promised=[encode_shard(one) for one in promised],
    )


def encode_shard(one):
    """Return the wire form of a shard and its epoch."""
    return ShardEpochMessage(shard=one.shard, epoch=one.epoch)


def decode_shards(messages):
    """Return the `ShardEpoch` of each wire form."""
    return tuple(ShardEpoch(one.shard, one.epoch) for one in messages)


def encode_grant(grant):
    """Return the wire form of one grant."""
    return GrantMessage(
        organisation=grant.organisation,
        epoch=grant.epoch,
        rate=grant.rate,
        cap=grant.cap,
        tokens=grant.tokens,
        standing=grant.standing,
        duration_s=grant.duration_s,
        scarce=grant.scarce,
    )


def decode_grant(message):
    """Return the `Grant` of a wire form."""
    return Grant(
        message.organisation,
        epoch=message.epoch,
        rate=clean_amount(message.rate),
        cap=clean_amount(message.cap),
        tokens=clean_amount(message.tokens),
        standing=clean_amount(message.standing),
        duration_s=clean_amount(message.duration_s),
        scarce=message.scarce,
    )


def clean_amount(amount):
    """Return a finite amount that isn't negative."""
    if not math.isfinite(amount) or amount < 0:
        return 0.0
    return amount
