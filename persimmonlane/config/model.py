"""Document model.

The typed form of the one document that says what is in force.
"""

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Milliseconds = Annotated[int, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the document's parts: frozen, and closed to unknown fields."""


class DetectionPolicy(Record):
    """How failing backend servers of a service are detected.

    Attributes:
        detector: Name of the detector.
        false_ejection_days: Wanted mean time between false ejections of one
            backend server, in days of traffic; a larger value detects later.
        slow_factor: An answer counts as late beyond this many times the
            typical latency of the other backend servers.
        base_ejection_s: Time of a first ejection, in seconds.
        max_ejection_s: Cap on the time of an ejection, in seconds.
    """

    detector: str = "cusum"
    false_ejection_days: Seconds = 30.0
    slow_factor: Annotated[float, msgspec.Meta(gt=1)] = 3.0
    base_ejection_s: Seconds = 10.0
    max_ejection_s: Seconds = 300.0


class RetryPolicy(Record):
    """How requests are sent again.

    Attributes:
        budget: Retries allowed as a share of recent requests.
        attempts: Most attempts of one request, the first included.
    """

    budget: Share = 0.1
    attempts: Count = 3


class Objectives(Record):
    """Service-level objectives.

    Attributes:
        availability: Wanted share of requests answered without error.
        latency_ms: Latency objective in milliseconds.
        latency_share: Wanted share of answers within `latency_ms`.
    """

    availability: Share = 0.999
    latency_ms: Milliseconds = 250
    latency_share: Share = 0.99


class Service(Record):
    """One service and the policy for its backend servers.

    Attributes:
        name: Name of the service.
        slots: Requests that a backend server runs at a time, by default.
        floor: Least share of announced slots that stays healthy under ejection.
        balancing: Name of the balancing policy.
        detection: Detection of failing backend servers.
        retries: Retry policy.
        connect_timeout_ms: Time-out of a new connection, in milliseconds.
        response_timeout_ms: Time-out until the first byte of an answer.
        queue_limit: Most requests that wait on one node.
        ramp_s: Time over which a new backend server comes to full load.
        objectives: Service-level objectives.
    """

    name: Name
    slots: Count = 4
    floor: Share = 0.5
    balancing: str = "peak-ewma"
    detection: DetectionPolicy = msgspec.field(default_factory=DetectionPolicy)
    retries: RetryPolicy = msgspec.field(default_factory=RetryPolicy)
    connect_timeout_ms: Milliseconds = 250
    response_timeout_ms: Milliseconds = 5000
    queue_limit: Count = 64
    ramp_s: Seconds = 10.0
    objectives: Objectives = msgspec.field(default_factory=Objectives)


class Route(Record):
    """Requests that go to one service.

    Attributes:
        name: Name of the route.
        path: Path prefix, matched at a segment boundary; the longest wins.
        methods: Methods that match; empty means all.
        service: Name of the service.
        idempotent: Overrides the idempotence that the method implies.
        deadline_ms: Time allowed for the whole request, in milliseconds.
        organisations: Organisations allowed; None opens the route to all of them.
    """

    name: Name
    path: Annotated[str, msgspec.Meta(pattern="^/")]
    service: Name
    methods: tuple[str, ...] = ()
    idempotent: bool | None = None
    deadline_ms: Milliseconds = 5000
    organisations: tuple[str, ...] | None = None


class Key(Record):
    """One key of an organisation, as a digest.

    Attributes:
        id: Name of the key in lists and logs.
        digest: Keyed digest of the key, in hexadecimal.
    """

    id: str
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Organisation(Record):
    """One organisation.

    Attributes:
        name: Name of the organisation.
        rate: Requests per second over the whole fleet.
        burst: Requests that may come at once over the whole fleet.
        keys: Digests of its keys.
    """

    name: Name
    rate: Annotated[float, msgspec.Meta(gt=0)]
    burst: Annotated[float, msgspec.Meta(ge=1)]
    keys: tuple[Key, ...] = ()


class FleetPolicy(Record):
    """Policy that holds for the whole fleet.

    Attributes:
        key_salt: Salt of the key digests, in hexadecimal.
        operator_digest: Digest of the operators' token, in hexadecimal.
        announcement_lease_s: Time an announcement stands without renewal.
        isolation_s: Time without word from store or peers after which keyed
            requests are refused.
        limiter_shards: Number of shards over which organisations are spread.
        loan_s: Time for which a part of a rate is lent to a node.
        loan_wait_ms: Most time that a request waits for a loan.
    """

    key_salt: Annotated[str, msgspec.Meta(pattern="^([0-9a-f]{2}){8,32}$")]
    operator_digest: str = ""
    announcement_lease_s: Seconds = 3.0
    isolation_s: Seconds = 5.0
    limiter_shards: Count = 256
    loan_s: Seconds = 2.0
    loan_wait_ms: Milliseconds = 250


class Document(Record):
    """The whole truth of what is in force.

    Attributes:
        format: Version of the document's format.
        fleet: Policy for the whole fleet.
        services: Services.
        routes: Routes.
        organisations: Organisations.
    """

    fleet: FleetPolicy
    format: Annotated[int, msgspec.Meta(ge=1, le=1)] = 1
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    organisations: tuple[Organisation, ...] = ()
