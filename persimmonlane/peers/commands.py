"""Messages for the `Gossip` actor from the other parts of the node."""

from .messages import RateResponse
from .peer import MEMBER_TIMEOUT_S

# Other nodes that have to remember a departure.
MIN_RECEIPTS = 2


class PeerStarted:
    """The first announcement from a process of a `Peer` was received."""

    __slots__ = ("peer",)

    def __init__(self, peer):
        self.peer = peer


class UnknownPeerHeard:
    """A `Delta` was received from a process that has not announced itself.

    Attributes:
        sender: Address of the sender, as host and port.
    """

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender


class RegisteredNode:
    """A node that is registered in the store.

    Attributes:
        name: Name of the node.
        address: Address for requests from other nodes.
        data_centre: Name of its data centre, empty if it is not registered.
        member_s: Seconds for which it counts as a member of the fleet even if it is not
            heard of.
    """

    __slots__ = ("name", "address", "data_centre", "member_s")

    def __init__(self, name, address, data_centre="", member_s=MEMBER_TIMEOUT_S):
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.member_s = member_s


class NodesRegistered:
    """The `RegisteredNode`s in the store."""

    __slots__ = ("nodes",)

    def __init__(self, nodes):
        self.nodes = nodes


class DigestReceived:
    """A `Digest` that asks for an answer was received.

    Attributes:
        host: Host of the sender.
        unknown: Boot numbers of the nodes that it names and this one does not know.
        is_first: Whether it is the first one from a process of another data centre.
    """

    __slots__ = ("host", "unknown", "is_first")

    def __init__(self, host, unknown, is_first):
        self.host = host
        self.unknown = unknown
        self.is_first = is_first


class PendingMemberQuery:
    """A `MemberQuery` that waits for responses.

    Attributes:
        host: Host of the node that was asked.
        sent_at: Clock seconds at which it was sent.
    """

    __slots__ = ("host", "sent_at")

    def __init__(self, host, sent_at):
        self.host = host
        self.sent_at = sent_at


class FreshnessConfirmed:
    """The document in force was confirmed as the newest at a time in seconds."""

    __slots__ = ("at",)

    def __init__(self, at):
        self.at = at


class RateCheck:
    """Checks a request against the rate of its organisation.

    Attributes:
        organisation: The `Organisation`.
        reply: Future for the seconds to wait, 0 or less if the request is within the
            rate.
        asked_node: Name of the node that is asked, empty before it is chosen.
    """

    __slots__ = ("organisation", "reply", "asked_node")

    def __init__(self, organisation, reply, asked_node=""):
        self.organisation = organisation
        self.reply = reply
        self.asked_node = asked_node


class LocalRateCheck:
    """Checks a request against this node's share, as the rate's holder did not answer.

    Attributes:
        organisation: The `Organisation`.
        reply: Future for the seconds to wait, 0 or less if the request is within the
            share.
    """

    __slots__ = ("organisation", "reply")

    def __init__(self, organisation, reply):
        self.organisation = organisation
        self.reply = reply


class RemoteReply:
    """Sends the result of a `RateRequest` back to the node that sent it.

    It takes the place of the future in a `RateCheck` if the request is relayed.
    """

    __slots__ = ("_transport", "_sender", "_correlation_id")

    def __init__(self, transport, sender, correlation_id):
        self._transport = transport
        self._sender = sender
        self._correlation_id = correlation_id

    def set(self, wait_s):
        """Send the seconds to wait; the request is granted if there are none."""
        response = RateResponse(self._correlation_id, wait_s <= 0.0, wait_s)
        self._transport.send(self._sender, response)


class CapacityCheck:
    """Asks another node whether its backend server has capacity for a request.

    Attributes:
        address: Address of the node.
        order: The `Order` that would be sent with the request.
        reply: Future for the `OwnerReport`.
    """

    __slots__ = ("address", "order", "reply")

    def __init__(self, address, order, reply):
        self.address = address
        self.order = order
        self.reply = reply


class CancellationCommand:
    """Asks an owner to cancel a request before it reaches its backend server.

    Attributes:
        address: Address of the owner.
        boot: Boot number of the process to which the request was sent.
        request_id: Identifier of the request.
        time_left_s: Seconds until its deadline.
        reply: Future for whether the request is certain never to run there.
    """

    __slots__ = ("address", "boot", "request_id", "time_left_s", "reply")

    def __init__(self, address, boot, request_id, time_left_s, reply):
        self.address = address
        self.boot = boot
        self.request_id = request_id
        self.time_left_s = time_left_s
        self.reply = reply


class PendingLoan:
    """A `LoanRequest` of this node that waits for the response.

    Attributes:
        organisation: The `Organisation`.
        sequence: Number of the request.
        sent_at: Clock seconds at which it was sent.
    """

    __slots__ = ("organisation", "sequence", "sent_at")

    def __init__(self, organisation, sequence, sent_at):
        self.organisation = organisation
        self.sequence = sequence
        self.sent_at = sent_at


class RelayedLoan:
    """A `LoanRequest` of another node that was passed on.

    Attributes:
        sender: Address of the node that sent it, as host and port.
        correlation_id: Number from its request.
    """

    __slots__ = ("sender", "correlation_id")

    def __init__(self, sender, correlation_id):
        self.sender = sender
        self.correlation_id = correlation_id


class CrashesLearned:
    """This node has learned of crashes, or that requests are harmless.

    Attributes:
        entries: The `LedgerEntry`s.
        is_forwarded: Whether they come from another data centre, so that only the
            nodes of this one are to be told.
    """

    __slots__ = ("entries", "is_forwarded")

    def __init__(self, entries, is_forwarded=False):
        self.entries = entries
        self.is_forwarded = is_forwarded


class DepartureCheck:
    """Asks other nodes to remember departures of backend servers.

    Attributes:
        departures: The `Departure`s, which name their processes.
        reply: Future for whether enough nodes remember them.
    """

    __slots__ = ("departures", "reply")

    def __init__(self, departures, reply):
        self.departures = departures
        self.reply = reply


class PendingDepartureReport:
    """A `DepartureReport` that waits for receipts.

    Attributes:
        near: Hosts in this data centre that were asked.
        far: Hosts in other data centres that were asked.
        receipts: Hosts that have answered.
        reply: Future for whether enough nodes remember the departures.
    """

    __slots__ = ("near", "far", "receipts", "reply")

    def __init__(self, near, far, reply):
        self.near = near
        self.far = far
        self.receipts = set()
        self.reply = reply

    def has_enough(self):
        """Return whether the departures outlive the loss of one more node.

        Where there are other data centres, they outlive the loss of this one, too.
        """
        asked = self.near | self.far
        enough = min(MIN_RECEIPTS, len(asked))
        return len(self.receipts) >= enough and (
            not self.far or bool(self.receipts & self.far)
        )


class RetryCheck:
    """Asks for a retry token of a service, or only reports the requests to it.

    Attributes:
        service: Name of the service.
        requests: Requests to it that this node has got since its start.
        reply: Future for whether there is a token, or None if none is wanted.
    """

    __slots__ = ("service", "requests", "reply")

    def __init__(self, service, requests, reply=None):
        self.service = service
        self.requests = requests
        self.reply = reply
