"""Evidence exchange.

Carries evidence between the nodes of a data centre.
"""

import logging
import random
import threading

import grpc
import msgspec
import pykka

from ..actors import tell
from ..application import Part
from . import ejection_pb2, ejection_pb2_grpc
from .evidence import decode_evidence, encode_evidence
from .messages import EvidenceArrived, EvidenceWanted

log = logging.getLogger("persimmonlane.ejection")

POLL_S = 0.25
ASK_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 1.0
SENDING_LIMIT = 256
RECEIVERS_LIMIT = 16


class EvidenceServicer(ejection_pb2_grpc.EvidenceExchangeServicer):
    """Takes evidence of other nodes."""

    def __init__(self, part):
        self._part = part

    def Report(self, request, context):  # noqa: N802
        """Hand evidence to the traffic actor."""
        self._part.receive(request)
        return ejection_pb2.EvidenceReceipt()


class EvidenceExchangePart(Part):
    """Sends the evidence that is due to the other nodes of the data centre."""

    name = "evidence"

    def __init__(self, settings, channels, peers):
        self._settings = settings
        self._channels = channels
        self._peers = peers
        self._traffic = None
        self._rng = random.Random()
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._sending = threading.Semaphore(SENDING_LIMIT)

    def connect(self, traffic):
        """Take the traffic actor that owns the ejectors."""
        self._traffic = traffic

    def start(self):
        """Begin to exchange evidence."""
        self._thread.start()

    def stop(self):
        """End the exchange."""
        self._ended.set()
        if self._thread.ident is not None:
            self._thread.join()

    def receive(self, report):
        """Hand on a report of another node; what can't be read is skipped."""
        if report.data_centre != self._settings.data_centre or self._traffic is None:
            return
        evidence = tuple(decode_services(report))
        if evidence:
            self._tell(EvidenceArrived(report.node, evidence))

    def exchange(self):
        """Send what is due now."""
        if self._traffic is None:
            return
        due = self._traffic.ask(EvidenceWanted(), timeout=ASK_TIMEOUT_S)
        if not due:
            return
        report = ejection_pb2.EvidenceReport(
            node=self._settings.name,
            data_centre=self._settings.data_centre,
            services=[encode_evidence(evidence) for evidence in due],
        )
        for peer in choose_receivers(self._peers(), self._settings, self._rng):
            self._send(peer, report)

    def _run(self):
        while not self._ended.wait(POLL_S):
            try:
                self.exchange()
            except pykka.ActorDeadError:
                return
            except pykka.Timeout:
                log.warning("Ejection: the traffic actor gave no evidence in time.")

    def _send(self, peer, report):
        if not self._sending.acquire(blocking=False):
            return
        channel = self._channels.get_channel(peer.rpc)
        stub = ejection_pb2_grpc.EvidenceExchangeStub(channel)
        call = stub.Report.future(
            report, timeout=SEND_TIMEOUT_S, metadata=self._channels.metadata
        )
        call.add_done_callback(self._finish)

    def _finish(self, call):
        self._sending.release()
        if call.code() is not grpc.StatusCode.OK:
            log.debug("Ejection: evidence was not taken: %s.", call.code())

    def _tell(self, message):
        if not tell(self._traffic, message):
            log.debug("Ejection: evidence came after the traffic actor's end.")


def choose_receivers(peers, settings, rng):
    """Return the peers that get a report.

    In a large data centre these are a few at random each time: sums are cumulative, so
    a peer that is left out loses nothing but time.

    Args:
        peers: All peers.
        settings: The `NodeSettings`.
        rng: A `random.Random`.
    """
    near = [p for p in peers if p.ingress and p.data_centre == settings.data_centre]
    if len(near) <= RECEIVERS_LIMIT:
        return near
    return rng.sample(near, RECEIVERS_LIMIT)


def decode_services(report):
    """Yield the evidence of a report that this version can read."""
    for data in report.services:
        try:
            yield decode_evidence(data)
        except msgspec.DecodeError:
            log.debug("Ejection: skipped evidence of another version.")


def build_evidence_exchange(application, settings, clock, rpc_server, channels, peers):
    """Add the exchange of evidence to an application.

    Args:
        application: The `Application`.
        settings: The `NodeSettings`.
        clock: Clock in monotonic seconds.
        rpc_server: The `RpcServer`.
        channels: The `Channels`.
        peers: Callable that returns a tuple of `Peer`.
    """
    part = EvidenceExchangePart(settings, channels, peers)
    ejection_pb2_grpc.add_EvidenceExchangeServicer_to_server(
        EvidenceServicer(part), rpc_server.server
    )
    return application.add(part)
