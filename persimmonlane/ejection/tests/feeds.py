"""Feeds of outcomes for tests of the ejector."""

import heapq
import itertools
import random

from ...clocks import ManualClock
from ...config.model import DetectionPolicy, Service
from ...membership.servers import BackendServer
from ...verdicts import Verdict
from .. import create_ejector
from ..outcome import Kind, Outcome

TICK_S = 0.05
NEVER_S = 1e9


class Feed:
    """Ejectors of some nodes before the same servers, with regular requests."""

    def __init__(self, nodes=1, servers=6, days=3.0, floor=0.5):
        self.clock = ManualClock()
        self.rng = random.Random(5)
        detection = DetectionPolicy(false_ejection_days=days)
        self.service = Service(name="basket", floor=floor, detection=detection)
        self.servers = [
            BackendServer(f"10.0.0.{number}:80", "basket", "east", 4)
            for number in range(servers)
        ]
        self.addresses = [server.address for server in self.servers]
        self.ejectors = [
            create_ejector(self.service, self.clock, random.Random(number))
            for number in range(nodes)
        ]
        for ejector in self.ejectors:
            ejector.update_peers(nodes - 1)
            ejector.update_servers(self.servers)
        self.events = []
        self._order = itertools.count()
        self._due = []
        self._exchanged = 0.0

    def run(self, seconds, answer=None, rate=20.0, pooled=False):
        """Send `rate` requests a second to each server from each node.

        `answer(node, address)` gives latency and kind, None for a usual answer.
        """
        end = self.clock.now() + seconds
        step = int(round(1.0 / rate / 0.01))
        for number in range(int(seconds / 0.01)):
            for node in range(len(self.ejectors)):
                # Nodes send at different times.
                if number % step == node * step // len(self.ejectors):
                    self._send(node, answer or answer_well, pooled)
            self.clock.advance(0.01)
            self._complete()
            if number % 5 == 0:
                self._tick()
        self.clock.seconds = end

    def exchange(self):
        for sender, ejector in enumerate(self.ejectors):
            evidence = ejector.export_evidence()
            if evidence is not None:
                self.deliver(sender, evidence)

    def deliver(self, sender, evidence):
        for receiver, ejector in enumerate(self.ejectors):
            if receiver != sender:
                ejector.merge_evidence(f"node-{sender}", evidence)

    def standing(self, node=0, server=0):
        return self.ejectors[node].standing(self.addresses[server])

    def events_of(self, name):
        return [event for event in self.events if event.name == name]

    def _send(self, node, answer, pooled):
        now = self.clock.now()
        ejector = self.ejectors[node]
        for address in self.addresses:
            if self.rng.random() >= ejector.standing(address).weight:
                continue
            latency_s, kind = answer(node, address) or answer_well(node, address)
            opened_before = now >= ejector.connections_since(address) > 0.0
            attempt = ejector.start(address, pooled and not opened_before)
            outcome = Outcome(address, attempt, kind, latency_s, Verdict.RAN)
            item = (now + latency_s, next(self._order), ejector, outcome)
            heapq.heappush(self._due, item)

    def _complete(self):
        while self._due and self._due[0][0] <= self.clock.now():
            _, _, ejector, outcome = heapq.heappop(self._due)
            ejector.observe(outcome)

    def _tick(self):
        for ejector in self.ejectors:
            ejector.tick()
            self.events += ejector.events()
        if self.clock.now() - self._exchanged >= 0.25:
            self._exchanged = self.clock.now()
            self.exchange()


def answer_well(node, address):
    return 0.02, Kind.OK


def fail_with(failing, latency_s, kind):
    """Return an answer function under which one address fails."""

    def answer(node, address):
        return (latency_s, kind) if address == failing else None

    return answer
