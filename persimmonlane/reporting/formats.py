"""Report formats.

Formats the burn rates of request records as text, JSON or an HTML page.
"""

import html

import msgspec

from ..registries import Registry
from .burn import ALL_ORGANISATIONS, FAST, OBJECTIVES, Burn, compute_rate
from .charts import draw_lines

CHART_POINTS = 60
MAX_CHART_RATE = 100.0

formats = Registry("report format")

STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; width: 100%; }
td, th { padding: .2em .6em; text-align: right; border-bottom: 1px solid #ddd; }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left; }
tr.on td { background: #fbd5d0; }
svg { width: 100%; font: 11px sans-serif; }
polyline { fill: none; stroke-width: 1.5; }
.availability { stroke: #b3261e; }
.latency { stroke: #1f5fa8; }
.limit { stroke: #888; stroke-dasharray: 4 3; }
"""
COLUMN_HEADS = (
    "Service",
    "Organisation",
    "Objective",
    "Requests",
    "Bad",
    "Budget left",
    "1 h",
    "5 min",
)
PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title><style>{style}</style></head>
<body><h1>Service-level burn</h1>
<p>{span} s of records. {state} Burn rates; 1 spends the budget over 30 days.</p>
{charts}
<table><tr>{heads}</tr>
{rows}
</table></body></html>
"""


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of the report.

    Attributes:
        start_s: Start of the earliest interval, in seconds of the records' clock.
        end_s: End of the latest interval, in seconds of the same clock.
        fast: Whether any fast burn is on.
        burns: Burns by service, organisation and objective.
    """

    start_s: float
    end_s: float
    fast: bool
    burns: tuple[Burn, ...]


def create_report(records, burns):
    """Return the `Report` of records and their burns."""
    return Report(
        start_s=min((record.start_s for record in records), default=0.0),
        end_s=max((record.end_s for record in records), default=0.0),
        fast=any(burn.fast for burn in burns),
        burns=tuple(burns),
    )


@formats.register
class TextFormat:
    """Text table for a terminal, in the order of `sort_burns`."""

    name = "text"
    aliases = ()

    def write(self, report, records):
        """Return the report as text."""
        span = report.end_s - report.start_s
        lines = [f"Service-level burn over {span:.0f} s of records"]
        lines.append(
            f"{'service':20} {'organisation':20} {'objective':12} {'requests':>9}"
            f" {'bad':>7} {'left':>8} {'1 h':>8} {'5 min':>8}"
        )
        lines += [self._write_burn(burn) for burn in sort_burns(report.burns)]
        lines.append(describe_state(report))
        return "\n".join(lines) + "\n"

    def _write_burn(self, burn):
        window = find_fast_window(burn)
        return (
            f"{burn.service:20} {burn.organisation:20} {burn.objective:12}"
            f" {burn.total:9} {burn.bad:7} {burn.budget_left:8.1%}"
            f" {window.long_rate:8.1f} {window.short_rate:8.1f}"
            f"{'  FAST' if burn.fast else ''}"
        )


@formats.register
class JsonFormat:
    """One JSON object; an infinite burn rate is null."""

    name = "json"
    aliases = ()

    def write(self, report, records):
        """Return the report as JSON."""
        data = msgspec.json.format(msgspec.json.encode(report), indent=2)
        return data.decode() + "\n"


@formats.register
class HtmlFormat:
    """Self-contained HTML page with a chart for each service."""

    name = "html"
    aliases = ("page",)

    def write(self, report, records):
        """Return the report as an HTML page."""
        services = sorted({record.service for record in records if record.service})
        return PAGE_TEMPLATE.format(
            style=STYLE,
            span=f"{report.end_s - report.start_s:.0f}",
            state=describe_state(report),
            charts="\n".join(draw_service(name, records, report) for name in services),
            heads="".join(f"<th>{head}</th>" for head in COLUMN_HEADS),
            rows="\n".join(self._write_row(burn) for burn in sort_burns(report.burns)),
        )

    def _write_row(self, burn):
        window = find_fast_window(burn)
        cells = (
            html.escape(burn.service),
            html.escape(burn.organisation),
            burn.objective,
            burn.total,
            burn.bad,
            f"{burn.budget_left:.1%}",
            f"{window.long_rate:.1f}",
            f"{window.short_rate:.1f}",
        )
        class_attribute = ' class="on"' if burn.fast else ""
        return (
            f"<tr{class_attribute}>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"
        )


def describe_state(report):
    """Return a sentence on whether a fast burn is on."""
    return "A fast burn is on." if report.fast else "No fast burn is on."


def find_fast_window(burn):
    """Return the `WindowBurn` of the fast pair of windows."""
    return next(window for window in burn.windows if window.name == FAST.name)


def sort_burns(burns):
    """Return burns over all organisations, then the others, least budget first."""
    return sorted(
        burns,
        key=lambda burn: (burn.organisation != ALL_ORGANISATIONS, burn.budget_left),
    )


def draw_service(service, records, report):
    """Return an SVG chart of one service's burn rates over time."""
    service_records = [record for record in records if record.service == service]
    step = (report.end_s - report.start_s) / CHART_POINTS or 1.0
    times = [report.start_s + (n + 1) * step for n in range(CHART_POINTS)]
    series = [
        (
            objective.name,
            compute_rates(objective, service_records, report.start_s, step),
        )
        for objective in OBJECTIVES
    ]
    title = f"{html.escape(service)}: burn rate of availability and latency"
    return draw_lines(title, times, series, FAST.threshold)


def compute_rates(objective, records, start_s, step_s):
    """Return the burn rate in each of `CHART_POINTS` steps, capped for the chart."""
    totals = [0] * CHART_POINTS
    bad_counts = [0] * CHART_POINTS
    for record in records:
        index = min(CHART_POINTS - 1, max(0, int((record.end_s - start_s) / step_s)))
        total, bad = objective.count_requests(record)
        totals[index] += total
        bad_counts[index] += bad
    target = objective.get_target(records[-1].objectives)
    rates = (
        compute_rate(total, bad, target)
        for total, bad in zip(totals, bad_counts, strict=True)
    )
    return [min(MAX_CHART_RATE, rate) for rate in rates]
