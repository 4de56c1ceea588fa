"""persimmon-replay.

Replays a recorded trace and compares the decisions with those that it states.
"""

import sys

import cyclopts

from .. import __version__
from ..application import EXIT_FAILED, EXIT_INPUT, EXIT_OK
from ..errors import PersimmonError
from ..invariants import InvariantError
from ..traces.files import read_trace
from ..traces.replay import replay_trace

app = cyclopts.App(
    name="persimmon-replay",
    version=__version__,
    help=(
        "Replay a trace. Exit status: 0 all as stated, 1 a difference or a broken "
        "invariant, 2 bad input."
    ),
)


@app.default
def replay(trace: str):
    """Replay a trace and print the first difference.

    Args:
        trace: File with the trace.
    """
    read = read_trace(trace)
    difference = replay_trace(read)
    if difference is not None:
        print(f"{trace}: {difference}")
        return EXIT_FAILED
    print(f"{trace}: {len(read.events)} events as stated")
    return EXIT_OK


def main(arguments=None):
    """Run the program and exit."""
    try:
        status = app(arguments, result_action="return_value")
    except InvariantError as error:
        print(f"persimmon-replay: {error}", file=sys.stderr)
        status = EXIT_FAILED
    except PersimmonError as error:
        print(f"persimmon-replay: {error}", file=sys.stderr)
        status = EXIT_INPUT
    sys.exit(status or EXIT_OK)
