"""Operators' command.

Validates, publishes and shows the document, grants and withdraws keys, and shows
how far each node is.
"""

import getpass
import os
import pathlib
import sys
import time
from typing import Annotated

import cyclopts
import msgspec

from .. import __version__
from ..admin.failures import Unauthorised, describe_failure
from ..admin.operations import StoreOperations
from ..admin.remote import NodeOperations
from ..application import EXIT_FAILED, EXIT_INPUT, EXIT_OK
from ..config.checks import DocumentInvalid, validate
from ..config.differences import compare_documents
from ..config.model import Document
from ..config.publishing import PublishUncertain, RevisionConflict
from ..errors import InputError, PersimmonError
from ..keys import compute_digest, create_key
from ..store import create_client

EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4
EXIT_UNAUTHORISED = 5
EXIT_CODES = (
    (RevisionConflict, EXIT_CONFLICT),
    (PublishUncertain, EXIT_UNCERTAIN),
    (Unauthorised, EXIT_UNAUTHORISED),
    (InputError, EXIT_INPUT),
    (PersimmonError, EXIT_FAILED),
)
TOKEN_VARIABLE = "PERSIMMON_TOKEN"
HELP = f"""
Change and show the document that says what is in force.

Verbs act through a node's administration API (--node, with the operators' token in
{TOKEN_VARIABLE}) or, before any document names a token, on the store (--store).

Exit codes: 0 success, 1 failure, 2 faulty input, 3 conflict with another revision,
4 no answer on whether the change was accepted, 5 wrong token. With --json, an error
is one JSON object on the standard error output.
"""
JSON_FLAG = "--json"
MARKS = {"added": "+", "removed": "-", "changed": "~"}

program = cyclopts.App(name="persimmonctl", version=__version__, help=HELP)
keys = cyclopts.App(name="key", help="Grant and withdraw keys.")
program.command(keys)

Node = Annotated[str | None, cyclopts.Parameter(env_var="PERSIMMON_NODE")]
Store = Annotated[str | None, cyclopts.Parameter(env_var="PERSIMMON_STORE")]


@cyclopts.Parameter(name="*")
class Target:
    """Where the verbs act.

    Attributes:
        node: Address of a node's administration API.
        store: Address of the store.
        json: Whether to print JSON.
    """

    def __init__(self, *, node: Node = None, store: Store = None, json: bool = False):
        self.node = node
        self.store = store
        self.json = json

    def connect(self):
        """Return the `Operations`."""
        if self.node:
            return NodeOperations(self.node, os.environ.get(TOKEN_VARIABLE, ""))
        if self.store:
            return StoreOperations(create_client("grpc", self.store))
        raise InputError("give --node or --store", code="target-missing")


HERE = Target()


@program.command(name="validate")
def check(path: pathlib.Path, *, json: bool = False):
    """Check a document and list all of its faults.

    Args:
        path: File with the document.
        json: Print JSON.
    """
    validate(read_file(path))
    report(json, {"valid": True}, "The document is valid.")


@program.command
def publish(
    path: pathlib.Path,
    *,
    expect_revision: int | None = None,
    change: str | None = None,
    author: str | None = None,
    target: Target = HERE,
):
    """Publish a document.

    Args:
        path: File with the document.
        expect_revision: Revision on which the document builds.
        change: Identifier of the change, to repeat an attempt without answer.
        author: Who publishes; the user's name if not given.
        target: Where to publish.
    """
    made = target.connect().publish(
        read_file(path), expect_revision, author or getpass.getuser(), change
    )
    report(target.json, made, f"Revision {made.revision} is accepted.")


@program.command
def show(*, target: Target = HERE):
    """Print the document that was last accepted; with --json its revision too.

    Args:
        target: Where to read it.
    """
    current = target.connect().show()
    print_json(current if target.json else current.document)


@program.command
def diff(path: pathlib.Path, *, target: Target = HERE):
    """Print in what a document differs from the one that was last accepted.

    Args:
        path: File with the document.
        target: Where to read the accepted one.
    """
    after = validate(read_file(path))
    differences = compare_documents(target.connect().show().document, after)
    lines = [describe_difference(difference) for difference in differences]
    report(target.json, differences, "\n".join(lines) or "There is no difference.")


