"""persimmon-replay.

Replays a recorded trace and compares the decisions with those that it states.
"""

from ..application import EXIT_FAILED, EXIT_OK
from ..traces.files import read_trace
from ..traces.replay import replay_trace
from .common import create_program, run_program

program = create_program(
    "persimmon-replay",
    "Replay a trace; exit code 1 at the first difference or broken invariant.",
)


@program.default
def replay(trace: str, *, partial: bool = False):
    """Replay a trace and print the first difference.

    Args:
        trace: File with the trace.
        partial: Take the whole lines of a trace without an end, as a node leaves it
            that was killed.
    """
    read = read_trace(trace, partial)
    difference = replay_trace(read)
    if difference is not None:
        print(f"{trace}: {difference}")
        return EXIT_FAILED
    print(f"{trace}: {len(read.events)} events as stated")
    return EXIT_OK


def main(arguments=None):
    """Run the program and exit."""
    run_program(program, arguments)
