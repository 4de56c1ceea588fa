"""Operators' command.

Validates, publishes and shows the document.
"""

import getpass
import pathlib
import sys
from typing import Annotated

import cyclopts
import msgspec

from .. import __version__
from ..admin.operations import StoreOperations
from ..config.checks import DocumentInvalid, validate
from ..config.publishing import PublishUncertain, RevisionConflict
from ..errors import InputError, PersimmonError
from ..platform import create_client

EXIT_FAILED = 1
EXIT_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4
EXIT_CODES = (
    (RevisionConflict, EXIT_CONFLICT),
    (PublishUncertain, EXIT_UNCERTAIN),
    (InputError, EXIT_INPUT),
    (PersimmonError, EXIT_FAILED),
)

app = cyclopts.App(
    name="persimmonctl",
    version=__version__,
    help="Validate, publish and show the document that is in force.",
)

Store = Annotated[str, cyclopts.Parameter(env_var="PERSIMMON_STORE")]


@app.command(name="validate")
def check(path: pathlib.Path, *, json: bool = False):
    """Check a document and list all of its faults.

    Args:
        path: File with the document.
        json: Print JSON.
    """
    document = validate(path.read_bytes())
    show_result(
        {"valid": True, "organisations": len(document.organisations)},
        "The document is valid.",
        json,
    )


@app.command
def publish(
    path: pathlib.Path,
    *,
    store: Store,
    expect_revision: int | None = None,
    change: str | None = None,
    author: str | None = None,
    json: bool = False,
):
    """Publish a document.

    Args:
        path: File with the document.
        store: Address of the store.
        expect_revision: Revision on which the document builds.
        change: Identifier of the change, to repeat an unanswered attempt.
        author: Who publishes; the user's name if not given.
        json: Print JSON.
    """
    operations = StoreOperations(create_client("grpc", store))
    made = operations.publish(
        path.read_bytes(), expect_revision, author or getpass.getuser(), change
    )
    show_result(
        {"revision": made.revision, "digest": made.digest, "change": made.change},
        f"Revision {made.revision} is accepted.",
        json,
    )


@app.command
def show(*, store: Store, json: bool = False):
    """Print the document that was last accepted.

    Args:
        store: Address of the store.
        json: Print revision and digest too.
    """
    current = StoreOperations(create_client("grpc", store)).show()
    print_json(current if json else current.document)


def show_result(values, sentence, as_json):
    """Print a result for scripts or for people."""
    if as_json:
        print_json(values)
    else:
        print(sentence)


def print_json(value):
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def report_error(error):
    """Print an error and return the exit code for it."""
    faults = error.faults if isinstance(error, DocumentInvalid) else (error,)
    for fault in faults:
        print(f"persimmonctl: {fault}", file=sys.stderr)
    return next(code for kind, code in EXIT_CODES if isinstance(error, kind))


def main():
    """Run the command and exit with its code."""
    try:
        app()
    except PersimmonError as error:
        sys.exit(report_error(error))


if __name__ == "__main__":
    main()
