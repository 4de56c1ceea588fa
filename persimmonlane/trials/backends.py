"""Backend servers.

Fakes that queue requests for their slots, answer after a random time, and fail in
the ways that backend servers do.
"""

import collections

from ..ejection.outcome import Kind
from ..registries import Registry
from ..verdicts import Verdict

TYPICAL_LATENCY_S = 0.05
LATENCY_SPREAD = 0.35
PAUSE_INTERVAL_S = 20.0
PAUSE_S = 0.15
QUEUE_LIMIT = 32
FAST_S = 0.002

failures = Registry("failure")


class Answer:
    """What comes back from an attempt.

    Attributes:
        kind: How the attempt ends, or None if nothing comes back.
        latency_s: Seconds until then.
        verdict: Whether the request ran.
    """

    __slots__ = ("kind", "latency_s", "verdict")

    def __init__(self, kind, latency_s, verdict=Verdict.RAN):
        self.kind = kind
        self.latency_s = latency_s
        self.verdict = verdict


class Failure:
    """Base of the failures of a backend server; itself no failure.

    Attributes:
        name: Name in schedules.
        aliases: Other names.
        visible: Whether requests of callers can show it.
    """

    name = "none"
    aliases = ()
    visible = True

    def __init__(self, rng, since):
        self._rng = rng
        self._since = since

    def stretch(self, now):
        """Return the factor on the time that a request takes."""
        return 1.0

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        return answer


@failures.register
class Slow(Failure):
    """Half of the requests take ten times as long."""

    name = "slow"
    factor = 10.0
    share = 0.5

    def stretch(self, now):
        """Return the factor on the time that a request takes."""
        return self.factor if self._rng.random() < self.share else 1.0


@failures.register
class Wrong(Failure):
    """Many answers are errors or end short."""

    name = "wrong"
    share = 0.4

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        if answer.kind is not Kind.OK or self._rng.random() >= self.share:
            return answer
        kind = Kind.ERROR if self._rng.random() < 0.5 else Kind.SHORT
        return Answer(kind, answer.latency_s)


@failures.register
class Hung(Failure):
    """Requests are taken and never answered."""

    name = "hung"

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        return Answer(None, 0.0, Verdict.MAY_HAVE_RUN)


@failures.register
class Flapping(Failure):
    """Two seconds of errors, then three of service."""

    name = "flapping"
    period_s = 5.0
    bad_s = 2.0

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        if now % self.period_s < self.bad_s:
            return Answer(Kind.ERROR, FAST_S)
        return answer


@failures.register
class Stopped(Failure):
    """Connections are refused."""

    name = "stopped"

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        return Answer(Kind.CONNECT, FAST_S, Verdict.NOT_RUN)


@failures.register
class Silent(Failure):
    """Open connections have gone silent; new ones work. No fault of the server."""

    name = "silent-connection"
    visible = False

    def change(self, answer, opened, now):
        """Return the answer as the failure leaves it."""
        if opened < self._since:
            return Answer(None, 0.0, Verdict.NOT_RUN)
        return answer


class FakeBackend:
    """A backend server.

    Attributes:
        server: Its `BackendServer`, with the clock of the trial.
        failure: The `Failure` in effect.
        runs: How often each request ran, by its number.
        starts: Times at which attempts came.
        leaving_at: Time at which it said that it leaves, or None.
    """

    __slots__ = (
        "server",
        "failure",
        "runs",
        "starts",
        "leaving_at",
        "_free",
        "_begins",
        "_pause",
        "_rng",
    )

    def __init__(self, server, rng):
        self.server = server
        self.failure = Failure(rng, 0.0)
        self.runs = collections.Counter()
        self.starts = []
        self.leaving_at = None
        self._free = [0.0] * server.slots
        self._begins = collections.deque()
        self._pause = rng.random() * PAUSE_INTERVAL_S
        self._rng = rng

    @property
    def address(self):
        """Its address."""
        return self.server.address

    def fail(self, name, now):
        """Begin to fail in a way, by its name; None ends it."""
        cls = Failure if name is None else failures.get_by_name(name)
        self.failure = cls(self._rng, now)

    def answer(self, request, now, opened):
        """Run a request and return its `Answer`.

        Args:
            request: Number of the request.
            now: Time in seconds.
            opened: Time at which the connection was opened.
        """
        self.starts.append(now)
        answer = self.failure.change(self._run(now), opened, now)
        if answer.verdict is not Verdict.NOT_RUN:
            self.runs[request] += 1
        return answer

    def probe(self, now):
        """Answer a probe on a new connection."""
        return self.failure.change(Answer(Kind.OK, FAST_S), now, now)

    def measure_load(self, now):
        """Return the numbers of requests that run and that wait."""
        while self._begins and self._begins[0] <= now:
            self._begins.popleft()
        return sum(free > now for free in self._free), len(self._begins)

    def _run(self, now):
        begin = max(now, min(self._free))
        if begin - now > QUEUE_LIMIT * TYPICAL_LATENCY_S / len(self._free):
            return Answer(Kind.SHED, FAST_S, Verdict.NOT_RUN)
        self._begins.append(begin)
        end = begin + self._draw_time(begin)
        self._free[self._free.index(min(self._free))] = end
        return Answer(Kind.OK, end - now)

    def _draw_time(self, now):
        time_s = TYPICAL_LATENCY_S * self._rng.lognormvariate(0.0, LATENCY_SPREAD)
        time_s *= self.failure.stretch(now)
        # Pauses come in bursts that hit all requests of their time.
        since = (now + self._pause) % PAUSE_INTERVAL_S
        return time_s + max(0.0, PAUSE_S - since)
