"""Order in which waiting requests get the slots of a backend server.

By default by priority, then by arrival. Where overload is in force, the organisations
of one priority share the slots fairly: start-time fair queueing, in which a request
costs its expected processing time. A heavy sender waits behind its own requests only.
"""

import collections
import heapq
import itertools
import math

# Time over which the use of slots is averaged.
USAGE_S = 5.0
# An organisation with as many waiting requests counts as one that sends more than its
# share of the slots; lighter ones that send later then go first.
MIN_QUEUED = 3


class ArrivalOrder:
    """Waiting `Ticket`s by priority, then by arrival; not thread-safe."""

    __slots__ = ("_heap", "_sequence")

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    def __len__(self):
        return len(self._heap)

    def push(self, ticket):
        """Add a ticket."""
        heapq.heappush(self._heap, (ticket.priority, next(self._sequence), ticket))

    def peek(self):
        """Return the ticket that comes next."""
        return self._heap[0][2]

    def pop(self):
        """Remove and return the ticket that comes next."""
        return heapq.heappop(self._heap)[2]

    def remove(self, ticket):
        """Remove a ticket if it waits."""
        self._heap = [entry for entry in self._heap if entry[2] is not ticket]
        heapq.heapify(self._heap)

    def list_ahead(self, priority, organisation=""):
        """Return the tickets that go before a new one.

        Args:
            priority: Priority of the new one.
            organisation: Name of its organisation, which does not matter here.
        """
        return [entry[2] for entry in self._heap if entry[0] <= priority]

    def estimate_others(self, priority, organisation):
        """Return 0: requests that arrive later do not go first."""
        return 0.0

    def note_grant(self, ticket):
        """Note that a ticket has got a slot."""


class Usage:
    """Slots that requests have used lately, averaged with exponential weights."""

    __slots__ = ("_work_s", "_at")

    def __init__(self):
        self._work_s = 0.0
        self._at = 0.0

    def add(self, work_s, now):
        """Add the expected processing time of a request, in seconds."""
        self._work_s = self.get_rate(now) * USAGE_S + work_s
        self._at = now

    def get_rate(self, now):
        """Return the mean number of slots in use."""
        return self._work_s * math.exp((self._at - now) / USAGE_S) / USAGE_S


class Flow:
    """The requests of one organisation in one priority.

    Attributes:
        tickets: Its waiting `Ticket`s by arrival.
        started: Virtual time at which the first of them starts, in seconds.
        usage: The `Usage` of slots by its requests.
    """

    __slots__ = ("tickets", "started", "usage")

    def __init__(self, started):
        self.tickets = collections.deque()
        self.started = started
        self.usage = Usage()


class FairOrder:
    """Waiting `Ticket`s by priority, then fairly by organisation; not thread-safe.

    Organisations without a waiting request are forgotten once they are owed nothing
    less than a new one, so that the state grows with those that have requests here.
    """

    __slots__ = ("_clock", "_flows", "_virtual", "_usage", "_count")

    def __init__(self, clock):
        self._clock = clock
        # Usage by priority.
        self._usage = {}
        # Flows by priority and organisation.
        self._flows = {}
        # Virtual time by priority: the start of the last request that got a slot.
        self._virtual = {}
        self._count = 0

    def __len__(self):
        return self._count

    def push(self, ticket):
        """Add a ticket."""
        self._get_flow(ticket).tickets.append(ticket)
        self._count += 1

    def peek(self):
        """Return the ticket that comes next."""
        return self._find_next().tickets[0]

    def pop(self):
        """Remove and return the ticket that comes next."""
        self._count -= 1
        return self._find_next().tickets.popleft()

    def remove(self, ticket):
        """Remove a ticket if it waits."""
        flow = self._flows.get(ticket.priority, {}).get(ticket.organisation)
        if flow is not None and ticket in flow.tickets:
            flow.tickets.remove(ticket)
            self._count -= 1
            virtual = self._virtual[ticket.priority]
            self._forget(self._flows[ticket.priority], virtual)

    def list_ahead(self, priority, organisation=""):
        """Return the tickets that go before a new one.

        Args:
            priority: Priority of the new one.
            organisation: Name of its organisation.
        """
        ahead = []
        for other, flows in self._flows.items():
            if other < priority:
                for flow in flows.values():
                    ahead.extend(flow.tickets)
        ahead.extend(self._list_ahead_in_turn(priority, organisation))
        return ahead

    def estimate_others(self, priority, organisation):
        """Return how many slots other organisations will use ahead of a new ticket.

        An organisation with several requests in the queue waits for those of lighter
        ones that arrive later, too. They are expected to need what they used lately.

        Args:
            priority: Priority of the new one.
            organisation: Name of its organisation.
        """
        own = self._flows.get(priority, {}).get(organisation)
        if own is None or len(own.tickets) < MIN_QUEUED:
            return 0.0
        now = self._clock.now()
        used = sum(
            usage.get_rate(now) for p, usage in self._usage.items() if p <= priority
        )
        return max(0.0, used - own.usage.get_rate(now))

    def note_grant(self, ticket):
        """Charge a ticket that has got a slot to its organisation."""
        flow = self._get_flow(ticket)
        flows = self._flows[ticket.priority]
        virtual = self._virtual[ticket.priority] = max(
            flow.started, self._virtual[ticket.priority]
        )
        cost = ticket.estimate_cost()
        flow.started = virtual + cost
        now = self._clock.now()
        flow.usage.add(cost, now)
        self._usage.setdefault(ticket.priority, Usage()).add(cost, now)
        if not self._count:
            # Nobody waits, so that the one that is owed most has no claim to more.
            virtual = min(item.started for item in flows.values())
            self._virtual[ticket.priority] = virtual
        self._forget(flows, virtual)

    def _list_ahead_in_turn(self, priority, organisation):
        flows = self._flows.get(priority, {})
        virtual = self._virtual.get(priority, 0.0)
        own = flows.get(organisation)
        own_tickets = own.tickets if own is not None else ()
        start = virtual if own is None else max(virtual, own.started)
        start += sum(ticket.estimate_cost() for ticket in own_tickets)
        ahead = list(own_tickets)
        for name, flow in flows.items():
            if name == organisation:
                continue
            started = max(virtual, flow.started)
            for ticket in flow.tickets:
                if started > start:
                    break
                ahead.append(ticket)
                started += ticket.estimate_cost()
        return ahead

    def _get_flow(self, ticket):
        virtual = self._virtual.setdefault(ticket.priority, 0.0)
        flows = self._flows.setdefault(ticket.priority, {})
        flow = flows.get(ticket.organisation)
        if flow is None:
            flow = flows[ticket.organisation] = Flow(virtual)
        elif not flow.tickets:
            flow.started = max(flow.started, virtual)
        return flow

    def _find_next(self):
        """Return the `Flow` whose first ticket comes next."""
        for priority in sorted(self._flows):
            waiting = [flow for flow in self._flows[priority].values() if flow.tickets]
            if waiting:
                return min(
                    waiting, key=lambda flow: (flow.started, flow.tickets[0].number)
                )
        raise IndexError("no request waits")

    def _forget(self, flows, virtual):
        for name in [
            name
            for name, flow in flows.items()
            if not flow.tickets and flow.started <= virtual
        ]:
            del flows[name]


def create_order(settings, clock):
    """Return the order of waiting requests that the settings ask for.

    Args:
        settings: The `FleetSettings`, or None for their defaults.
        clock: Clock in seconds.
    """
    if settings is not None and settings.has_overload:
        return FairOrder(clock)
    return ArrivalOrder()
