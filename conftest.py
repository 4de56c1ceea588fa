"""Pytest configuration: deterministic Hypothesis runs and the known failures."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False, database=None
)
hypothesis.settings.load_profile("ci")


def read_known_red():
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split(" | ")[0] for line in lines if line.strip()]


def pytest_collection_modifyitems(items):
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    counts = {
        name: len(terminalreporter.stats.get(name, []))
        for name in ("passed", "failed", "error", "xfailed", "xpassed")
    }
    for nodeid in read_known_red():
        terminalreporter.write_line(f"known red: {nodeid}")
    failed = counts["failed"] + counts["error"]
    passed = counts["passed"] + counts["xpassed"]
    terminalreporter.write_line("")
    terminalreporter.write_line(f"{passed} passed, {failed} failed")
