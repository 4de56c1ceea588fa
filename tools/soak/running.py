"""Execution of a soak plan against a site."""

import signal
import threading
import time

from .callers import Caller
from .crowd import Crowd
from .fleet import Fleet
from .losses import (
    NOT_RUN_STATUSES,
    find_findings,
    group_executions,
    is_executing,
    is_node_failure,
    states_not_run,
)
from .plan import Action

POLL_INTERVAL_S = 0.02


class Outcome:
    """Result of a run.

    Attributes:
        plan: The `Plan`.
        exchanges: The `Exchange`s of all callers.
        processes: The `Process`es of all nodes.
        findings: The `Finding`s.
        safe_false_not_run: Number of safe requests that were executed although the
            answer states that they were not.
        unexpected_failures: Number of failures with which nodes that were not stopping
            answered running requests before their time limit.
        rejections: Number of node responses with a 4xx status that doesn't state that
            the request was not executed.
        unexpected_exits: Number of processes that exited without a SIGTERM.
    """

    __slots__ = (
        "plan",
        "exchanges",
        "processes",
        "findings",
        "safe_false_not_run",
        "unexpected_failures",
        "rejections",
        "unexpected_exits",
    )

    def __init__(self, plan, exchanges, processes, executions, close_race_s):
        self.plan = plan
        self.exchanges = exchanges
        self.processes = processes
        self.findings = find_findings(exchanges, executions, close_race_s)
        executions_by_id = group_executions(executions)
        pairs = [
            (item, executions_by_id.get(item.request_id, [])) for item in exchanges
        ]
        self.safe_false_not_run = sum(
            1 for item, own in pairs if own and not item.unsafe and states_not_run(item)
        )
        self.unexpected_failures = sum(
            1
            for item, own in pairs
            if item.process.first_sigterm is None
            and is_node_failure(item)
            and is_executing(own, item.ended)
            and item.ended - item.started < item.timeout_s
        )
        self.rejections = sum(1 for item in exchanges if is_rejection(item))
        self.unexpected_exits = sum(
            1 for item in processes if item.exited and item.first_sigterm is None
        )

    def is_clean(self):
        """Return whether there are no findings and no unexpected exits."""
        return not self.findings and not self.unexpected_exits


def is_rejection(exchange):
    """Return whether the node rejected the request without stating it not run."""
    status = exchange.status
    return (
        exchange.is_from_node and 400 <= status < 500 and status not in NOT_RUN_STATUSES
    )


def run_plan(plan, directory, tolerance, crowd_size=0):
    """Execute a plan; return the `Outcome`.

    Args:
        plan: The `Plan`.
        directory: Directory for settings and logs.
        tolerance: The `Tolerance`.
        crowd_size: Number of clients for each VM that misbehave.
    """
    fleet = Fleet(directory, plan, tolerance.kill_after_s)
    ended = threading.Event()
    callers = [
        Caller(number, plan, style, fleet, ended)
        for number, style in enumerate(plan.callers)
    ]
    crowd = Crowd(plan, fleet, ended, crowd_size)
    try:
        fleet.start()
        for caller in callers:
            caller.start()
        crowd.start()
        run_events(plan, fleet)
        ended.set()
        for caller in callers:
            caller.join()
        crowd.join()
        fleet.check_processes()
    finally:
        ended.set()
        fleet.stop()
    exchanges = [item for caller in callers for item in caller.exchanges]
    executions = [
        execution for vm in fleet.site.vms for execution in vm.server.executions
    ]
    return Outcome(plan, exchanges, fleet.processes, executions, tolerance.close_race_s)


def run_events(plan, fleet):
    """Perform due events until the load time is over and no node is stopping."""
    started = time.monotonic()
    pending = list(plan.events)
    while True:
        now_s = time.monotonic() - started
        due = [event for event in pending if event.at_s <= now_s]
        waiting = [event for event in due if not perform(event, fleet)]
        pending = waiting + pending[len(due) :]
        fleet.check_processes()
        stopping = any(map(fleet.is_stopping, range(len(fleet.site.vms))))
        if now_s >= plan.seconds and not stopping:
            return
        time.sleep(POLL_INTERVAL_S)


def perform(event, fleet):
    """Perform an event; return False if it has to be retried later.

    A restart waits until the old process has exited.
    """
    if event.action is Action.STOP:
        fleet.send_signal(event.vm, signal.SIGTERM)
    elif event.action is Action.RELOAD:
        fleet.reload(event.vm)
    elif event.action is Action.PUBLISH:
        fleet.publish()
    elif event.action is Action.DRAIN_SERVER:
        fleet.site.vms[event.vm].state = "draining"
    elif fleet.is_stopping(event.vm):
        return False
    else:
        fleet.restart(event.vm)
    return True
