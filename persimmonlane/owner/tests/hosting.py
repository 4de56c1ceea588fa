"""Backend servers as nodes see them that have run for longer."""

from ...clocks import ManualClock
from ..backend import MAX_CLOCK_STEP_S, HostedServer

ADDRESS = "10.0.0.1:80"
SERVICE = "prices"
HEARTBEAT_S = 60.0
WALL_S = 1e9


def build_hosted(clock, address=ADDRESS, heartbeat_s=HEARTBEAT_S, wall_s=WALL_S):
    """Return the `HostedServer` of a node that started before all its processes."""
    wall_clock = ManualClock(-2 * MAX_CLOCK_STEP_S)
    hosted = HostedServer(address, SERVICE, heartbeat_s, clock, wall_clock)
    wall_clock.seconds = wall_s
    return hosted
