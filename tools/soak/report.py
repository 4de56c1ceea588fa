"""Report.

Lines of text on what a run has shown.
"""

import collections

from persimmonlane.explaining.reading import find_request

from .losses import LATE_SEND_S
from .records import End

# Fields of the nodes' log lines that tell how long a request waited.
LOGGED_TIMES = ("wait_s", "waited_s", "took_s", "age_s")
# What ends this soon after a signal is taken for its effect.
PROMPT_S = 0.15


def describe_outcome(outcome):
    """Return the line on a seed's run."""
    plan = outcome.plan
    exchanges = outcome.exchanges
    counts = collections.Counter(classify(item) for item in exchanges)
    stops = [item for item in outcome.processes if item.first_stop is not None]
    killed = sum(1 for item in stops if item.killed)
    text = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    return (
        f"seed {plan.seed}: {len(plan.services) * len(plan.zones)} VMs, "
        f"{len(plan.callers)} callers, work {plan.work_s[0]:g}-{plan.work_s[1]:g} s, "
        f"{len(stops)} stops, {killed} killed, {len(exchanges)} requests ({text}), "
        f"safe promises {outcome.safe_promises}, "
        f"foreign breaks {outcome.foreign_breaks}, "
        f"denials {outcome.denials}, unasked ends {outcome.unasked_ends}, "
        f"findings {len(outcome.findings)}"
    )


def classify(exchange):
    """Return the status of an answer, or how a request ended without one."""
    if exchange.end is End.ANSWERED:
        return str(exchange.status)
    return exchange.end.value


def describe_finding(outcome, finding, logs):
    """Return the lines on a request that was lost or handled wrongly.

    Args:
        outcome: The `Outcome`.
        finding: The `Finding`.
        logs: Paths of the nodes' logs.
    """
    exchange = finding.exchange
    process = exchange.process
    return "\n".join(
        [
            f"seed {outcome.plan.seed} {exchange.request_id} at {process.node}: "
            f"{finding.fault.value}; {exchange.kind}; {classify(exchange)}",
            f"    {'first' if exchange.is_first else 'later'} on its connection, sent "
            f"{tell_time(exchange, exchange.sent)}, ended "
            f"{tell_time(exchange, exchange.ended)}, process gone "
            f"{tell_time(exchange, process.gone)}",
            f"    signals: {describe_signals(exchange)}",
            f"    {describe_runs(finding)}",
            f"    log: {describe_log(exchange.request_id, logs)}",
        ]
    )


def tell_time(exchange, time):
    """Return a time in seconds since the first SIGTERM of the node's process."""
    if time is None:
        return "never"
    if exchange.process.first_stop is None:
        return f"{time - exchange.started:.2f} s from its begin (no SIGTERM)"
    return f"{time - exchange.process.first_stop:+.2f} s"


def describe_signals(exchange):
    """Return the signals that the node's process got."""
    process = exchange.process
    texts = [
        f"{sent.name} {tell_time(exchange, sent.time)}" for sent in process.signals
    ]
    if process.killed:
        texts.append("SIGKILL")
    return ", ".join(texts) or "none"


def describe_runs(finding):
    """Return when backend servers were at work on the request."""
    exchange = finding.exchange
    spans = [
        f"{tell_time(exchange, item.started)} to {tell_time(exchange, item.ended)}"
        for item in finding.executions
    ]
    return "backend server at work: " + (", ".join(spans) or "not reached")


def describe_log(request_id, logs):
    """Return what the nodes have written of a request."""
    found = find_request(request_id, logs)
    return " | ".join(describe_line(*row) for row in found.lines) or "nothing"


def describe_line(line, fields):
    """Return a node's log line with the times that it tells."""
    times = [f"{name} {fields[name]}" for name in LOGGED_TIMES if name in fields]
    return f"{line.node}: {line.message} ({', '.join(times)})"


def describe_totals(outcomes):
    """Return the lines with the totals of all runs."""
    counts = collections.Counter(
        f"{finding.fault.value}, {find_phase(finding.exchange)}"
        for outcome in outcomes
        for finding in outcome.findings
    )
    failed = [str(item.plan.seed) for item in outcomes if not item.is_clean()]
    processes = [process for item in outcomes for process in item.processes]
    stops = [process for process in processes if process.first_stop is not None]
    rows = [
        f"{len(outcomes)} seeds, {len(stops)} stops, "
        f"{sum(1 for process in stops if process.killed)} killed, "
        f"{sum(len(item.exchanges) for item in outcomes)} requests; "
        f"failed seeds: {', '.join(failed) or 'none'}"
    ]
    rows += [f"  {text}: {count}" for text, count in sorted(counts.items())]
    return "\n".join(rows)


def find_phase(exchange):
    """Return the phase of its node's life in which a request ended."""
    process = exchange.process
    if process.first_stop is None or exchange.ended < process.first_stop:
        return "before a SIGTERM"
    stops = [sent for sent in process.signals if sent.name == "SIGTERM"]
    if any(0 <= exchange.ended - sent.time < PROMPT_S for sent in stops[1:]):
        return "at a further SIGTERM"
    if exchange.sent > process.first_stop + LATE_SEND_S:
        return "while the node drained, sent late"
    return "while the node drained"
