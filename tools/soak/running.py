"""Running.

Takes a site through a plan and returns what was seen.
"""

import signal
import threading
import time

from .callers import Caller
from .fleet import Fleet
from .losses import (
    PROMISES,
    find_findings,
    group_runs,
    is_at_work,
    is_own_failure,
    is_promise,
)
from .plan import Action

LOOK_S = 0.02


class Outcome:
    """What was seen in a run.

    Attributes:
        plan: The `Plan`.
        exchanges: The `Exchange`s of all callers.
        processes: The `Process`es of all nodes.
        findings: The `Finding`s.
        safe_promises: Safe requests that ran, though the answer says otherwise.
        foreign_breaks: Failures in place of a run by nodes that were not stopping.
        denials: Answers by which nodes turned proper requests away for good.
        unasked_ends: Processes that ended without a signal to stop.
    """

    __slots__ = (
        "plan",
        "exchanges",
        "processes",
        "findings",
        "safe_promises",
        "foreign_breaks",
        "denials",
        "unasked_ends",
    )

    def __init__(self, plan, exchanges, processes, executions, crossing_s):
        self.plan = plan
        self.exchanges = exchanges
        self.processes = processes
        self.findings = find_findings(exchanges, executions, crossing_s)
        runs_by_id = group_runs(executions)
        pairs = [(item, runs_by_id.get(item.request_id, [])) for item in exchanges]
        self.safe_promises = sum(
            1 for item, own in pairs if own and not item.unsafe and is_promise(item)
        )
        self.foreign_breaks = sum(
            1
            for item, own in pairs
            if item.process.first_stop is None
            and is_own_failure(item)
            and is_at_work(own, item.ended)
            and item.ended - item.started < item.time_s
        )
        self.denials = sum(1 for item in exchanges if is_denial(item))
        self.unasked_ends = sum(
            1 for item in processes if item.gone and item.first_stop is None
        )

    def is_clean(self):
        """Return whether nothing was lost or handled wrongly."""
        return not self.findings and not self.unasked_ends


def is_denial(exchange):
    """Return whether the node turned the request away without a promise."""
    status = exchange.status
    return exchange.is_own and 400 <= status < 500 and status not in PROMISES


def run_plan(plan, directory, patience):
    """Run a plan; return the `Outcome`.

    Args:
        plan: The `Plan`.
        directory: Directory for settings and logs.
        patience: The `Patience`.
    """
    fleet = Fleet(directory, plan, patience.kill_after_s)
    ended = threading.Event()
    callers = [
        Caller(number, plan, style, fleet, ended)
        for number, style in enumerate(plan.callers)
    ]
    try:
        fleet.start()
        for caller in callers:
            caller.start()
        run_events(plan, fleet)
        ended.set()
        for caller in callers:
            caller.join()
        fleet.look()
    finally:
        ended.set()
        fleet.stop()
    exchanges = [item for caller in callers for item in caller.exchanges]
    executions = [
        execution for vm in fleet.site.vms for execution in vm.server.executions
    ]
    return Outcome(plan, exchanges, fleet.processes, executions, patience.crossing_s)


def run_events(plan, fleet):
    """Do what is due until the time is over and no node is stopping."""
    started = time.monotonic()
    pending = list(plan.events)
    while True:
        now_s = time.monotonic() - started
        due = [event for event in pending if event.at_s <= now_s]
        waiting = [event for event in due if not perform(event, fleet)]
        pending = waiting + pending[len(due) :]
        fleet.look()
        stopping = any(map(fleet.is_stopping, range(len(fleet.site.vms))))
        if now_s >= plan.seconds and not stopping:
            return
        time.sleep(LOOK_S)


def perform(event, fleet):
    """Do an event; return False if it has to wait."""
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
