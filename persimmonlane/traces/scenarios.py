"""Scenarios.

Build the traces that are kept with the code, one for each kind of failure.
"""

import os
import tempfile

import msgspec

from ..config.model import Document, FleetPolicy, Organisation
from ..ejection.standing import State
from ..membership.announcements import (
    AnnouncedServer,
    Announcement,
    Exchange,
    Heartbeat,
)
from ..registries import Registry
from ..trials.fleet import Fleet
from ..trials.sites import sites
from . import events as ev
from .examples import SALT, describe_example_key
from .files import encode_trace, read_trace
from .recorder import Recorder

scenarios = Registry("scenario")

LIMIT_BYTES = 4 * 1024 * 1024
FAILING = "10.0.0.1:80"
RECOVER_S = 9.0
END_S = 12.0
LATENCY_DIGITS = 4
OUT = (State.EJECTED, State.TRIAL, State.SUSPECT)


class Scenario:
    """Base of the scenarios.

    Attributes:
        name: Name of the trace's file.
        aliases: Other names.
        title: What the trace shows.
    """

    name = ""
    aliases = ()
    title = ""

    def build(self):
        """Return the trace in bytes."""
        header = ev.Header(trace=ev.FORMAT, title=self.title)
        return encode_trace(header, self.list_events())

    def list_events(self):
        """Return the events of the trace."""
        raise NotImplementedError


class EjectorScenario(Scenario):
    """Base of the scenarios that are recorded from an ejector.

    Attributes:
        failure: Name of the failure.
        detected_s: Seconds within which the backend server loses its work.
        fail_s: Time at which the failure begins.
    """

    failure = ""
    detected_s = 3.0
    fail_s = 3.0
    seed = 7

    def list_events(self):
        """Return what one node's ejector was given, with stated outcomes."""
        recorded, clock = self._record()
        on = recorded[0].on
        stated = [
            msgspec.structs.replace(event, at=clock.read(event.at))
            for event in self.state_outcomes(on)
        ]
        kept = [self._clean(each) for each in recorded if self._is_input(each)]
        return sorted(kept + stated, key=lambda event: event.at)

    def state_outcomes(self, on):
        """Return the outcomes, with times in seconds of the trial."""
        healthy = [f"10.0.0.{number}:80" for number in (4, 7, 10)]
        return [
            ev.EjectionsExpected(at=self.fail_s, on=on, most=0),
            ev.StandingExpected(
                at=self.fail_s + self.detected_s, on=on, address=FAILING, states=OUT
            ),
            *(
                ev.EjectionsExpected(at=RECOVER_S, on=on, address=address, most=0)
                for address in healthy
            ),
        ]

    def _record(self):
        site = sites.get_by_name("cooperativa")()
        handle, path = tempfile.mkstemp()
        os.close(handle)
        try:
            fleet = Fleet(
                site,
                site.build_document(),
                self.seed,
                recorder=lambda clock: Recorder(path, LIMIT_BYTES, clock),
                nodes=3,
            )
            fleet.schedule.call_later(self.fail_s, fleet.fail, FAILING, self.failure)
            fleet.schedule.call_later(RECOVER_S, fleet.recover, FAILING)
            fleet.run(END_S)
            fleet.recorder.close()
            trace = read_trace(path)
        finally:
            os.remove(path)
        events = [each.event for each in trace.events]
        return events, fleet.nodes[0].clock

    @staticmethod
    def _is_input(event):
        stated = isinstance(event, ev.StandingExpected)
        return event.on.startswith("ejector") and not stated

    @staticmethod
    def _clean(event):
        if isinstance(event, ev.ProbesTaken):
            return ev.ProbesTaken(at=event.at, on=event.on)
        if isinstance(event, ev.AttemptEnded):
            latency_s = round(event.latency_s, LATENCY_DIGITS)
            return msgspec.structs.replace(event, latency_s=latency_s)
        return event


@scenarios.register
class Slow(EjectorScenario):
    """Slow answers."""

    name = "slow"
    title = "Half of a backend server's answers take ten times as long."
    failure = "slow"


@scenarios.register
class Wrong(EjectorScenario):
    """Wrong answers."""

    name = "wrong-answers"
    title = "Four in ten answers of a backend server are errors or end short."
    failure = "wrong"


@scenarios.register
class Hung(EjectorScenario):
    """No answers."""

    name = "hung"
    title = "A backend server takes requests and never answers."
    failure = "hung"


@scenarios.register
class Flapping(EjectorScenario):
    """On and off."""

    name = "flapping"
    title = "A backend server fails for two of every five seconds."
    failure = "flapping"
    detected_s = 5.0


