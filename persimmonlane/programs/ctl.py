"""persimmonctl.

Helps operators: explains a request from the nodes' logs, checks a document.
"""

import sys

from ..application import EXIT_FAILED, EXIT_OK
from ..errors import InputError
from ..explaining.reading import find_request, render_explanation
from ..platform.documents import decode_document
from .common import create_program, run_program

program = create_program(
    "persimmonctl", "Explain a request from the nodes' logs, or check a document."
)


@program.command
def explain(request_id: str, *logs: str):
    """Print what the nodes decided on a request, in order, and the cause.

    Args:
        request_id: Identifier of the request.
        logs: Files with the log lines of the nodes.
    """
    if not logs:
        raise InputError("give a file", code="source-missing")
    found = find_request(request_id, logs)
    if not found.lines:
        print(f"no line is about {request_id}", file=sys.stderr)
        return EXIT_FAILED
    sys.stdout.write(render_explanation(found))
    return EXIT_OK


@program.command
def check(document: str):
    """Check a document as a node does before it comes into force.

    Args:
        document: File that holds it.
    """
    try:
        with open(document, "rb") as file:
            rulebook = decode_document(file.read())
    except OSError as error:
        raise InputError(
            f"the file can't be read: {error.strerror}",
            code="document-unreadable",
            place=document,
        ) from error
    print(f"version {rulebook.version} is valid")
    return EXIT_OK


def main(arguments=None):
    """Run the program and exit."""
    run_program(program, arguments)


if __name__ == "__main__":
    main()