@program.command
def history(*, target: Target = HERE):
    """Print the last changes, the newest last.

    Args:
        target: Where to read them.
    """
    changes = target.connect().list_history()
    lines = [describe_change(made) for made in changes]
    report(target.json, changes, "\n".join(lines))


@program.command
def status(*, target: Target = HERE):
    """Print each node's revision in force, its digest and its lag.

    Args:
        target: A node.
    """
    states = target.connect().list_states()
    lines = [describe_state(state) for state in states]
    report(target.json, states, "\n".join(lines))


@keys.command
def new(
    organisation: str,
    *,
    id: str,
    author: str | None = None,
    target: Target = HERE,
):
    """Grant a new key and print it this once.

    Args:
        organisation: Name of the organisation.
        id: Name of the key, by which it can be withdrawn.
        author: Who grants it; the user's name if not given.
        target: Where to publish.
    """
    author = author or getpass.getuser()
    created = target.connect().add_key(organisation, id, author)
    report(target.json, created, created.key)


@keys.command
def withdraw(
    organisation: str,
    *,
    id: str,
    author: str | None = None,
    target: Target = HERE,
):
    """Withdraw a key.

    Args:
        organisation: Name of the organisation.
        id: Name of the key.
        author: Who withdraws it; the user's name if not given.
        target: Where to publish.
    """
    author = author or getpass.getuser()
    made = target.connect().withdraw_key(organisation, id, author)
    report(target.json, made, f"Revision {made.revision} is accepted.")


@program.command
def token(path: pathlib.Path, *, json: bool = False):
    """Make an operators' token and print it this once, with its digest.

    The digest goes into the document as fleet.operator_digest.

    Args:
        path: File with the document, for its salt.
        json: Print JSON.
    """
    salt = validate(read_file(path)).fleet.key_salt
    secret = create_key("operators")
    digest = compute_digest(salt, secret)
    report(
        json,
        {"token": secret, "operator_digest": digest},
        f"token            {secret}\noperator_digest  {digest}",
    )


@program.command
def schema():
    """Print the JSON Schema of the document."""
    print_json(msgspec.json.schema(Document))


def read_file(path):
    """Return the content of a file."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise InputError(
            f"the file can't be read: {error.strerror}",
            code="file-unreadable",
            place=str(path),
        ) from error


def report(as_json, value, text):
    """Print a result for scripts or for people."""
    if as_json:
        print_json(value)
    else:
        print(text)


def print_json(value):
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def describe_difference(difference):
    """Return a line on one difference."""
    mark = MARKS[difference.kind]
    fields = f": {', '.join(difference.fields)}" if difference.fields else ""
    return f"{mark} {difference.place}{fields}"


def describe_change(made):
    """Return a line on one change."""
    at = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(made.at))
    return f"{made.revision:>6}  {at}  {made.digest}  {made.author}"


def describe_state(state):
    """Return a line on one node."""
    if not state.reachable:
        return f"{state.node}  {state.data_centre}  no answer"
    heard = "never" if state.store_age_s is None else f"{state.store_age_s:.1f} s ago"
    isolated = "  isolated" if state.isolated else ""
    return (
        f"{state.node}  {state.data_centre}  revision {state.revision}  "
        f"{state.digest}  lag {state.lag_s:.1f} s  store heard {heard}{isolated}"
    )


def report_error(error, as_json):
    """Print an error and return the exit code for it."""
    if as_json:
        failure = msgspec.json.encode(describe_failure(error))
        print(failure.decode(), file=sys.stderr)
    else:
        faults = error.faults if isinstance(error, DocumentInvalid) else (error,)
        for fault in faults:
            print(f"error: {fault}", file=sys.stderr)
    return next(code for kind, code in EXIT_CODES if isinstance(error, kind))


def run(arguments=None):
    """Run a command line and return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        program(arguments, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        return EXIT_INPUT
    except PersimmonError as error:
        return report_error(error, JSON_FLAG in arguments)
    return EXIT_OK


def main():
    """Run the command and exit with its code."""
    sys.exit(run())


if __name__ == "__main__":
    main()