@scenarios.register
class SilentConnection(EjectorScenario):
    """Silent connections."""

    name = "silent-connection"
    title = "Open connections go silent while new ones work; nothing is ejected."
    failure = "silent-connection"
    fail_s = 4.0

    def state_outcomes(self, on):
        """Return the outcomes: distrust of old connections, and no ejection."""
        return [
            ev.DistrustExpected(
                at=self.fail_s + self.detected_s, on=on, address=FAILING, since=0.001
            ),
            ev.EjectionsExpected(at=END_S, on=on, most=0),
        ]


class TableScenario(Scenario):
    """Base of the scenarios of a server table that hears one sidecar."""

    on = "table"
    lease_s = 3.0

    def open(self):
        """Return the table's opening and the first list with its heartbeat."""
        return [
            ev.TableOpened(at=0.0, on=self.on, seed=0, lease_s=self.lease_s),
            self.receive(0.1, self.announce(1), self.beat(1, 1, 0.0)),
        ]

    def receive(self, at, *messages):
        """Return the receipt of announcements and heartbeats."""
        exchange = Exchange(
            sender="node-2",
            announcements=tuple(m for m in messages if isinstance(m, Announcement)),
            heartbeats=tuple(m for m in messages if isinstance(m, Heartbeat)),
        )
        return ev.ExchangeReceived(at=at, on=self.on, exchange=exchange)

    def expect(self, at, *addresses):
        """Return a statement of the addresses that take new work."""
        return ev.ServersExpected(at=at, on=self.on, addresses=addresses)

    @staticmethod
    def announce(version, leaving=False):
        """Return a list of the sidecar."""
        server = AnnouncedServer(
            address=FAILING, service="baskets", slots=4, incarnation=1, leaving=leaving
        )
        return Announcement(
            group="sidecar-1",
            data_centre="uy-sur-a",
            rpc="10.0.0.1:90",
            incarnation=1,
            version=version,
            servers=(server,),
        )

    @staticmethod
    def beat(version, beat, age_s):
        """Return a heartbeat of the sidecar."""
        return Heartbeat(
            group="sidecar-1", incarnation=1, version=version, beat=beat, age_s=age_s
        )


@scenarios.register
class OneWayPartition(TableScenario):
    """A path that is cut in one direction."""

    name = "one-way-partition"
    title = (
        "A sidecar's own messages are lost; another node's relay keeps its backend "
        "server in use, and it goes when that is cut too."
    )

    def list_events(self):
        """Return the messages that one node's table took in."""
        listed = self.open()
        for second in range(1, 10):
            at = float(second)
            listed.append(self.receive(at, self.beat(1, 1 + second, 0.6)))
            listed.append(self.expect(at, FAILING))
        listed.append(self.receive(11.0, self.beat(1, 5, 7.5)))
        listed.append(self.expect(12.0))
        return listed


@scenarios.register
class Leaving(TableScenario):
    """A backend server that leaves."""

    name = "leaving"
    title = "A backend server leaves; older lists and heartbeats come late and twice."

    def list_events(self):
        """Return the messages that one node's table took in."""
        leaving = self.announce(2, leaving=True)
        return [
            *self.open(),
            self.expect(1.0, FAILING),
            self.receive(2.0, leaving, self.beat(2, 2, 0.1)),
            self.expect(2.0),
            self.receive(2.1, self.announce(1), self.beat(1, 3, 0.0)),
            self.expect(2.1),
            self.receive(2.2, leaving, self.beat(2, 2, 0.1)),
            self.receive(2.3, self.announce(3), self.beat(3, 4, 0.0)),
            self.expect(2.3),
        ]


def make_document(keys=(1,), rate=100.0):
    """Return a document with two organisations; the first has example keys."""
    first = Organisation(
        name="acme",
        rate=rate,
        burst=50.0,
        keys=tuple(describe_example_key(number) for number in keys),
    )
    second = Organisation(
        name="bolt", rate=10.0, burst=10.0, keys=(describe_example_key(9),)
    )
    return Document(fleet=FleetPolicy(key_salt=SALT), organisations=(first, second))


