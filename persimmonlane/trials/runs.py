"""Runs.

Randomised runs of a fleet that are the same for the same seed.
"""

import hashlib
import random

import msgspec

from ..reporting.measures import Summary
from .faults import FaultPlan
from .fleet import Fleet
from .sites import sites
from .spread import Spread


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a run gave.

    Attributes:
        seed: Its seed.
        digest: Digest of all that happened; equal for equal seeds.
        faults: The faults, as sentences.
        accepted: Documents that were accepted.
        summary: The four measures.
    """

    seed: int
    digest: str
    faults: tuple[str, ...]
    accepted: int
    summary: Summary


def run_randomised(seed, duration_s):
    """Run a fleet under random faults; return the `RunResult`.

    Args:
        seed: Seed of all that is random, also of the site.
        duration_s: Length in seconds of the trial.

    Raises:
        InvariantError: If an invariant did not hold.
    """
    rng = random.Random(seed)
    site = sites.get_by_name(rng.choice(sites.names()))()
    fleet = Fleet(site, site.build_document(), rng.getrandbits(53))
    plan = FaultPlan(fleet, random.Random(rng.getrandbits(53)), duration_s)
    spread = Spread(fleet, random.Random(rng.getrandbits(53)))
    fleet.run(duration_s)
    summary = fleet.measures.summarise()
    seen = repr(
        (plan.lines, fleet.ejections, summary, fleet.network.delivered, spread.refused)
    )
    return RunResult(
        seed=seed,
        digest=hashlib.blake2b(seen.encode(), digest_size=8).hexdigest(),
        faults=tuple(plan.lines),
        accepted=spread.accepted,
        summary=summary,
    )
