"""Trace events.

The lines of a trace: what a decision class was given and, where stated, what it
answered. A trace holds no keys and no bodies.
"""

import re

import msgspec

from ..config.model import Document, Service
from ..ejection.outcome import Kind
from ..ejection.standing import State
from ..membership.announcements import Exchange
from ..verdicts import Verdict

FORMAT = 1


def make_tag(name):
    """Return the tag of an event class, such as `attempt-started`."""
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()


class Line(msgspec.Struct, frozen=True, kw_only=True, tag=make_tag, omit_defaults=True):
    """Base of the lines of a trace."""


class Header(Line):
    """The first line.

    Attributes:
        trace: Version of the format.
        title: What the trace shows.
        node: Name of the node that recorded it, empty if none did.
    """

    trace: int
    title: str = ""
    node: str = ""


class End(Line):
    """The last line.

    Attributes:
        lines: Number of the lines before it.
        full: Whether the recorder stopped at its size bound.
    """

    lines: int
    full: bool = False


class Event(Line):
    """Base of what one decision class was given.

    Attributes:
        at: Monotonic seconds of the recording clock; never falls.
        on: Name of the instance, such as `ejector prices`.
    """

    at: float
    on: str


class Opening(Event):
    """Base of the events that create a decision class.

    Attributes:
        seed: Seed of its random generator.
    """

    seed: int


class ServerState(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that takes new work.

    Attributes:
        address: Its address.
        data_centre: Name of its data centre.
        slots: Requests that it runs at a time.
        incarnation: Number that rises with each restart.
        since: Monotonic seconds at which it was first seen.
    """

    address: str
    data_centre: str
    slots: int
    incarnation: int = 1
    since: float = 0.0


class EjectorOpened(Opening):
    """An ejector was created for a service."""

    service: Service


class ServersUpdated(Event):
    """The backend servers of an ejector's service were given."""

    servers: tuple[ServerState, ...]


class ServiceChanged(Event):
    """Another version of a service's policy came into force."""

    service: Service


class PeersCounted(Event):
    """The number of other nodes in the data centre was given."""

    count: int


class AttemptStarted(Event):
    """An attempt began; `attempt` is the number that the ejector gave it."""

    address: str
    attempt: int
    pooled: bool = False


class AttemptEnded(Event):
    """An attempt ended."""

    address: str
    attempt: int
    kind: Kind
    latency_s: float
    verdict: Verdict


class EjectorTicked(Event):
    """An ejector did what was due."""


class ProbesTaken(Event):
    """The addresses to probe were asked for; None states nothing."""

    addresses: tuple[str, ...] | None = None


class ProbeEnded(Event):
    """A probe was answered or failed."""

    address: str
    ok: bool
    latency_s: float


class EvidenceExported(Event):
    """Evidence for other nodes was asked for."""


class EvidenceMerged(Event):
    """Another node's evidence was taken in, as encoded bytes."""

    node: str
    evidence: bytes


class StandingExpected(Event):
    """States that a backend server's standing is one of these."""

    address: str
    states: tuple[State, ...]


class EjectionsExpected(Event, kw_only=True):
    """States how often a backend server, or all, were ejected by now.

    Attributes:
        address: Its address, empty for all.
        least: Least number.
        most: Greatest number.
    """

    address: str = ""
    least: int = 0
    most: int


class DistrustExpected(Event):
    """States that pooled connections opened before a time are not trusted.

    Attributes:
        address: Address of the backend server.
        since: Least time, in monotonic seconds.
    """

    address: str
    since: float


class BalancerOpened(Opening):
    """A balancer was created for a service."""

    service: Service
    data_centre: str


class StandingState(msgspec.Struct, frozen=True, array_like=True):
    """The standing of one backend server at the time of a choice."""

    address: str
    state: State
    weight: float
    idempotent_only: bool


class ServerChosen(Event):
    """A backend server was chosen.

    Attributes:
        servers: Backend servers that are new or have changed.
        addresses: Addresses to choose from; None repeats the last ones.
        idempotent: Whether the request was idempotent.
        excluded: Addresses that were not to be chosen.
        standings: Standings of those that were not healthy.
        chosen: Address chosen, empty for none; None states nothing.
    """

    servers: tuple[ServerState, ...] = ()
    addresses: tuple[str, ...] | None = None
    idempotent: bool = True
    excluded: tuple[str, ...] = ()
    standings: tuple[StandingState, ...] = ()
    chosen: str | None = None


class RequestStarted(Event):
    """A request was sent to a backend server."""

    address: str


class RequestFinished(Event):
    """A request ended; without a latency, it says nothing of the server's speed."""

    address: str
    latency_s: float | None
    ok: bool = True


class ServersKept(Event):
    """All backend servers but these were forgotten."""

    servers: tuple[ServerState, ...]


class LoadReported(Event):
    """A backend server's load was reported."""

    address: str
    running: int
    waiting: int
    age_s: float


class TableOpened(Opening):
    """A server table was created."""

    lease_s: float


class ExchangeReceived(Event):
    """A server table took in a message."""

    exchange: Exchange
    delay_s: float = 0.0


class ServersExpected(Event):
    """States the addresses that take new work."""

    addresses: tuple[str, ...]


class DocumentTaken(Event):
    """A revision of the document came into force."""

    revision: int
    document: Document


class KeysOpened(Opening):
    """A node's key table was created."""


class KeyPresented(Event):
    """A request came with an example key.

    Attributes:
        number: Number of the example key; see `traces.examples`.
        outcome: Name of the organisation, or code of the refusal.
    """

    number: int
    outcome: str | None = None


class StoreOpened(Opening):
    """A store in memory was created."""


class StoreFaulted(Event):
    """The store's faults changed.

    Attributes:
        away: Every call fails.
        lose_answers: Number of coming writes that take effect unanswered.
    """

    away: bool = False
    lose_answers: int = 0


class DocumentPublished(Event):
    """An operator published a document.

    Attributes:
        document: The document.
        change: Identifier of the change.
        expected: Revision on which it builds.
        outcome: `revision N`, or code of the error.
    """

    document: Document
    change: str
    expected: int | None = None
    outcome: str | None = None


class DocumentRead(Event):
    """The document was read from the store.

    Attributes:
        outcome: `revision N`, or code of the error.
    """

    outcome: str | None = None


class LimitsOpened(Opening):
    """A holder and borrowers were created.

    Attributes:
        borrowers: Names of the borrowers.
    """

    borrowers: tuple[str, ...]


class ShardsTaken(Event):
    """The holder took all shards.

    Attributes:
        epoch: Epoch of the lease.
        lease_s: Seconds for which it may lend.
        first: Whether nobody ever held them.
    """

    epoch: int
    lease_s: float
    first: bool = True


class LoansExchanged(Event):
    """A borrower's demands went to the holder and the loans came back."""

    borrower: str


class RequestsOffered(Event, kw_only=True):
    """Requests came at once; states how many of them are admitted.

    Attributes:
        borrower: Name of the borrower.
        organisation: Name of the organisation.
        number: Number of requests.
        least: Least number admitted.
        most: Greatest number admitted.
    """

    borrower: str
    organisation: str
    number: int
    least: int = 0
    most: int


def collect_events(base):
    """Return all classes below a base that stand for lines."""
    found = []
    for cls in base.__subclasses__():
        children = collect_events(cls)
        found += children or [cls]
    return found
