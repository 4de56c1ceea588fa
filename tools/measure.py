"""The four measures.

Runs both users' sites under the same failures with the system's own policies and
with baselines, and prints the four measures of each as a table and a plot.
"""

import concurrent.futures
import json
import pathlib
import statistics

import cyclopts
import msgspec

from persimmonlane.trials.fleet import Fleet
from persimmonlane.trials.sites import BALANCING, DETECTOR, Load, sites

FOLDER = pathlib.Path(__file__).parent.parent / "bench"
NODES = 31
EXCESS_FACTOR = 4.0
EXCESS_S = 10.0
PLOTTED = (
    ("detection_s", "detection time, s"),
    ("false_ejections", "false ejections a run"),
    ("worst_bad_share", "worst organisation: late, failed or refused, %"),
    ("wrongful_share", "wrongful refusals, %"),
)


class Variant(msgspec.Struct, frozen=True, kw_only=True):
    """A choice of policies.

    Attributes:
        name: Its name in the table.
        detector: Name of the detector.
        balancing: Name of the balancing policy.
        limiter: Name of the limiter.
    """

    name: str
    detector: str = DETECTOR
    balancing: str = BALANCING
    limiter: str = "lending"


class Failing(msgspec.Struct, frozen=True):
    """One failure of a run.

    Attributes:
        name: Name of the failure.
        service: Number of the service.
        server: Number of the backend server.
        begin_s: Time at which it begins.
        end_s: Time at which it ends.
    """

    name: str
    service: int
    server: int
    begin_s: float
    end_s: float


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The measures of one variant on one site, over all seeds.

    Attributes:
        site: Name of the site.
        variant: Name of the variant.
        failures: Failures in all runs.
        detected: Those that led to an ejection.
        avoided_s: Median time until the server got less work.
        detection_s: Median time until it was ejected.
        detection_worst_s: Longest such time.
        false_ejections: Mean number of false ejections a run.
        worst_bad_share: Percentage of the worst-served organisation's requests
            within its rate that were late, failed or refused; mean of the runs.
        wrongful_share: Percentage of requests within the rates that were refused.
        requests: Requests within the rates in all runs.
    """

    site: str
    variant: str
    failures: int
    detected: int
    avoided_s: float | None
    detection_s: float | None
    detection_worst_s: float | None
    false_ejections: float
    worst_bad_share: float
    wrongful_share: float
    requests: int


VARIANTS = (
    Variant(name="persimmonlane"),
    Variant(name="consecutive errors", detector="consecutive-errors"),
    Variant(name="latency threshold", detector="latency-threshold"),
    Variant(name="least loaded", balancing="least-loaded"),
    Variant(name="round robin", balancing="round-robin"),
    Variant(name="random", balancing="random"),
    Variant(name="static split", limiter="split"),
)
FAILURES = (
    Failing("slow", 0, 1, 8.0, 18.0),
    Failing("wrong", 1, 2, 12.0, 22.0),
    Failing("hung", 2, 3, 20.0, 30.0),
    Failing("flapping", 0, 5, 24.0, 36.0),
)


def run_variant(site_name, variant, seed, duration_s, nodes):
    """Run one variant; return the `Summary`."""
    site = sites.get_by_name(site_name)()
    document = site.build_document(variant.detector, variant.balancing)
    fleet = Fleet(site, document, seed, limiter=variant.limiter, nodes=nodes)
    for failing in FAILURES:
        address = f"10.0.{failing.service}.{failing.server}:80"
        fleet.schedule.call_later(failing.begin_s, fleet.fail, address, failing.name)
        fleet.schedule.call_later(failing.end_s, fleet.recover, address)
    last = site.list_loads()[-1]
    excess = Load(last.organisation, last.rate * EXCESS_FACTOR)
    fleet.schedule.call_later(EXCESS_S, fleet.send_load, excess, duration_s / 2)
    fleet.run(duration_s)
    return fleet.measures.summarise()


def join_summaries(site_name, variant, summaries):
    """Return the `Row` of several runs' summaries."""

    def find_median(name):
        values = [getattr(each, name) for each in summaries]
        known = [value for value in values if value is not None]
        return statistics.median(known) if known else None

    requests = sum(each.requests for each in summaries)
    wrongful = sum(each.wrongful_refusals for each in summaries)
    worst = [1 - each.worst_good_share for each in summaries]
    longest = [each.detection_worst_s for each in summaries]
    return Row(
        site=site_name,
        variant=variant.name,
        failures=sum(each.failures for each in summaries),
        detected=sum(each.detected for each in summaries),
        avoided_s=find_median("avoided_median_s"),
        detection_s=find_median("detection_median_s"),
        detection_worst_s=max((x for x in longest if x is not None), default=None),
        false_ejections=statistics.mean(each.false_ejections for each in summaries),
        worst_bad_share=100 * statistics.mean(worst),
        wrongful_share=100 * wrongful / requests,
        requests=requests,
    )


