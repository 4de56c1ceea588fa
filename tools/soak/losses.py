"""Detection of lost and wrongly handled requests in the records of a soak run."""

import enum

from .records import ExchangeEnd

GRACE_S = 6.0
FINAL_GRACE_S = GRACE_S / 6
# A request sent later than this after SIGTERM must be answered or rejected in time.
LATE_SEND_S = 3.0
CLOSE_RACE_S = 0.2
# The node's deadline may be this much earlier than the caller's.
DEADLINE_SLACK_S = 0.1
NOT_RUN_STATUSES = (408, 421, 429, 503)
NODE_FAILURE_STATUSES = (502, 504)


class Fault(enum.Enum):
    """Fault in the handling of a request."""

    FORWARDED = "no answer, though a backend server got it"
    TRUNCATED = "an incomplete answer"
    UNANSWERED = "no answer, though the node may have read it"
    UNREAD = "no answer, and the node had not read all of it"
    ABORTED = "the node's failure while the backend server was at work"
    REPEATED = "an unsafe request ran more than once"
    FALSE_NOT_RUN = "an unsafe request ran, though its answer says that it did not"


class Tolerance:
    """Time limits that depend on the load of the machine.

    Attributes:
        close_race_s: Longest time, in seconds, between the last byte of a request and
            the close of its connection in which the two may have raced.
        kill_after_s: Seconds between the first SIGTERM of a process and its SIGKILL.
    """

    __slots__ = ("close_race_s", "kill_after_s")

    def __init__(self, close_race_s=CLOSE_RACE_S, kill_after_s=GRACE_S):
        self.close_race_s = close_race_s
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


def find_findings(exchanges, executions, close_race_s=CLOSE_RACE_S):
    """Return the `Finding`s of a run.

    Args:
        exchanges: All `Exchange`s.
        executions: All `Execution`s of all backend servers.
        close_race_s: See `Tolerance`.
    """
    executions_by_id = group_executions(executions)
    findings = []
    for exchange in exchanges:
        own_executions = executions_by_id.get(exchange.request_id, [])
        loss = find_loss(exchange, own_executions, close_race_s)
        violation = find_violation(exchange, own_executions)
        for fault in (loss, violation):
            if fault is not None:
                findings.append(Finding(fault, exchange, own_executions))
    return findings


def group_executions(executions):
    """Return the `Execution`s as lists by request identifier."""
    executions_by_id = {}
    for execution in executions:
        executions_by_id.setdefault(execution.request_id, []).append(execution)
    return executions_by_id


def find_loss(exchange, executions, close_race_s=CLOSE_RACE_S):
    """Return the `Fault` of a request that was lost, or None."""
    if exchange.sent is None:
        return None
    if exchange.end is ExchangeEnd.ANSWERED:
        fault = Fault.ABORTED if is_aborted(exchange, executions) else None
    elif executions or not may_race_close(exchange, close_race_s):
        fault = classify_missing(exchange, executions)
    else:
        fault = None
    return None if is_excused(exchange, executions) else fault


def find_violation(exchange, executions):
    """Return the `Fault` of an unsafe request that was wrongly executed, or None."""
    if not exchange.unsafe:
        return None
    if len(executions) > 1:
        return Fault.REPEATED
    if executions and states_not_run(exchange):
        return Fault.FALSE_NOT_RUN
    return None


def states_not_run(exchange):
    """Return whether the answer states that the request was not and won't be run."""
    return exchange.end is ExchangeEnd.ANSWERED and exchange.status in NOT_RUN_STATUSES


def is_aborted(exchange, executions):
    """Return whether a stopping node answered a running request with a failure."""
    first_sigterm = exchange.process.first_sigterm
    if first_sigterm is None or exchange.ended < first_sigterm:
        return False
    return is_node_failure(exchange) and is_executing(executions, exchange.ended)


def is_node_failure(exchange):
    """Return whether the answer is a failure of the node itself.

    Such a failure doesn't state whether the request was executed.
    """
    return exchange.is_from_node and exchange.status in NODE_FAILURE_STATUSES


def is_executing(executions, time):
    """Return whether a backend server was executing the request after a time."""
    return any(
        execution.ended is None or execution.ended > time for execution in executions
    )


def classify_missing(exchange, executions):
    """Return the `Fault` of a request without a complete answer."""
    if exchange.end is ExchangeEnd.TRUNCATED:
        return Fault.TRUNCATED
    if executions:
        return Fault.FORWARDED
    return Fault.UNREAD if exchange.end is ExchangeEnd.RESET else Fault.UNANSWERED


def may_race_close(exchange, close_race_s):
    """Return whether the request may have raced the close of its connection."""
    until = exchange.ended
    if exchange.process.exited is not None:
        until = min(until, exchange.process.exited)
    return until - exchange.sent <= close_race_s


def is_excused(exchange, executions):
    """Return whether a missing answer is no fault of the node.

    This holds if the time limit was reached, or if a request that was sent soon
    after SIGTERM was still being executed in the last sixth of the grace time.
    """
    if exchange.ended - exchange.started >= exchange.timeout_s - DEADLINE_SLACK_S:
        return True
    first_sigterm = exchange.process.first_sigterm
    if first_sigterm is None:
        return False
    final_grace_start = first_sigterm + GRACE_S - FINAL_GRACE_S
    return (
        exchange.sent <= first_sigterm + LATE_SEND_S
        and exchange.ended >= final_grace_start
        and is_executing(executions, final_grace_start)
    )
