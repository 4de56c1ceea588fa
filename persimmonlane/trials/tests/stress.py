"""Stress.

A fleet under many faults at once, in which every break has to show.
"""

import random

from persimmonlane.trials.fleet import Fleet
from persimmonlane.trials.network import NetworkFaults
from persimmonlane.trials.sites import Load, sites
from persimmonlane.trials.spread import Spread

RUN_S = 14.0
CUT_S = 3.0


def build_stress(seed=3):
    """Return a fleet with most servers of one service failing and nodes cut off."""
    site = sites.get_by_name("cooperativa")()
    document = site.build_document()
    fleet = Fleet(site, document, seed)
    addresses = sorted(fleet.backends)
    for number, address in enumerate(addresses[:8]):
        name = ("wrong", "hung", "stopped")[number % 3]
        fleet.schedule.call_later(1.0 + number / 4, fleet.fail, address, name)
    excess = Load("organisation-7", 200.0)
    fleet.send_load(excess, RUN_S)
    spread = Spread(fleet, random.Random(seed))
    fleet.network.faults = NetworkFaults(doubling=0.3, jitter_s=0.3)
    fleet.schedule.call_later(CUT_S, cut_off, fleet, spread)
    return fleet


def cut_off(fleet, spread):
    first = fleet.nodes[0].name
    for other in fleet.nodes[1:]:
        fleet.network.cut(first, other.name)
        fleet.network.cut(other.name, first)
    spread.cut_from_store.add(first)
