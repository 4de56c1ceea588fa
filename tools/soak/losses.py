"""Losses.

Decides from the records of a run which requests were lost or handled wrongly.
"""

import enum

from .records import End

GRACE_S = 6.0
LAST_PART_S = GRACE_S / 6
# A request sent later than this after SIGTERM must be answered or refused in time.
LATE_SEND_S = 3.0
CROSSING_S = 0.2
# The node's deadline may lie this much before the caller's.
DEADLINE_SLACK_S = 0.1
PROMISES = (408, 421, 429, 503)
FAILURES = (502, 504)


class Fault(enum.Enum):
    """What was wrong with a request's handling."""

    PASSED_ON = "no answer, though a backend server got it"
    TRUNCATED = "an incomplete answer"
    SILENT = "no answer, though the node may have read it"
    UNREAD = "no answer, and the node had not read all of it"
    BROKEN_OFF = "the node's failure while the backend server was at work"
    REPEATED = "an unsafe request ran more than once"
    FALSE_PROMISE = "an unsafe request ran, though its answer says that it did not"


class Patience:
    """Times that depend on how busy the machine is.

    Attributes:
        crossing_s: Longest time between the end of a request's sending and the end
            of its connection in which the two may have crossed.
        kill_after_s: Time between the first SIGTERM of a process and its SIGKILL.
    """

    __slots__ = ("crossing_s", "kill_after_s")

    def __init__(self, crossing_s=CROSSING_S, kill_after_s=GRACE_S):
        self.crossing_s = crossing_s
        self.kill_after_s = kill_after_s


class Finding:
    """A request that was lost or handled wrongly.

    Attributes:
        fault: The `Fault`.
        exchange: The `Exchange`.
        executions: The `Execution`s of the request at backend servers.
    """

    __slots__ = ("fault", "exchange", "executions")

    def __init__(self, fault, exchange, executions):
        self.fault = fault
        self.exchange = exchange
        self.executions = executions


def find_findings(exchanges, executions, crossing_s=CROSSING_S):
    """Return the `Finding`s of a run.

    Args:
        exchanges: All `Exchange`s.
        executions: All `Execution`s of all backend servers.
        crossing_s: As in `Patience`.
    """
    runs_by_id = group_runs(executions)
    findings = []
    for exchange in exchanges:
        own_runs = runs_by_id.get(exchange.request_id, [])
        loss = find_loss(exchange, own_runs, crossing_s)
        misuse = find_misuse(exchange, own_runs)
        for fault in (loss, misuse):
            if fault is not None:
                findings.append(Finding(fault, exchange, own_runs))
    return findings


def group_runs(executions):
    """Return lists of `Execution`s by the identifiers of their requests."""
    runs_by_id = {}
    for execution in executions:
        runs_by_id.setdefault(execution.request_id, []).append(execution)
    return runs_by_id


def find_loss(exchange, executions, crossing_s=CROSSING_S):
    """Return the `Fault` of a request that was lost, or None."""
    if exchange.sent is None:
        return None
    if exchange.end is End.ANSWERED:
        fault = Fault.BROKEN_OFF if is_broken_off(exchange, executions) else None
    elif executions or not is_crossing(exchange, crossing_s):
        fault = name_missing(exchange, executions)
    else:
        fault = None
    return None if is_excused(exchange, executions) else fault


def find_misuse(exchange, executions):
    """Return the `Fault` of an unsafe request that ran wrongly, or None."""
    if not exchange.unsafe:
        return None
    if len(executions) > 1:
        return Fault.REPEATED
    if executions and is_promise(exchange):
        return Fault.FALSE_PROMISE
    return None


def is_promise(exchange):
    """Return whether the answer states that the request did not and will not run."""
    return exchange.end is End.ANSWERED and exchange.status in PROMISES


def is_broken_off(exchange, executions):
    """Return whether a stopping node gave its own failure in a run's place."""
    first_stop = exchange.process.first_stop
    if first_stop is None or exchange.ended < first_stop:
        return False
    return is_own_failure(exchange) and is_at_work(executions, exchange.ended)


def is_own_failure(exchange):
    """Return whether the answer is a failure that promises nothing, by the node."""
    return exchange.is_own and exchange.status in FAILURES


def is_at_work(executions, time):
    """Return whether a backend server was at work on the request after a time."""
    return any(
        execution.ended is None or execution.ended > time for execution in executions
    )


def name_missing(exchange, executions):
    """Return the `Fault` of a request that got no whole answer."""
    if exchange.end is End.TRUNCATED:
        return Fault.TRUNCATED
    if executions:
        return Fault.PASSED_ON
    return Fault.UNREAD if exchange.end is End.RESET else Fault.SILENT


def is_crossing(exchange, crossing_s):
    """Return whether the request and the end of its connection may have crossed."""
    up_until = exchange.ended
    if exchange.process.gone is not None:
        up_until = min(up_until, exchange.process.gone)
    return up_until - exchange.sent <= crossing_s


def is_excused(exchange, executions):
    """Return whether a missing answer is nobody's fault."""
    if exchange.ended - exchange.started >= exchange.time_s - DEADLINE_SLACK_S:
        return True
    first_stop = exchange.process.first_stop
    if first_stop is None:
        return False
    last_part = first_stop + GRACE_S - LAST_PART_S
    return (
        exchange.sent <= first_stop + LATE_SEND_S
        and exchange.ended >= last_part
        and is_at_work(executions, last_part)
    )
