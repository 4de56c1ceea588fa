"""Recorder.

Writes what the decision classes of a node are given, up to a size bound.
"""

import logging
import random

from ..balancing import create_balancer
from ..clocks import ManualClock
from ..ejection import create_ejector
from ..ejection.evidence import encode_evidence
from ..ejection.standing import State
from . import events as ev
from .files import encode_line

log = logging.getLogger("persimmonlane.traces")

END_BYTES = 64
SEED_BITS = 53
TIME_DIGITS = 6


class Recorder:
    """Writes a trace; used by one thread.

    Attributes:
        full: Whether the size bound was reached, after which nothing is written.
    """

    __slots__ = ("full", "_file", "_left", "_lines", "_clock")

    def __init__(self, path, limit_bytes, clock, title="", node=""):
        """Create the file.

        Args:
            path: Path of the file.
            limit_bytes: Size bound in bytes.
            clock: Clock of the node in monotonic seconds.
            title: What the trace shows.
            node: Name of the node.
        """
        self.full = False
        self._file = open(path, "wb")  # noqa: SIM115
        self._left = limit_bytes - END_BYTES
        self._lines = 0
        self._clock = clock
        self.write(ev.Header(trace=ev.FORMAT, title=title, node=node))

    def write(self, line):
        """Write one line unless the size bound is reached."""
        if self.full:
            return
        data = encode_line(line) + b"\n"
        if len(data) > self._left:
            self.full = True
            log.warning("Traces: stopped after %d lines at the bound.", self._lines)
            return
        self._left -= len(data)
        self._lines += 1
        self._file.write(data)

    def close(self):
        """Write the end and close the file."""
        if self._file.closed:
            return
        self._file.write(encode_line(ev.End(lines=self._lines, full=self.full)) + b"\n")
        self._file.close()

    def create_ejector(self, service, clock, rng):
        """Create an ejector like `ejection.create_ejector`, and record it."""
        seed = rng.getrandbits(SEED_BITS)
        name = f"ejector {service.name}"
        frozen = FrozenClock(clock)
        self.write(
            ev.EjectorOpened(at=frozen.seconds, on=name, seed=seed, service=service)
        )
        ejector = create_ejector(service, frozen, random.Random(seed))
        return RecordedEjector(ejector, self, name, frozen)

    def create_balancer(self, service, data_centre, clock, rng):
        """Create a balancer like `balancing.create_balancer`, and record it."""
        seed = rng.getrandbits(SEED_BITS)
        name = f"balancer {service.name}"
        frozen = FrozenClock(clock)
        self.write(
            ev.BalancerOpened(
                at=frozen.seconds,
                on=name,
                seed=seed,
                service=service,
                data_centre=data_centre,
            )
        )
        balancer = create_balancer(service, data_centre, frozen, random.Random(seed))
        return RecordedBalancer(balancer, self, name, frozen)


def open_recorder(settings, clock):
    """Return the `Recorder` that a node's settings ask for, or None."""
    if settings.trace is None:
        return None
    return Recorder(
        settings.trace, settings.trace_limit_bytes, clock, node=settings.name
    )


class FrozenClock(ManualClock):
    """A clock that stands still during each recorded call, as it does in replay."""

    __slots__ = ("_clock",)

    def __init__(self, clock):
        super().__init__(round(clock.now(), TIME_DIGITS))
        self._clock = clock

    def update(self):
        """Take over the node's time and return it."""
        self.seconds = max(self.seconds, round(self._clock.now(), TIME_DIGITS))
        return self.seconds


class Recorded:
    """Base of the decision classes that record their calls.

    Calls that are not recorded go straight to the decision class.
    """

    __slots__ = ("_inner", "_recorder", "_name", "_clock")

    def __init__(self, inner, recorder, name, clock):
        self._inner = inner
        self._recorder = recorder
        self._name = name
        self._clock = clock

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def _begin(self):
        return self._clock.update()

    def _write(self, cls, **fields):
        at = self._clock.seconds
        self._recorder.write(cls(at=at, on=self._name, **fields))