def run_all(seeds, seconds, nodes, processes):
    """Run all variants on both sites; return their `Row`s."""
    rows = []
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for site in sites.names():
            for variant in VARIANTS:
                arguments = site, variant, seconds, nodes
                rows.append((site, variant, submit_runs(pool, seeds, *arguments)))
        return [
            join_summaries(site, variant, [run.result() for run in runs])
            for site, variant, runs in rows
        ]


def submit_runs(pool, seeds, site, variant, seconds, nodes):
    """Begin the runs of one variant with all seeds."""
    return [
        pool.submit(run_variant, site, variant, seed, seconds, nodes) for seed in seeds
    ]


def format_number(value):
    """Return a number for the table."""
    return "-" if value is None else f"{value:.2f}"


def format_table(rows):
    """Return the rows as a table in Markdown."""
    heads = (
        "site",
        "variant",
        "detected",
        "less work after, s",
        "ejected after, s (median)",
        "(worst)",
        "false ejections a run",
        "worst organisation's bad share, %",
        "wrongful refusals, %",
    )
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    for row in rows:
        cells = (
            row.site,
            row.variant,
            f"{row.detected} of {row.failures}",
            format_number(row.avoided_s),
            format_number(row.detection_s),
            format_number(row.detection_worst_s),
            format_number(row.false_ejections),
            format_number(row.worst_bad_share),
            format_number(row.wrongful_share),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot_rows(rows, path):
    """Draw the measures as bars; needs matplotlib, the extra `plots`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = sorted({row.site for row in rows})
    figure, axes = pyplot.subplots(
        len(names), len(PLOTTED), figsize=(16, 3 * len(names)), squeeze=False
    )
    for line, site in zip(axes, names, strict=True):
        own = [row for row in rows if row.site == site]
        for axis, (field, title) in zip(line, PLOTTED, strict=True):
            values = [getattr(row, field) or 0.0 for row in own]
            axis.barh([row.variant for row in own], values)
            axis.invert_yaxis()
            axis.set_title(f"{site}: {title}", fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


app = cyclopts.App(name="measure", help="Measure both sites against baselines.")


@app.default
def measure(
    *,
    seeds: int = 3,
    seconds: float = 40.0,
    nodes: int = NODES,
    processes: int = 3,
):
    """Run all variants on both sites.

    Args:
        seeds: Number of seeds, from 1.
        seconds: Length of each run, in seconds of the trial.
        nodes: Number of nodes; each backend server has one beside it today.
        processes: Number of runs at a time.
    """
    rows = run_all(range(1, seeds + 1), seconds, nodes, processes)
    print(f"seeds 1 to {seeds}, {seconds:.0f} s each, {nodes} nodes\n")
    print(format_table(rows))
    FOLDER.mkdir(exist_ok=True)
    content = {
        "seeds": seeds,
        "seconds": seconds,
        "nodes": nodes,
        "rows": msgspec.to_builtins(rows),
    }
    (FOLDER / "measures.json").write_text(json.dumps(content, indent=2) + "\n")
    try:
        plot_rows(rows, FOLDER / "measures.png")
    except ImportError:
        print("no plot: install the extra `plots`")


if __name__ == "__main__":
    app()
