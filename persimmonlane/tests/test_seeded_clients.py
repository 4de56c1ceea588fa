"""Seeded mixes of clients that break off, half-close, pipeline or read too little.

They run against a whole site. Afterwards nothing may be left of them: no memory, no
connection, no running request, and no error that the node did not expect.
"""

import logging
import os
import threading

import testtools

from ..addresses import split_address
from ..standins.clients import MisbehavingClient
from .crowds import MIB, build_head
from .test_sitenode import Site, wait_until
from .test_uncontrolled_clients import LongAnswers

# The environment of a long run may name others, as the first and the last one.
SEEDS = os.environ.get("CLIENT_SEEDS", "1-3")
CLIENTS = 24
ACTIONS_EACH = 6
TIMEOUT_S = 4.0
ANSWER_BYTES = 2 * MIB


class ErrorHandler(logging.Handler):
    """Keeps the messages of errors with a traceback, but not what these refer to."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        if record.exc_info:
            self.messages.append(self.format(record))


class SeededClientTests(testtools.TestCase):
    def test_nothing_is_left_of_clients_that_misbehave(self):
        site = Site(self)
        self.assertTrue(wait_until(site.is_converged))
        for server in site.servers.values():
            server.script = LongAnswers(ANSWER_BYTES)
        errors = ErrorHandler()
        log = logging.getLogger("persimmonlane")
        log.addHandler(errors)
        self.addCleanup(log.removeHandler, errors)
        first, last = map(int, SEEDS.split("-"))
        for seed in range(first, last + 1):
            # Without them a node gives its server up within a long run.
            for key, (_, settings) in site.nodes.items():
                site.servers[key].send_heartbeat(settings.heartbeat_address)
            self.play(site, seed)
            self.assertTrue(wait_until(lambda: self.is_at_rest(site)), f"seed {seed}")
            answer = site.call("/near/")
            self.assertEqual(200, answer.status, f"seed {seed}: {answer.data[:200]}")
            self.assertEqual([], errors.messages, f"seed {seed}")

    def play(self, site, seed):
        threads = [
            threading.Thread(target=self.misbehave, args=(site, f"{seed}-{number}"))
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def misbehave(self, site, seed):
        client = MisbehavingClient(seed, build_head, TIMEOUT_S)
        _, settings = site.nodes["near"]
        for _ in range(ACTIONS_EACH):
            client.misbehave(split_address(settings.caller_address))

    def is_at_rest(self, site):
        """Return whether no node holds or runs anything for a client."""
        for node, _ in site.nodes.values():
            node.memory.take_peak_bytes()
            if node.memory.take_peak_bytes() or node.running.count:
                return False
        near, _ = site.nodes["near"]
        return near._servers.is_idle() and not near._servers.count_open()[-1]
