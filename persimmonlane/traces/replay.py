"""Replay.

Feeds the events of a trace to decision classes on the trace's own clock and
compares their answers with those that the trace states.
"""

from ..clocks import ManualClock
from . import players
from .files import TraceError


class Difference:
    """The first point at which an answer differs from the stated one.

    Attributes:
        number: Number of the line.
        event: The event.
        faults: The `players.Fault`s.
    """

    __slots__ = ("number", "event", "faults")

    def __init__(self, number, event, faults):
        self.number = number
        self.event = event
        self.faults = faults

    def __str__(self):
        name = self.event.__struct_config__.tag
        lines = [
            f"line {self.number}, {self.event.at:.3f} s, {self.event.on}: {name}",
            f"  {self.event!r}",
        ]
        for fault in self.faults:
            lines.append(f"  {fault.what}")
            lines.append(f"  - stated: {fault.stated}")
            lines.append(f"  + found:  {fault.found}")
        return "\n".join(lines)


class Replayer:
    """Replays one trace.

    Attributes:
        clock: The trace's clock.
    """

    __slots__ = ("clock", "_players")

    def __init__(self):
        self.clock = ManualClock()
        self._players = {}

    def replay(self, trace):
        """Return the first `Difference`, or None.

        Raises:
            TraceError: With code `trace-instance` if an event is for an instance
                that was not opened, or that takes no such event.
        """
        for numbered in trace.events:
            faults = self._feed(numbered)
            if faults:
                return Difference(numbered.number, numbered.event, faults)
        return None

    def _feed(self, numbered):
        event = numbered.event
        self.clock.seconds = max(self.clock.seconds, event.at)
        opened = players.find_player(type(event))
        if opened is not None:
            self._players[event.on] = opened(event, self.clock, self._players)
            return []
        player = self._players.get(event.on)
        method = player and player.handlers.get(type(event))
        if method is None:
            raise TraceError(
                f"{event.on!r} takes no {event.__struct_config__.tag}",
                code="trace-instance",
                place=f"line {numbered.number}",
            )
        return player.feed(method, event)


def replay_trace(trace):
    """Return the first `Difference` of a trace, or None."""
    return Replayer().replay(trace)
