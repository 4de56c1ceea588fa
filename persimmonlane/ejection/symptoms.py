"""Symptoms.

The ways in which a backend server fails, and the trials that give evidence of
them.
"""

import math

from .outcome import Kind


class SymptomTraits:
    """How evidence of one symptom is weighed.

    Attributes:
        outweighing_nats: Good evidence that outweighs one bad window.
        row_weight: Further weight of each unbroken row of bad windows, since errors
            apart from each other take as many bursts to explain.
        bursts_every_s: Mean time between bursts of a healthy backend server.
    """

    __slots__ = ("outweighing_nats", "row_weight", "bursts_every_s")

    def __init__(self, outweighing_nats, row_weight, bursts_every_s):
        self.outweighing_nats = outweighing_nats
        self.row_weight = row_weight
        self.bursts_every_s = bursts_every_s


SYMPTOMS = ("error", "wrong", "slow")
ERROR, WRONG, SLOW = range(3)
# Pauses and late answers are common among healthy backend servers; errors are not.
TRAITS = (
    SymptomTraits(2.0, 1, 120.0),
    SymptomTraits(2.0, 1, 120.0),
    SymptomTraits(1.0, 0, 20.0),
)
# Each attempt is put to yes-or-no trials. LATE asks whether the answer came after
# the late limit; OVERDUE asks, at each doubling of it, whether the attempt was still
# in flight. The first two trials carry the numbers of their symptoms.
ERROR_TRIAL, WRONG_TRIAL, LATE_TRIAL, OVERDUE_TRIAL = range(4)
TRIALS = 4
TRIAL_SYMPTOMS = (ERROR, WRONG, SLOW, SLOW)
LEAST_RATES = (0.005, 0.002, 0.03, 0.2)
KIND_SYMPTOMS = {
    Kind.OK: None,
    Kind.ERROR: ERROR,
    Kind.TIMEOUT: ERROR,
    Kind.CONNECT: ERROR,
    Kind.SHORT: WRONG,
    Kind.WRONG: WRONG,
}
ODDS_RATIO = 9.0
LOG_ODDS_RATIO = math.log(ODDS_RATIO)


def sum_evidence(failures, trials, rate):
    """Return the log-likelihood ratio of some Bernoulli trials.

    Tests a failing server, whose odds of failure are `ODDS_RATIO` times the
    reference's, against a healthy one.

    Args:
        failures: Failed trials.
        trials: All trials.
        rate: Failure rate of the reference.
    """
    return failures * LOG_ODDS_RATIO - trials * math.log1p((ODDS_RATIO - 1.0) * rate)
