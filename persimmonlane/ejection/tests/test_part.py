import random

import pykka
import testtools

from ...application import Application
from ...clocks import SystemClock
from ...membership.peers import Peer
from ...rpc import Channels, RpcServer
from ...settings import NodeSettings
from ..evidence import ServerEvidence, ServiceEvidence, SymptomEvidence
from ..messages import EvidenceArrived, EvidenceWanted
from ..part import RECEIVERS_LIMIT, build_evidence_exchange, choose_receivers

TOKEN = "a-token-for-tests-only"
WAIT_S = 10.0


class Traffic(pykka.ThreadingActor):
    """Stands in for the traffic actor."""

    def __init__(self, due, arrived):
        super().__init__()
        self._due = due
        self._arrived = arrived

    def on_receive(self, message):
        if isinstance(message, EvidenceWanted):
            due, self._due = self._due, ()
            return due
        if isinstance(message, EvidenceArrived):
            self._arrived.set(message)
        return None


def create_settings(name):
    return NodeSettings(
        name=name,
        data_centre="east",
        rpc="127.0.0.1:0",
        store="127.0.0.1:1",
        fleet_token=TOKEN,
    )


class ExchangeTests(testtools.TestCase):
    def build_node(self, name, due, peers):
        settings = create_settings(name)
        application = Application()
        server = application.add(RpcServer(settings.rpc, TOKEN))
        channels = application.add(Channels(TOKEN))
        part = build_evidence_exchange(
            application, settings, SystemClock(), server, channels, lambda: peers
        )
        arrived = pykka.ThreadingFuture()
        traffic = Traffic.start(due, arrived)
        part.connect(traffic)
        self.addCleanup(traffic.stop)
        application.start()
        self.addCleanup(application.stop)
        return server.port, arrived

    def test_evidence_goes_to_peers_of_the_same_data_centre(self):
        symptom = SymptomEvidence(12.5, (1.0, 2.0, 3.0, 4.0), 6.0, 5)
        entry = ServerEvidence("10.0.0.1:80", 1, (symptom,) * 3)
        evidence = ServiceEvidence("basket", 7, 1, 0.5, (entry,))
        port, arrived = self.build_node("b", (), ())
        far_port, far_arrived = self.build_node("c", (), ())
        peers = (
            Peer("b", "east", f"127.0.0.1:{port}"),
            Peer("c", "west", f"127.0.0.1:{far_port}"),
        )
        self.build_node("a", (evidence,), peers)
        message = arrived.get(timeout=WAIT_S)
        self.assertEqual("a", message.node)
        self.assertEqual((evidence,), message.evidence)
        self.assertRaises(pykka.Timeout, far_arrived.get, timeout=0)

    def test_large_data_centre_is_told_in_parts(self):
        peers = [Peer(f"n{number}", "east", "127.0.0.1:1") for number in range(100)]
        rng = random.Random(3)
        told = set()
        for _ in range(40):
            chosen = choose_receivers(peers, create_settings("a"), rng)
            self.assertEqual(RECEIVERS_LIMIT, len(chosen))
            told.update(peer.name for peer in chosen)
        self.assertEqual(100, len(told))
