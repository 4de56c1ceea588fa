import contextlib
import socket
import threading

import grpc
import testtools

from persimmonlane.membership import membership_pb2, membership_pb2_grpc
from persimmonlane.rpc import Channels, RpcServer

TOKEN = "a-token-for-these-tests"
CALL_TIMEOUT_S = 1.0
CALLS_UNTIL_NEW_CONNECTION = 8


class Servicer(membership_pb2_grpc.MembershipServicer):
    def Exchange(self, request, context):  # noqa: N802
        return membership_pb2.ExchangeReply()


class SilencingRelay:
    """Passes connections on, and can lose track of those that are open."""

    def __init__(self, port):
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._silent = set()
        self._connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def silence(self):
        self._silent.update(self._connections)

    def close(self):
        self._listener.close()
        for number in self._connections:
            for end in number:
                end.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(("127.0.0.1", self._port))
                pair = (near, far)
                self._connections.append(pair)
                for ends in (pair, pair[::-1]):
                    thread = threading.Thread(
                        target=self._carry, args=(pair, *ends), daemon=True
                    )
                    thread.start()

    def _carry(self, pair, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if pair not in self._silent:
                    sink.sendall(data)


class SilentConnectionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        server = RpcServer("127.0.0.1:0", TOKEN)
        membership_pb2_grpc.add_MembershipServicer_to_server(Servicer(), server.server)
        server.start()
        self.addCleanup(server.stop)
        self.relay = SilencingRelay(server.port)
        self.addCleanup(self.relay.close)
        self.channels = Channels(TOKEN)
        self.addCleanup(self.channels.stop)

    def call(self):
        channel = self.channels.get_channel(self.relay.address)
        stub = membership_pb2_grpc.MembershipStub(channel)
        try:
            stub.Exchange(
                membership_pb2.ExchangeRequest(),
                timeout=CALL_TIMEOUT_S,
                metadata=self.channels.metadata,
            )
        except grpc.RpcError:
            return False
        return True

    def test_silent_connection_is_replaced(self):
        self.assertTrue(self.call())
        self.relay.silence()
        answers = [self.call() for _ in range(CALLS_UNTIL_NEW_CONNECTION)]
        self.assertFalse(answers[0])
        self.assertTrue(answers[-1], answers)
