import socket
import threading

import pykka
import testtools
from cheroot import wsgi

from persimmonlane.application import Application
from persimmonlane.clocks import SystemClock
from persimmonlane.membership.messages import (
    LoadReported,
    PeersChanged,
    ServersChanged,
)
from persimmonlane.membership.part import build_membership
from persimmonlane.rpc import Channels, RpcServer
from persimmonlane.settings import HostedServer, NodeSettings

TOKEN = "a-token-for-these-tests"
WAIT_S = 20.0


def find_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Events:
    def __init__(self):
        self.listed = threading.Event()
        self.emptied = threading.Event()
        self.met = threading.Event()
        self.loaded = threading.Event()


class Subscriber(pykka.ThreadingActor):
    use_daemon_thread = True

    def __init__(self, events):
        super().__init__()
        self.events = events

    def on_receive(self, message):
        if isinstance(message, LoadReported) and message.running == 3:
            self.events.loaded.set()
        if isinstance(message, PeersChanged) and message.peers:
            self.events.met.set()
        if not isinstance(message, ServersChanged):
            return
        if message.servers:
            self.events.listed.set()
        elif self.events.listed.is_set():
            self.events.emptied.set()


def answer_health(environ, start_response):
    start_response("200 OK", [("Content-Type", "application/json")])
    return [b'{"state": "serving", "running": 3, "waiting": 0, "slots": 4}']


class PartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.backend = wsgi.Server(("127.0.0.1", 0), answer_health, numthreads=2)
        self.backend.prepare()
        thread = threading.Thread(target=self.backend.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.backend.stop)
        self.seed = find_address()

    def start_node(self, name, rpc, servers=()):
        settings = NodeSettings(
            name=name,
            data_centre="dc0",
            rpc=rpc,
            store="127.0.0.1:1",
            fleet_token=TOKEN,
            seeds=(self.seed,),
            servers=servers,
        )
        application = Application()
        rpc_server = application.add(RpcServer(rpc, TOKEN))
        channels = application.add(Channels(TOKEN))
        part = build_membership(
            application, settings, SystemClock(), rpc_server, channels
        )
        application.start()
        self.addCleanup(application.stop)
        events = Events()
        subscriber = Subscriber.start(events)
        self.addCleanup(subscriber.stop)
        part.subscribe(subscriber)
        return part, events

    def test_announced_and_leaving(self):
        address = f"127.0.0.1:{self.backend.bind_addr[1]}"
        part, events = self.start_node("n0", self.seed)
        hosted = (HostedServer(address=address, service="prices"),)
        other, _ = self.start_node("n1", find_address(), hosted)
        self.assertTrue(events.listed.wait(WAIT_S))
        self.assertTrue(events.loaded.wait(WAIT_S))
        self.assertEqual([address], [server.address for server in part.servers()])
        self.assertEqual(["n1"], [peer.name for peer in part.peers()])
        other.announce_leaving()
        self.assertTrue(events.emptied.wait(WAIT_S))

    def test_nodes_without_backend_servers_meet(self):
        part, events = self.start_node("n0", self.seed)
        self.start_node("n1", find_address())
        self.assertTrue(events.met.wait(WAIT_S))
        self.assertEqual(["n1"], [peer.name for peer in part.peers()])
