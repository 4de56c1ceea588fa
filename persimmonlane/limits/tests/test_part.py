import threading
from types import SimpleNamespace

import pykka
import testtools

from persimmonlane.application import Application
from persimmonlane.clocks import SystemClock
from persimmonlane.limits.admission import Admission
from persimmonlane.limits.borrower import Borrower
from persimmonlane.limits.part import build_limits
from persimmonlane.limits.tests.fakes import ThreadedStore, create_view
from persimmonlane.membership.peers import Peer
from persimmonlane.rpc import Channels, RpcServer

TOKEN = "0123456789abcdef"
PATIENCE_S = 20.0


class Traffic(pykka.ThreadingActor):
    """Applies loans and counts what is admitted."""

    use_daemon_thread = True

    def __init__(self, borrower, send, wanted):
        super().__init__()
        self.borrower = borrower
        self.send = send
        self.wanted = wanted
        self.done = threading.Event()

    def on_receive(self, message):
        if message == "request":
            self.borrower.admit("acme")
        else:
            self.borrower.apply(message.loans)
            self._spend()
        demands = self.borrower.demands()
        if demands is not None:
            self.send(demands)

    def _spend(self):
        admission = self.borrower.admit("acme", again=True)
        while self.wanted and admission is Admission.ADMITTED:
            self.wanted -= 1
            admission = self.borrower.admit("acme", again=True)
        if not self.wanted:
            self.done.set()


class Member:
    """The limits of one node with a real gRPC server."""

    def __init__(self, case, name, store, peers, view):
        self.server = RpcServer("127.0.0.1:0", TOKEN)
        channels = Channels(TOKEN)
        settings = SimpleNamespace(name=name, rpc=f"127.0.0.1:{self.server.port}")
        clock = SystemClock()
        self.part = build_limits(
            Application(),
            settings,
            clock,
            self.server,
            channels,
            store,
            lambda: tuple(peer for peer in peers if peer.name != name),
        )
        peers.append(Peer(name, "dc1", settings.rpc))
        borrower = Borrower(name, clock)
        borrower.set_view(view)
        self.traffic = Traffic.start(borrower, self.part.send, 3)
        self.done = self.traffic.proxy().done.get()
        self.part.connect(self.traffic)
        self.part.set_view(view)
        self.server.start()
        self.part.start()
        case.addCleanup(self.traffic.stop)
        case.addCleanup(channels.stop)
        case.addCleanup(self.server.stop)
        case.addCleanup(self.part.stop)

    def spend(self):
        """Ask until the wanted requests are admitted; return whether they were."""
        for _ in range(int(PATIENCE_S / 0.1)):
            self.traffic.tell("request")
            if self.done.wait(0.1):
                return True
        return False


class PartTests(testtools.TestCase):
    def test_nodes_borrow_over_grpc_and_shards_move_on_drain(self):
        store, peers = ThreadedStore(), []
        view = create_view(rate=100.0, burst=50.0, shards=1)
        members = [Member(self, f"n{index}", store, peers, view) for index in range(3)]
        for member in members:
            self.assertTrue(member.spend())
        self.assertIn("limits/leases/0", store.entries)
        for member in members[:2]:
            del peers[0]
            member.part.drain()
        members[2].traffic.proxy().wanted = 3
        members[2].done.clear()
        self.assertTrue(members[2].spend())
