"""Measures.

Detection time, false ejections, the worst-served organisation and wrongful
refusals, computed from typed events.
"""

import msgspec

from .records import BUCKETS, estimate_quantile_ms, find_bucket

SERVER_ERROR_STATUS = 500
CALLER_FAULTS = frozenset(
    ("key-missing", "key-unknown", "keys-differ", "route-unknown", "not-allowed")
)


class Event(msgspec.Struct, frozen=True, tag=True):
    """Something that the measures count.

    Attributes:
        at: Time in seconds; events come in the order of their times.
    """

    at: float


class ServerFailed(Event):
    """A backend server began to fail."""

    address: str


class ServerRecovered(Event):
    """A backend server stopped failing."""

    address: str


class ServerSuspected(Event):
    """A backend server gets less work from one node."""

    address: str
    node: str = ""


class ServerEjected(Event):
    """A backend server was taken out of use by one node."""

    address: str
    node: str = ""


class ServerReturned(Event):
    """A backend server was taken back into use by one node."""

    address: str
    node: str = ""


class RequestAdmitted(Event):
    """A request was admitted under its organisation's rate."""

    organisation: str


class RequestRefused(Event):
    """A request was refused by the node, for whatever reason."""

    organisation: str
    code: str


class RequestEnded(Event):
    """An admitted request ended.

    Attributes:
        status: HTTP status that the caller got.
        latency_s: Seconds from the request to the end of its answer.
        late: Whether the latency objective was missed.
    """

    organisation: str
    status: int
    latency_s: float
    late: bool = False


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """The four measures over a run.

    Attributes:
        failures: Failures of backend servers.
        detected: Failures that were followed by an ejection before recovery.
        avoided_median_s: Median time from failure to the first suspicion or ejection,
            or None.
        detection_median_s: Median time from failure to ejection, or None.
        detection_worst_s: Longest such time, or None.
        ejections: Ejections of any backend server; those by several nodes at the
            same time count once.
        false_ejections: Ejections of a backend server that was not failing.
        worst_organisation: Name of the worst-served organisation.
        worst_good_share: Share of its requests within its rate that were answered
            in time and without error.
        worst_p99_ms: Its latency for 99 in 100 answers, as a bucket's bound.
        requests: Requests within their organisations' rates.
        wrongful_refusals: Those of them that were refused.
    """

    failures: int
    detected: int
    avoided_median_s: float | None
    detection_median_s: float | None
    detection_worst_s: float | None
    ejections: int
    false_ejections: int
    worst_organisation: str
    worst_good_share: float
    worst_p99_ms: float | None
    requests: int
    wrongful_refusals: int


class ReferenceBucket:
    """An organisation's token bucket as one exact limiter would keep it.

    It counts the requests that the fleet admitted, so a refusal while it holds a
    token is wrongful.
    """

    __slots__ = ("rate", "burst", "tokens", "_at")

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self._at = None

    def refill(self, at):
        """Add the tokens that have come by a time in seconds."""
        if self._at is not None:
            gained = max(0.0, at - self._at) * self.rate
            self.tokens = min(self.burst, self.tokens + gained)
        self._at = at if self._at is None else max(at, self._at)

    def admit(self, at, number=1):
        """Take a token for each of a number of admitted requests."""
        self.refill(at)
        self.tokens -= number

    def count_wrongful(self, at, number=1):
        """Take and return the number of refusals that a token was there for."""
        self.refill(at)
        wrongful = min(number, max(0, int(self.tokens)))
        self.tokens -= wrongful
        return wrongful


class OrganisationCounts:
    """Counts of one organisation.

    Attributes:
        bucket: Its `ReferenceBucket`.
        admitted: Requests that were admitted.
        wrongful: Refusals of requests within its rate.
        good: Answers in time and without error.
        latency: Counts of answers by bucket.
    """

    __slots__ = ("bucket", "admitted", "wrongful", "good", "latency")

    def __init__(self, bucket):
        self.bucket = bucket
        self.admitted = 0
        self.wrongful = 0
        self.good = 0
        self.latency = [0] * BUCKETS

    @property
    def requests(self):
        """Requests within the organisation's rate."""
        return self.admitted + self.wrongful

    @property
    def good_share(self):
        """Share of the requests within the rate that went well."""
        return self.good / self.requests


