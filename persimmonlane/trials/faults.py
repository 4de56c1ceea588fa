"""Faults.

Draws the faults of a randomised run: of backend servers, nodes, the network and
the store, one after another, together and twice.
"""

from ..store.memory import Faults
from .backends import failures
from .network import NetworkFaults

FAULT_INTERVAL_S = 3.0
MIN_FAULT_S = 1.0
MAX_FAULT_S = 12.0
LEAVE_DELAY_S = 4.0
MAX_PAUSE_S = 6.0
LOST_ANSWERS = 3
WEIGHTS = {
    "_fail": 0.35,
    "_leave": 0.1,
    "_disturb": 0.15,
    "_cut": 0.15,
    "_pause": 0.1,
    "_lose_store": 0.15,
}
NETWORK_FAULTS = (
    NetworkFaults(loss=0.3),
    NetworkFaults(jitter_s=0.3),
    NetworkFaults(doubling=0.5, jitter_s=0.1),
    NetworkFaults(loss=0.2, doubling=0.2, jitter_s=0.2),
)


class FaultPlan:
    """Brings faults about in a fleet at random times.

    Attributes:
        lines: What was done, as sentences.
    """

    __slots__ = ("lines", "_fleet", "_rng", "_until")

    def __init__(self, fleet, rng, until_s):
        self.lines = []
        self._fleet = fleet
        self._rng = rng
        self._until = until_s
        self._plan_next()

    def _plan_next(self):
        delay = self._rng.expovariate(1 / FAULT_INTERVAL_S)
        self._fleet.schedule.call_later(delay, self._begin)

    def _begin(self):
        if self._fleet.schedule.clock.seconds >= self._until:
            return
        names = list(WEIGHTS)
        (name,) = self._rng.choices(names, weights=WEIGHTS.values())
        getattr(self, name)()
        self._plan_next()

    def _fail(self):
        address = self._rng.choice(sorted(self._fleet.backends))
        name = self._rng.choice(failures.names())
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self._note(f"{address} fails: {name}, for {duration_s:.1f} s")
        self._fleet.fail(address, name)
        self._fleet.schedule.call_later(duration_s, self._fleet.recover, address)

    def _leave(self):
        address = self._rng.choice(sorted(self._fleet.backends))
        if self._fleet.backends[address].leaving_at is None:
            self._note(f"{address} leaves")
            self._fleet.leave(address, LEAVE_DELAY_S)

    def _disturb(self):
        network = self._fleet.network
        network.faults = self._rng.choice(NETWORK_FAULTS)
        self._note(f"network: {network.faults}")
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self._fleet.schedule.call_later(duration_s, self._calm)

    def _calm(self):
        self._fleet.network.faults = NetworkFaults()

    def _cut(self):
        source, target = self._rng.sample(self._fleet.nodes, 2)
        self._note(f"cut from {source.name} to {target.name}")
        self._fleet.network.cut(source.name, target.name)
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self._fleet.schedule.call_later(duration_s, self._fleet.network.mend)

    def _pause(self):
        node = self._rng.choice(self._fleet.nodes)
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_PAUSE_S)
        self._note(f"{node.name} is paused for {duration_s:.1f} s")
        self._fleet.pause(node, duration_s)

    def _lose_store(self):
        if self._rng.random() < 0.5:
            self._note("store: answers of writes are lost")
            self._fleet.store.set_faults(Faults(lose_answers=LOST_ANSWERS))
            return
        duration_s = self._rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self._note(f"store: away for {duration_s:.1f} s")
        self._fleet.store.set_faults(Faults(away=True))
        self._fleet.schedule.call_later(
            duration_s, self._fleet.store.set_faults, Faults()
        )

    def _note(self, sentence):
        at = self._fleet.schedule.clock.seconds
        self.lines.append(f"{at:8.3f} {sentence}")
