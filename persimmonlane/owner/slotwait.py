"""Wait of an admitted request for a slot of the local backend server."""

from ..serving.shutdown import NodeShutdown
from .calls import build_not_run_refusal

MIN_TIME_LEFT_S = 0.02
POLL_INTERVAL_S = 0.25


def await_slot(ticket, wakeup, caller, clock):
    """Wait until a request has been granted a slot.

    Args:
        ticket: The `Ticket` of the request.
        wakeup: The `PollableEvent` that the ticket sets.
        caller: The `CallerWatch` of the caller's connection.
        clock: Clock in seconds.

    Raises:
        Refusal: Not run, if it gets no slot in time.
        CallerDisconnected: If the caller disconnected.
    """
    while ticket.granted_at is None:
        if ticket.refusal is not None:
            raise ticket.refusal
        time_left_s = ticket.deadline - clock.now()
        if time_left_s <= MIN_TIME_LEFT_S:
            raise build_not_run_refusal(
                "deadline-passed", "no slot became free in time"
            )
        wait_left_s = ticket.wait_deadline - clock.now()
        if wait_left_s <= 0:
            raise build_not_run_refusal(
                "server-busy", "no slot became free soon enough"
            )
        try:
            caller.wait(wakeup, min(wait_left_s, POLL_INTERVAL_S))
        except NodeShutdown as error:
            raise build_not_run_refusal("server-leaving", "the node ends") from error
    if ticket.deadline - clock.now() <= MIN_TIME_LEFT_S:
        raise build_not_run_refusal("deadline-passed", "no time is left")