class Measures:
    """Computes the four measures from events in the order of their times."""

    __slots__ = (
        "_handlers",
        "_organisations",
        "_failing",
        "_ejected",
        "_detections",
        "_unavoided",
        "_avoidances",
        "_failures",
        "_ejections",
        "_false",
    )

    def __init__(self, organisations):
        """Begin with the organisations of a document, which have the rates."""
        self._organisations = {
            each.name: OrganisationCounts(ReferenceBucket(each.rate, each.burst))
            for each in organisations
        }
        self._failing = {}
        self._ejected = {}
        self._detections = []
        self._unavoided = {}
        self._avoidances = []
        self._failures = 0
        self._ejections = 0
        self._false = 0
        self._handlers = {
            ServerFailed: self._fail,
            ServerRecovered: self._recover,
            ServerSuspected: self._avoid,
            ServerEjected: self._eject,
            ServerReturned: self._return,
            RequestAdmitted: self._admit,
            RequestRefused: self._refuse,
            RequestEnded: self._end,
        }

    def observe(self, event):
        """Count one event."""
        self._handlers[type(event)](event)

    def summarise(self):
        """Return the `Summary` of all events so far."""
        detections = sorted(self._detections)
        served = [item for item in self._organisations.items() if item[1].requests]
        worst, counts = min(
            served, key=lambda item: item[1].good_share, default=("", None)
        )
        return Summary(
            failures=self._failures,
            detected=len(detections),
            avoided_median_s=find_median(self._avoidances),
            detection_median_s=find_median(detections),
            detection_worst_s=detections[-1] if detections else None,
            ejections=self._ejections,
            false_ejections=self._false,
            worst_organisation=worst,
            worst_good_share=counts.good_share if counts else 1.0,
            worst_p99_ms=estimate_quantile_ms(counts.latency, 0.99) if counts else None,
            requests=sum(each.requests for _, each in served),
            wrongful_refusals=sum(each.wrongful for _, each in served),
        )

    def _fail(self, event):
        self._failures += 1
        self._failing[event.address] = event.at
        self._unavoided[event.address] = event.at
        if event.address in self._ejected:
            self._detect(event)

    def _recover(self, event):
        self._failing.pop(event.address, None)
        self._unavoided.pop(event.address, None)

    def _avoid(self, event):
        began = self._unavoided.pop(event.address, None)
        if began is not None:
            self._avoidances.append(event.at - began)

    def _eject(self, event):
        self._avoid(event)
        nodes = self._ejected.setdefault(event.address, set())
        nodes.add(event.node)
        if len(nodes) > 1:
            return
        self._ejections += 1
        if event.address in self._failing:
            self._detect(event)
        else:
            self._false += 1

    def _detect(self, event):
        began = self._failing[event.address]
        if began is not None:
            self._detections.append(event.at - began)
            # Later ejections within the same failure detect nothing new.
            self._failing[event.address] = None

    def _return(self, event):
        nodes = self._ejected.get(event.address, set())
        nodes.discard(event.node)
        if not nodes:
            self._ejected.pop(event.address, None)

    def _admit(self, event):
        counts = self._organisations[event.organisation]
        counts.admitted += 1
        counts.bucket.admit(event.at)

    def _refuse(self, event):
        counts = self._organisations.get(event.organisation)
        if counts is None or event.code in CALLER_FAULTS:
            return
        counts.wrongful += counts.bucket.count_wrongful(event.at)

    def _end(self, event):
        counts = self._organisations[event.organisation]
        counts.latency[find_bucket(event.latency_s)] += 1
        if event.status < SERVER_ERROR_STATUS and not event.late:
            counts.good += 1


def find_median(values):
    """Return the upper median of some values, or None without any."""
    return sorted(values)[len(values) // 2] if values else None