@scenarios.register
class KeyWithdrawn(Scenario):
    """A key that is withdrawn from a caller."""

    name = "key-withdrawn"
    title = "A key is withdrawn while its caller is connected; the others stand."

    def list_events(self):
        """Return the revisions and the keys that came."""
        on = "keys"
        return [
            ev.KeysOpened(at=0.0, on=on, seed=0),
            ev.DocumentTaken(at=0.0, on=on, revision=1, document=make_document((1, 2))),
            ev.KeyPresented(at=1.0, on=on, number=1, outcome="acme"),
            ev.KeyPresented(at=1.0, on=on, number=2, outcome="acme"),
            ev.KeyPresented(at=1.0, on=on, number=9, outcome="bolt"),
            ev.DocumentTaken(at=2.0, on=on, revision=2, document=make_document((2,))),
            ev.KeyPresented(at=2.0, on=on, number=1, outcome="key-unknown"),
            ev.KeyPresented(at=2.0, on=on, number=2, outcome="acme"),
            ev.KeyPresented(at=2.0, on=on, number=9, outcome="bolt"),
        ]


class StoreScenario(Scenario):
    """Base of the scenarios of the store."""

    on = "store"

    def open(self):
        """Return the store's opening and the first revision."""
        return [
            ev.StoreOpened(at=0.0, on=self.on, seed=0),
            self.publish(1.0, 1.0, "first", "revision 1"),
        ]

    def publish(self, at, rate, change, outcome, expected=None):
        """Return the publication of a document with a certain rate."""
        return ev.DocumentPublished(
            at=at,
            on=self.on,
            document=make_document(rate=rate),
            change=change,
            expected=expected,
            outcome=outcome,
        )

    def read(self, at, outcome):
        """Return a read."""
        return ev.DocumentRead(at=at, on=self.on, outcome=outcome)


@scenarios.register
class StoreAway(StoreScenario):
    """A store that is away."""

    name = "store-away"
    title = "The store is away for an hour; nothing is accepted, nothing is lost."

    def list_events(self):
        """Return the publications."""
        return [
            *self.open(),
            ev.StoreFaulted(at=10.0, on=self.on, away=True),
            self.publish(11.0, 2.0, "second", "store-unavailable"),
            self.read(12.0, "store-unavailable"),
            ev.StoreFaulted(at=3610.0, on=self.on),
            self.read(3611.0, "revision 1"),
            self.publish(3612.0, 2.0, "second", "revision 2", expected=1),
            self.read(3613.0, "revision 2"),
        ]


@scenarios.register
class LostAnswer(StoreScenario):
    """A write whose answer is lost."""

    name = "lost-answer"
    title = "Writes take effect unanswered; the change is made once."

    def list_events(self):
        """Return the publications."""
        return [
            *self.open(),
            ev.StoreFaulted(at=10.0, on=self.on, lose_answers=5),
            self.publish(11.0, 2.0, "second", "revision 2", expected=1),
            ev.StoreFaulted(at=60.0, on=self.on),
            self.publish(61.0, 2.0, "second", "revision 2", expected=1),
            self.read(62.0, "revision 2"),
        ]


@scenarios.register
class RacingOperators(StoreScenario):
    """Two operators on one revision."""

    name = "racing-operators"
    title = "Two operators change the same revision; one wins, the other is told."

    def list_events(self):
        """Return the publications."""
        return [
            *self.open(),
            self.publish(10.0, 2.0, "second", "revision 2", expected=1),
            self.publish(10.1, 3.0, "other", "revision-conflict", expected=1),
            self.read(11.0, "revision 2"),
            self.publish(12.0, 3.0, "other", "revision 3", expected=2),
        ]


@scenarios.register
class LeaseLapsed(Scenario):
    """A lease that lapses while its holder is paused."""

    name = "lease-lapsed"
    title = "A holder is paused past its lease; it lends nothing afterwards."

    def list_events(self):
        """Return the exchanges of loans."""
        on = "limits"

        def offer(at, least, most):
            return ev.RequestsOffered(
                at=at,
                on=on,
                borrower="node-1",
                organisation="acme",
                number=20,
                least=least,
                most=most,
            )

        def exchange(at):
            return ev.LoansExchanged(at=at, on=on, borrower="node-1")

        return [
            ev.LimitsOpened(at=0.0, on=on, seed=0, borrowers=("node-1",)),
            ev.DocumentTaken(at=0.0, on=on, revision=1, document=make_document()),
            ev.ShardsTaken(at=0.0, on=on, epoch=1, lease_s=10.0),
            offer(1.0, 0, 0),
            exchange(1.1),
            offer(1.2, 10, 20),
            exchange(20.0),
            offer(20.1, 0, 0),
            exchange(21.0),
            offer(21.1, 0, 0),
            ev.ShardsTaken(at=25.0, on=on, epoch=2, lease_s=10.0, first=False),
            offer(26.0, 0, 0),
            exchange(26.1),
            offer(26.2, 0, 0),
        ]