class RecordedEjector(Recorded):
    """An ejector that records its calls."""

    __slots__ = ()

    def set_service(self, service):
        """Record and pass on."""
        self._begin()
        self._write(ev.ServiceChanged, service=service)
        self._inner.set_service(service)

    def update_peers(self, count):
        """Record and pass on."""
        self._begin()
        self._write(ev.PeersCounted, count=count)
        self._inner.update_peers(count)

    def update_servers(self, servers):
        """Record and pass on."""
        self._begin()
        self._write(ev.ServersUpdated, servers=describe_servers(servers))
        self._inner.update_servers(servers)

    def start(self, address, pooled=False):
        """Record and pass on."""
        self._begin()
        attempt = self._inner.start(address, pooled)
        self._write(ev.AttemptStarted, address=address, attempt=attempt, pooled=pooled)
        return attempt

    def observe(self, outcome):
        """Record and pass on."""
        self._begin()
        self._write(
            ev.AttemptEnded,
            address=outcome.address,
            attempt=outcome.attempt,
            kind=outcome.kind,
            latency_s=outcome.latency_s,
            verdict=outcome.verdict,
        )
        self._inner.observe(outcome)

    def tick(self):
        """Record and pass on."""
        self._begin()
        self._write(ev.EjectorTicked)
        self._inner.tick()

    def due_probes(self):
        """Record and pass on."""
        self._begin()
        addresses = self._inner.due_probes()
        self._write(ev.ProbesTaken, addresses=tuple(addresses))
        return addresses

    def record_probe(self, address, ok, latency_s):
        """Record and pass on."""
        self._begin()
        self._write(
            ev.ProbeEnded,
            address=address,
            ok=ok,
            latency_s=latency_s,
        )
        self._inner.record_probe(address, ok, latency_s)

    def export_evidence(self):
        """Record and pass on."""
        self._begin()
        self._write(ev.EvidenceExported)
        return self._inner.export_evidence()

    def merge_evidence(self, node, evidence):
        """Record and pass on."""
        self._begin()
        data = encode_evidence(evidence)
        self._write(ev.EvidenceMerged, node=node, evidence=data)
        self._inner.merge_evidence(node, evidence)

    def events(self):
        """Pass on, and state the standings that the events led to."""
        found = self._inner.events()
        for address in {event.address: None for event in found}:
            state = self._inner.standing(address).state
            self._write(ev.StandingExpected, address=address, states=(state,))
        return found


class RecordedBalancer(Recorded):
    """A balancer that records its calls."""

    __slots__ = ("_known", "_addresses")

    def __init__(self, *args):
        super().__init__(*args)
        self._known = {}
        self._addresses = None

    def set_service(self, service):
        """Record and pass on."""
        self._begin()
        self._write(ev.ServiceChanged, service=service)
        self._inner.set_service(service)

    def choose(self, servers, context):
        """Record and pass on."""
        self._begin()
        standings = describe_standings(servers, context.standings)
        server = self._inner.choose(servers, context)
        described = describe_servers(servers)
        changed = [each for each in described if self._known.get(each.address) != each]
        self._known |= {each.address: each for each in changed}
        addresses = tuple(each.address for each in described)
        self._write(
            ev.ServerChosen,
            servers=tuple(changed),
            addresses=None if addresses == self._addresses else addresses,
            idempotent=context.idempotent,
            excluded=tuple(sorted(context.excluded)),
            standings=standings,
            chosen=server.address if server else "",
        )
        self._addresses = addresses
        return server

    def forget(self, servers):
        """Record and pass on."""
        self._begin()
        self._write(ev.ServersKept, servers=describe_servers(servers))
        self._inner.forget(servers)

    def start(self, address):
        """Record and pass on."""
        self._begin()
        self._write(ev.RequestStarted, address=address)
        self._inner.start(address)

    def finish(self, address, latency_s, ok=True):
        """Record and pass on."""
        self._begin()
        self._write(
            ev.RequestFinished,
            address=address,
            latency_s=latency_s,
            ok=ok,
        )
        self._inner.finish(address, latency_s, ok)

    def report_load(self, address, running, waiting, age_s):
        """Record and pass on."""
        self._begin()
        self._write(
            ev.LoadReported,
            address=address,
            running=running,
            waiting=waiting,
            age_s=age_s,
        )
        self._inner.report_load(address, running, waiting, age_s)


def describe_servers(servers):
    """Return the `ServerState`s of backend servers."""
    return tuple(
        ev.ServerState(
            server.address,
            server.data_centre,
            server.slots,
            server.incarnation,
            server.since,
        )
        for server in servers
    )


def describe_standings(servers, standings):
    """Return the `StandingState`s of the backend servers that aren't healthy."""
    if standings is None:
        return ()
    found = [(server.address, standings(server.address)) for server in servers]
    return tuple(
        ev.StandingState(address, each.state, each.weight, each.idempotent_only)
        for address, each in found
        if each.state is not State.HEALTHY or each.weight < 1
    )
