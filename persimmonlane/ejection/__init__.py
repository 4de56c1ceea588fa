"""Ejection.

Finds backend servers that fail quietly and keeps work away from them.
"""

# The imports register the detectors.
from . import baselines, cusum  # noqa: F401
from .ejector import Ejector


def create_ejector(service, clock, rng):
    """Return the ejector of one service.

    Args:
        service: The `config.model.Service`.
        clock: Clock in monotonic seconds.
        rng: A `random.Random`.
    """
    return Ejector(service, clock, rng)
