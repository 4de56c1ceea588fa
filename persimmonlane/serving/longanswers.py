"""Requests whose answers have lately been long.

None is dispatched while its answer would have no room: it would take a slot from
others, and its answer could be lost.
"""

from .answers import build_memory_refusal
from .memory import UNRESERVED_BYTES

# After this long, a request may be sent again to see how long its answer is.
MEMORY_S = 10.0
# Of a route and an organisation; the oldest ones are forgotten.
MAX_PAIRS = 4096


class LongAnswers:
    """The routes and organisations whose answers need room; thread-safe.

    Each method makes single changes and look-ups in a dict. It holds no others.
    """

    __slots__ = ("_clock", "_room", "_until")

    def __init__(self, clock, room):
        """Create the record.

        Args:
            clock: Clock in seconds.
            room: The `RoomWaiter`.
        """
        self._clock = clock
        self._room = room
        # Clock seconds by name of route and organisation.
        self._until = {}

    def note(self, route, organisation, size):
        """Note that a request was answered.

        Args:
            route: Name of its route.
            organisation: Name of its organisation, empty without one.
            size: Size in bytes of the body of the answer.
        """
        if size <= UNRESERVED_BYTES:
            return
        self._until[route, organisation] = self._clock.now() + MEMORY_S
        while len(self._until) > MAX_PAIRS:
            self._until.pop(next(iter(self._until)), None)

    def check(self, route, organisation):
        """Refuse a request whose answer could have no room.

        Args:
            route: Name of its route.
            organisation: Name of its organisation, empty without one.

        Raises:
            Refusal: Not run, with code `memory-full`, while answers wait for room.
        """
        if self._is_long(route, organisation) and self._room.is_crowded():
            raise build_memory_refusal()

    def _is_long(self, route, organisation):
        until = self._until.get((route, organisation))
        if until is None:
            return False
        if until < self._clock.now():
            self._until.pop((route, organisation), None)
            return False
        return True
