"""persimmon-report.

Reports the service-level burn of recorded requests.
"""

import pathlib
import sys
from typing import Literal

import urllib3

from ..application import EXIT_OK
from ..errors import InputError
from ..reporting.burn import compute_burns
from ..reporting.formats import create_report, formats
from ..reporting.records import decode_list, read_records
from .common import create_program, run_program

EXIT_FAST_BURN = 3
FETCH_TIMEOUT_S = 10.0
RECORDS_PATH = "/v1/records"

program = create_program(
    "persimmon-report",
    "Report service-level burn per service and organisation; exit code 3: a fast burn "
    "is on.",
)


def is_url(source):
    """Return whether a source is the URL of an admin API."""
    return source.startswith(("http://", "https://"))


def fetch_records(url, token):
    """Return the records that a node's admin API holds.

    Raises:
        InputError: With code `admin-unreachable` or `admin-refused`.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    pool = urllib3.PoolManager(retries=False, timeout=FETCH_TIMEOUT_S)
    try:
        answer = pool.request("GET", url.rstrip("/") + RECORDS_PATH, headers=headers)
    except urllib3.exceptions.HTTPError as error:
        raise InputError(
            f"no answer: {type(error).__name__}", code="admin-unreachable", place=url
        ) from error
    if answer.status != 200:
        raise InputError(f"status {answer.status}", code="admin-refused", place=url)
    return decode_list(answer.data, url)


def collect_records(sources, token):
    """Return the records of files and admin APIs."""
    records = []
    for source in sources:
        found = fetch_records(source, token) if is_url(source) else read_records(source)
        records += found
    return records


def read_token(path):
    """Return the operators' token of a file, or None without a path."""
    if path is None:
        return None
    try:
        return path.read_text().strip()
    except OSError as error:
        raise InputError(
            f"the file can't be read: {error.strerror}",
            code="token-unreadable",
            place=str(path),
        ) from error


@program.default
def report(
    *sources: str,
    format: Literal["text", "json", "html"] = "text",
    output: pathlib.Path | None = None,
    token_file: pathlib.Path | None = None,
):
    """Report the burn of recorded requests.

    Args:
        sources: Files of recorded JSON lines, or URLs of nodes' admin APIs.
        format: Form of the report.
        output: File to write to; standard output by default.
        token_file: File with the operators' token, for admin APIs.
    """
    if not sources:
        raise InputError("give a file or a URL", code="source-missing")
    records = collect_records(sources, read_token(token_file))
    result = create_report(records, compute_burns(records))
    text = formats.get_by_name(format)().write(result, records)
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text)
    return EXIT_FAST_BURN if result.fast else EXIT_OK


def main(arguments=None):
    """Run the program and exit."""
    run_program(program, arguments)
