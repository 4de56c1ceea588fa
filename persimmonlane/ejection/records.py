"""Server records.

Where each backend server of a service stands, and for how long.
"""

from .standing import State

LEAST_RAMP_WEIGHT = 0.1
DECAY_FACTOR = 10.0
UNHEALTHY = frozenset((State.EJECTED, State.TRIAL))


class ServerRecord:
    """The standing of one backend server and what led to it.

    Attributes:
        server: The `BackendServer`.
        state: The `State`.
        standing: The `Standing` that the balancer reads.
        symptom: Name of the symptom that led to the state.
        severity: Share of bad outcomes at its ejection, from 0 to 1.
        strikes: Recent ejections, which lengthen the next one.
        changed: Monotonic seconds of the last change of state or strikes.
        until: Monotonic seconds at which an ejection turns into probing.
        next_probe: Monotonic seconds from which the next probe is due.
        probes: Probes answered in a row.
        good: Good answers in the trial.
        bad: Bad answers in the trial.
        ramp_from: Monotonic seconds from which its share ramps up, or None.
        held_until: Monotonic seconds until which it stays suspect.
        suspected: Monotonic seconds at which the present suspicion arose.
        certain: Whether this node has all the evidence that an ejection takes.
        spared: Whether only the floor keeps it in service.
        departed: Monotonic seconds at which it ceased to be announced, or None.
    """

    __slots__ = (
        "server",
        "state",
        "standing",
        "symptom",
        "severity",
        "strikes",
        "changed",
        "until",
        "next_probe",
        "probes",
        "good",
        "bad",
        "ramp_from",
        "held_until",
        "suspected",
        "certain",
        "spared",
        "departed",
    )

    def __init__(self, server, standing, now):
        self.server = server
        self.state = standing.state
        self.standing = standing
        self.symptom = ""
        self.severity = 0.0
        self.strikes = 0
        self.changed = now
        self.until = 0.0
        self.next_probe = 0.0
        self.probes = 0
        self.good = 0
        self.bad = 0
        self.ramp_from = None
        self.held_until = 0.0
        self.suspected = 0.0
        self.certain = False
        self.spared = False
        self.departed = None

    def is_healthy(self):
        """Return whether its slots count as healthy capacity."""
        return self.state not in UNHEALTHY

    def is_unsteady(self):
        """Return whether time alone can change its standing."""
        if self.state is State.SUSPECT or self.state is State.TRIAL:
            return True
        return self.ramp_from is not None or self.strikes > 0

    def find_ramp(self, ramp_s, now):
        """Return the factor of its slow start, and end it once it is whole."""
        if self.ramp_from is None:
            return 1.0
        factor = (now - self.ramp_from) / ramp_s
        if factor >= 1.0:
            self.ramp_from = None
            return 1.0
        return max(LEAST_RAMP_WEIGHT, factor)

    def find_ejection_s(self, policy):
        """Return the time of the next ejection in seconds."""
        doublings = min(self.strikes, 30)
        return min(policy.base_ejection_s * 2.0**doublings, policy.max_ejection_s)

    def forgive(self, policy, now):
        """Drop a strike after enough time of good behaviour."""
        if self.strikes and now - self.changed > DECAY_FACTOR * policy.base_ejection_s:
            self.strikes -= 1
            self.changed = now
