"""persimmonctl.

Commands for operators: explain a request from the nodes' logs, show evacuations,
validate a document.
"""

import sys

from ..application import EXIT_FAILED, EXIT_OK
from ..errors import InputError
from ..explaining.evacuations import find_reports, render_reports
from ..explaining.reading import find_request, render_explanation
from ..platform.documents import decode_document
from .common import create_program, run_program

program = create_program(
    "persimmonctl",
    "Explain a request or show evacuations from the nodes' logs, or validate a "
    "document.",
)


@program.command
def explain(request_id: str, *logs: str):
    """Print the nodes' decisions on a request in order, and the cause of its outcome.

    Args:
        request_id: Identifier of the request.
        logs: Log files of the nodes.
    """
    if not logs:
        raise InputError("at least one log file is required", code="source-missing")
    found = find_request(request_id, logs)
    if not found.lines:
        print(f"no line is about {request_id}", file=sys.stderr)
        return EXIT_FAILED
    sys.stdout.write(render_explanation(found))
    return EXIT_OK


@program.command
def evacuations(*logs: str):
    """Print which data centres are evacuated, since when, and what still runs there.

    Args:
        logs: Log files of the nodes.
    """
    if not logs:
        raise InputError("at least one log file is required", code="source-missing")
    latest = find_reports(logs)
    if not latest:
        print("no line reports evacuations", file=sys.stderr)
        return EXIT_FAILED
    sys.stdout.write(render_reports(latest))
    return EXIT_OK


@program.command
def check(document: str, *, region: tuple[str, ...] = ()):
    """Validate a document as a node does before it applies it.

    Args:
        document: Path of the file with the document.
        region: Name of a region that the nodes' settings know; repeat it for each of
            them. Other regions in the document are then reported.
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
    unknown = [name for name in rulebook.list_allowed_regions() if name not in region]
    if not region or not unknown:
        return EXIT_OK
    names = ", ".join(unknown)
    print(f"[region-unknown] at {document}: {names}", file=sys.stderr)
    return EXIT_FAILED


def main(arguments=None):
    """Run the program and exit."""
    run_program(program, arguments)


if __name__ == "__main__":
    main()
