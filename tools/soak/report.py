"""Text report of soak runs."""

import collections

from persimmonlane.explaining.reading import find_request

from .losses import LATE_SEND_S
from .records import ExchangeEnd

# Duration fields of the nodes' log lines that are copied to the report.
LOGGED_TIMES = ("wait_s", "waited_s", "took_s", "age_s")
# A request that ends within this time after a signal counts as affected by it.
SIGNAL_EFFECT_S = 0.15


def describe_outcome(outcome):
    """Return the summary line of a seed's run."""
    plan = outcome.plan
    exchanges = outcome.exchanges
    counts = collections.Counter(classify(item) for item in exchanges)
    stops = [item for item in outcome.processes if item.first_sigterm is not None]
    killed = sum(1 for item in stops if item.killed)
    text = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    return (
        f"seed {plan.seed}: {len(plan.services) * len(plan.zones)} VMs, "
        f"{len(plan.callers)} callers, work {plan.work_s[0]:g}-{plan.work_s[1]:g} s, "
        f"{len(stops)} stops, {killed} killed, {len(exchanges)} requests ({text}), "
        f"safe false not-run {outcome.safe_false_not_run}, "
        f"unexpected failures {outcome.unexpected_failures}, "
        f"rejections {outcome.rejections}, "
        f"unexpected exits {outcome.unexpected_exits}, "
        f"findings {len(outcome.findings)}"
    )


def classify(exchange):
    """Return the HTTP status, or the kind of end of a request without a response."""
    if exchange.end is ExchangeEnd.ANSWERED:
        return str(exchange.status)
    return exchange.end.value


def describe_finding(outcome, finding, logs):
    """Return the report of a request that was lost or handled wrongly.

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
            f"{format_time(exchange, exchange.sent)}, ended "
            f"{format_time(exchange, exchange.ended)}, process gone "
            f"{format_time(exchange, process.exited)}",
            f"    signals: {describe_signals(exchange)}",
            f"    {describe_runs(finding)}",
            f"    log: {describe_log(exchange.request_id, logs)}",
        ]
    )


def format_time(exchange, time):
    """Format a time relative to the first SIGTERM of the node's process.

    Without a SIGTERM, the time is relative to the start of the request.
    """
    if time is None:
        return "never"
    if exchange.process.first_sigterm is None:
        return f"{time - exchange.started:.2f} s from its start (no SIGTERM)"
    return f"{time - exchange.process.first_sigterm:+.2f} s"


def describe_signals(exchange):
    """Return the signals sent to the node's process, with their times."""
    process = exchange.process
    texts = [
        f"{sent.name} {format_time(exchange, sent.time)}" for sent in process.signals
    ]
    if process.killed:
        texts.append("SIGKILL")
    return ", ".join(texts) or "none"


def describe_runs(finding):
    """Return the times at which backend servers executed the request."""
    exchange = finding.exchange
    spans = [
        f"{format_time(exchange, item.started)} to {format_time(exchange, item.ended)}"
        for item in finding.executions
    ]
    return "executed by backend servers: " + (", ".join(spans) or "not reached")


def describe_log(request_id, logs):
    """Return the nodes' log lines about a request."""
    found = find_request(request_id, logs)
    return " | ".join(describe_line(*row) for row in found.lines) or "nothing"


def describe_line(line, fields):
    """Return a node's log line with its `LOGGED_TIMES`."""
    times = [f"{name} {fields[name]}" for name in LOGGED_TIMES if name in fields]
    return f"{line.node}: {line.message} ({', '.join(times)})"


def describe_totals(outcomes):
    """Return the totals of all runs, one finding kind per line."""
    counts = collections.Counter(
        f"{finding.fault.value}, {find_phase(finding.exchange)}"
        for outcome in outcomes
        for finding in outcome.findings
    )
    failed = [str(item.plan.seed) for item in outcomes if not item.is_clean()]
    processes = [process for item in outcomes for process in item.processes]
    stops = [process for process in processes if process.first_sigterm is not None]
    rows = [
        f"{len(outcomes)} seeds, {len(stops)} stops, "
        f"{sum(1 for process in stops if process.killed)} killed, "
        f"{sum(len(item.exchanges) for item in outcomes)} requests; "
        f"failed seeds: {', '.join(failed) or 'none'}"
    ]
    rows += [f"  {text}: {count}" for text, count in sorted(counts.items())]
    return "\n".join(rows)


def find_phase(exchange):
    """Return the phase of the node's process in which a request ended."""
    process = exchange.process
    if process.first_sigterm is None or exchange.ended < process.first_sigterm:
        return "before a SIGTERM"
    stops = [sent for sent in process.signals if sent.name == "SIGTERM"]
    if any(0 <= exchange.ended - sent.time < SIGNAL_EFFECT_S for sent in stops[1:]):
        return "at a further SIGTERM"
    if exchange.sent > process.first_sigterm + LATE_SEND_S:
        return "while the node drained, sent late"
    return "while the node drained"
