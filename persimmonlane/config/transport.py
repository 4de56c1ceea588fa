"""Transport.

Calls to and from other nodes that spread the document.
"""

import grpc

from ..errors import PersimmonError
from ..store.client import Entry
from . import config_pb2 as messages
from . import config_pb2_grpc as services
from .loading import Snapshot
from .parts import PartMissing
from .root import (
    ROOT_KEY,
    compute_document_digest,
    compute_part_digest,
    encode,
    read_root,
)
from .shelf import NodeStatus
from .wire import MS_PER_S, decode_age, decode_report, encode_age, encode_report

EXCHANGE_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 1.0
PARTS_PER_CALL = 128
REPLY_BYTES = 2 * 1024 * 1024


class PeerUnreachable(PersimmonError):
    """Another node did not answer."""

    code = "peer-unreachable"


class SpreadClient:
    """Calls other nodes."""

    __slots__ = ("_channels",)

    def __init__(self, channels):
        self._channels = channels

    def exchange(self, address, report):
        """Send a report to a node and return its own."""
        request = encode_report(report)
        reply = self._call(address, "Exchange", request, EXCHANGE_TIMEOUT_S)
        return decode_report(reply)

    def fetch_snapshot(self, address, held):
        """Return the revision in force at a node.

        Args:
            address: RPC address of the node.
            held: Contents by digest that need no fetching.

        Raises:
            PeerUnreachable: If the node does not answer.
            PartMissing: If it has no whole revision.
        """
        reply = self._call(address, "FetchRoot", messages.RootRequest())
        if not reply.root:
            raise PartMissing("the peer has no revision in force")
        root = read_root(Entry(ROOT_KEY, reply.root, 1))
        if compute_document_digest(root.parts) != root.digest:
            raise PartMissing("the peer's root does not match its digest")
        contents = {ref.digest: held.get(ref.digest) for ref in root.parts}
        missing = [digest for digest, content in contents.items() if content is None]
        while missing:
            found = self._fetch_parts(address, missing[:PARTS_PER_CALL])
            contents.update(found)
            missing = [digest for digest in missing if digest not in found]
        return Snapshot(root, contents)

    def get_status(self, address):
        """Return the `NodeStatus` of a node."""
        request = messages.StatusRequest()
        reply = self._call(address, "GetStatus", request, STATUS_TIMEOUT_S)
        return NodeStatus(
            reply.node,
            reply.data_centre,
            reply.revision,
            reply.digest,
            reply.lag_ms / MS_PER_S,
            decode_age(reply, "store_age_ms"),
            reply.isolated,
            reply.relay,
        )

    def _fetch_parts(self, address, digests):
        request = messages.PartsRequest(digests=digests)
        reply = self._call(address, "FetchParts", request)
        found = {compute_part_digest(content): content for content in reply.contents}
        wanted = {digest: found[digest] for digest in digests if digest in found}
        if not wanted:
            raise PartMissing("the peer no longer has the parts")
        return wanted

    def _call(self, address, method, request, timeout_s=FETCH_TIMEOUT_S):
        try:
            channel = self._channels.get_channel(address)
            call = getattr(services.SpreadStub(channel), method)
            return call(request, timeout=timeout_s, metadata=self._channels.metadata)
        except (grpc.RpcError, ValueError) as error:
            raise PeerUnreachable(f"no answer from {address}") from error


class SpreadServicer(services.SpreadServicer):
    """Answers other nodes."""

    def __init__(self, shelf, receive):
        """Create the servicer.

        Args:
            shelf: The `Shelf` with the revision in force.
            receive: Takes a peer's report and returns this node's.
        """
        self._shelf = shelf
        self._receive = receive

    def Exchange(self, request, context):  # noqa: N802
        """Take a peer's report and return this node's."""
        report = self._receive(decode_report(request))
        if report is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "the node is stopping")
        return encode_report(report)

    def FetchRoot(self, request, context):  # noqa: N802
        """Return the root in force."""
        root = self._shelf.snapshot.root
        return messages.RootReply(root=encode(root) if root.revision else b"")

    def FetchParts(self, request, context):  # noqa: N802
        """Return parts in force, as many as fit."""
        contents = self._shelf.snapshot.contents
        reply = messages.PartsReply()
        size = 0
        for digest in request.digests:
            content = contents.get(digest)
            if content is None:
                continue
            size += len(content)
            if size > REPLY_BYTES and reply.contents:
                break
            reply.contents.append(content)
        return reply

    def GetStatus(self, request, context):  # noqa: N802
        """Return the node's status."""
        status = self._shelf.status
        if status is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "the node is starting")
        return messages.StatusReply(
            node=status.node,
            data_centre=status.data_centre,
            revision=status.revision,
            digest=status.digest,
            lag_ms=encode_age(status.lag_s),
            store_age_ms=encode_age(status.store_age_s),
            isolated=status.isolated,
            relay=status.relay,
        )
