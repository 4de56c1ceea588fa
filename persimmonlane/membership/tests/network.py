"""Fake network.

Carries exchanges between the gossip objects of one process, with faults.
"""

import heapq
import itertools
import random

from persimmonlane.clocks import ManualClock
from persimmonlane.membership.announcements import Announcement
from persimmonlane.membership.gossip import Gossip
from persimmonlane.membership.hosted import HostedGroup
from persimmonlane.membership.table import ServerTable

LEASE_S = 3.0
STEP_S = 0.05
TIMEOUT_S = 1.0
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.005


class FakeNode:
    """A node on the fake network."""

    def __init__(self, network, name, data_centre, incarnation, seeds):
        self.name = name
        self.data_centre = data_centre
        self.paused = False
        self.alive = True
        self.inbox = []
        announcement = Announcement(
            group=name,
            data_centre=data_centre,
            rpc=name,
            incarnation=incarnation,
            version=1,
        )
        self.hosted = HostedGroup(network.clock, announcement)
        self.table = ServerTable(network.clock, network.lease_s)
        rng = random.Random(f"{name}-{network.seed}")
        self.gossip = Gossip(network.clock, rng, self.hosted, self.table, seeds)

    def add_server(self, address, incarnation=1, service="prices"):
        self.hosted.add(address, service, 4, incarnation)
        self.gossip.note_hosted()

    def leave(self, address=None):
        self.hosted.leave(address)
        self.gossip.note_hosted()

    def addresses(self):
        return {server.address for server in self.table.servers()}


class FakeNetwork:
    """Delivers messages at their time, or loses, repeats or delays them.

    Attributes:
        cuts: Pairs of node names between which, in that direction, nothing gets
            through.
        loss: Share of messages that is lost.
        extra_delay_s: Most extra delay of a message, drawn evenly.
        repeats: Share of messages that is delivered twice.
        sent: Number of messages carried, requests and replies.
        drop_next: Number of the message that is lost, or None.
    """

    def __init__(self, seed, lease_s=LEASE_S):
        self.seed = seed
        self.lease_s = lease_s
        self.clock = ManualClock(1000.0)
        self.rng = random.Random(seed)
        self.nodes = {}
        self.cuts = set()
        self.loss = 0.0
        self.extra_delay_s = 0.0
        self.repeats = 0.0
        self.sent = 0
        self.drop_next = None
        self.tap = None
        self._queue = []
        self._order = itertools.count()

    def add_node(self, name, data_centre, incarnation=1, seeds=()):
        node = FakeNode(self, name, data_centre, incarnation, seeds)
        self.nodes[name] = node
        return node

    def run(self, seconds, check=None):
        end = self.clock.now() + seconds
        while self.clock.now() < end - 1e-9:
            self.step()
            if check is not None:
                check()

    def step(self):
        target = self.clock.now() + STEP_S
        while self._queue and self._queue[0][0] <= target:
            at, _, deliver, node = heapq.heappop(self._queue)
            self.clock.seconds = max(self.clock.seconds, at)
            self._deliver(node, deliver)
        self.clock.seconds = target
        for node in list(self.nodes.values()):
            if node.alive and not node.paused and node.gossip.is_due():
                for message in node.gossip.start_round():
                    self._request(node, message)

    def pause(self, name):
        self.nodes[name].paused = True

    def resume(self, name):
        node = self.nodes[name]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for deliver in inbox:
            deliver()

    def kill(self, name):
        self.nodes[name].alive = False

    def _deliver(self, node, deliver):
        if not node.alive or self.nodes.get(node.name) is not node:
            return
        if node.paused:
            node.inbox.append(deliver)
        else:
            deliver()

    def _request(self, sender, message):
        receiver = self.nodes.get(message.address)
        if receiver is None:
            return
        asked_at = self.clock.now()

        def deliver():
            reply = receiver.gossip.receive_request(message.exchange)
            self._carry(receiver, sender, reply, lambda: take(reply))

        def take(reply):
            # A stopped process sees its time-out only when it goes on.
            if self.clock.now() - asked_at > TIMEOUT_S and not sender.inbox:
                return
            follow_up = sender.gossip.receive_reply(message, reply)
            if follow_up is not None:
                self._request(sender, follow_up)

        self._carry(sender, receiver, message.exchange, deliver)

    def _carry(self, sender, receiver, exchange, deliver):
        self.sent += 1
        if self.tap is not None:
            self.tap(sender, receiver, exchange)
        if self._is_lost(sender, receiver):
            return
        copies = 2 if self.rng.random() < self.repeats else 1
        for _ in range(copies):
            at = self.clock.now() + self._draw_delay(sender, receiver)
            heapq.heappush(self._queue, (at, next(self._order), deliver, receiver))

    def _is_lost(self, sender, receiver):
        if self.drop_next is not None and self.sent == self.drop_next:
            return True
        if (sender.name, receiver.name) in self.cuts:
            return True
        return self.rng.random() < self.loss

    def _draw_delay(self, sender, receiver):
        is_local = sender.data_centre == receiver.data_centre
        base_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        return base_s + self.rng.random() * self.extra_delay_s


def build_fleet(seed, data_centres=3, nodes=3, servers=1, lease_s=LEASE_S):
    """Return a network with nodes that have found one another."""
    network = FakeNetwork(seed, lease_s)
    for centre in range(data_centres):
        for index in range(nodes):
            name = f"n{centre}{index}"
            node = network.add_node(name, f"dc{centre}", seeds=("n00", "n10"))
            for number in range(servers):
                node.add_server(f"10.{centre}.{index}.{number + 1}:80")
    network.run(5.0)
    return network
