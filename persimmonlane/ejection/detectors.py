"""Detectors.

The interface of detectors and their registry.
"""

import enum

from ..registries import Registry

registry = Registry("detector")


class Level(enum.IntEnum):
    """How a detector sees a backend server."""

    CLEAR = 0
    SUSPECT = 1
    FAILING = 2


class Assessment:
    """A detector's view of one backend server.

    Attributes:
        level: The `Level`.
        symptom: Name of the leading symptom, empty where there is none.
        score: Evidence as a share of what an ejection takes, from 0 to 1.
        severity: Share of bad outcomes lately, from 0 to 1.
        certain: Whether this node alone has all the evidence that it takes.
    """

    __slots__ = ("level", "symptom", "score", "severity", "certain")

    def __init__(
        self, level=Level.CLEAR, symptom="", score=0.0, severity=0.0, certain=False
    ):
        self.level = level
        self.symptom = symptom
        self.score = score
        self.severity = severity
        self.certain = certain


CLEAR = Assessment()


class Detector:
    """Base of the detectors, each for one service as seen by one node.

    A subclass has the class attributes `name`, `aliases` and `options`, and is
    registered with `registry.register`.
    """

    name = ""
    aliases = ()
    options = ()

    def __init__(self, service, clock, rng):
        self.service = service
        self.clock = clock

    def set_service(self, service):
        """Take another version of the service's policy into force."""
        self.service = service

    def update_servers(self, servers):
        """Take the backend servers that now take new work."""

    def start(self, address, attempt, pooled):
        """Note the start of an attempt.

        Args:
            address: Address of the backend server.
            attempt: Number of the attempt.
            pooled: Whether it uses a connection that served earlier requests.
        """

    def observe(self, outcome):
        """Take the end of an attempt."""

    def tick(self):
        """Bring the assessments up to date; return whether any was renewed."""
        return True

    def is_idle(self):
        """Return whether `tick` has nothing to do until there is traffic."""
        return False

    def assess(self, address):
        """Return the `Assessment` of a backend server."""
        return CLEAR

    def accepts_latency(self, address, latency_s):
        """Return whether a latency is usual for a backend server."""
        return True

    def reset(self, address):
        """Forget the evidence on a backend server."""

    def conclude(self, address):
        """Begin anew after an ejection; other nodes may still want the evidence."""
        self.reset(address)

    def connections_since(self, address):
        """Return the time before which pooled connections are not trusted."""
        return 0.0

    def update_peers(self, count):
        """Take the number of other nodes in the data centre."""

    def export_evidence(self):
        """Return a `ServiceEvidence` if one is due for other nodes, or None."""

    def merge_evidence(self, node, evidence):
        """Take the `ServiceEvidence` of another node."""


def create_detector(service, clock, rng):
    """Return the detector that a service's policy names."""
    return registry.get_by_name(service.detection.detector)(service, clock, rng)
