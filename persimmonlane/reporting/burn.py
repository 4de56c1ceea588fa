"""Burn rates.

Computes how fast the error budget of each service is spent, over pairs of time
windows. A burn rate of 1 spends the budget exactly over `PERIOD_S`.
"""

import msgspec

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
PERIOD_S = 30 * DAY_S
MIN_REQUESTS = 20
ALL_ORGANISATIONS = "*"


class WindowPair(msgspec.Struct, frozen=True):
    """A pair of windows; its burn is on while both rates reach the threshold.

    Attributes:
        name: Name of the pair.
        long_s: Length of the long window, in seconds; shows that the burn is
            significant.
        short_s: Length of the short window, in seconds; shows that the burn still
            continues.
        threshold: Burn rate from which the burn is on.
    """

    name: str
    long_s: float
    short_s: float
    threshold: float


FAST = WindowPair("fast", HOUR_S, HOUR_S / 12, 14.4)
SLOW = WindowPair("slow", 6 * HOUR_S, HOUR_S / 2, 6.0)
TICKET = WindowPair("ticket", 3 * DAY_S, 6 * HOUR_S, 1.0)
WINDOWS = (FAST, SLOW, TICKET)


class AvailabilityObjective:
    """Objective on the share of requests answered without error."""

    name = "availability"

    @staticmethod
    def get_target(objectives):
        """Return the target share."""
        return objectives.availability

    @staticmethod
    def count_requests(record):
        """Return the numbers of eligible and of bad requests in a record."""
        return record.eligible, record.errors


class LatencyObjective:
    """Objective on the share of answers within the latency objective."""

    name = "latency"

    @staticmethod
    def get_target(objectives):
        """Return the target share."""
        return objectives.latency_share

    @staticmethod
    def count_requests(record):
        """Return the numbers of eligible and of bad requests in a record."""
        return record.answered, record.late


OBJECTIVES = (AvailabilityObjective, LatencyObjective)


class WindowBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rates over one pair of windows.

    Attributes:
        name: Name of the pair.
        long_rate: Burn rate over the long window.
        short_rate: Burn rate over the short window.
        threshold: Burn rate from which the burn is on.
        on: Whether both rates are at or above the threshold, and the long window holds
            at least `MIN_REQUESTS` eligible requests.
    """

    name: str
    long_rate: float
    short_rate: float
    threshold: float
    on: bool


class Burn(msgspec.Struct, frozen=True, kw_only=True):
    """Use of the error budget of one objective.

    Attributes:
        service: Name of the service.
        organisation: Name of the organisation, or `ALL_ORGANISATIONS`.
        objective: Name of the objective.
        target: Target share of good requests.
        total: Number of eligible requests in the period.
        bad: Number of those that missed the objective.
        budget_left: Share of the period's budget that is left; negative if
            overspent.
        windows: Burn rates by pair of windows.
    """

    service: str
    organisation: str
    objective: str
    target: float
    total: int
    bad: int
    budget_left: float
    windows: tuple[WindowBurn, ...]

    @property
    def fast(self):
        """Whether the fast burn is on."""
        return any(window.on for window in self.windows if window.name == FAST.name)


def compute_burns(records, now_s=None):
    """Return the `Burn` of each service, organisation and objective in records.

    Args:
        records: Records of any nodes, in any order.
        now_s: End of all windows, in seconds of the records' clock; by default the
            end of the latest record.
    """
    if now_s is None:
        now_s = max((record.end_s for record in records), default=0.0)
    recent_records = [
        each for each in records if now_s - PERIOD_S < each.end_s <= now_s
    ]
    groups = group_records(recent_records)
    return [
        compute_burn(objective, group_key, groups[group_key], now_s)
        for group_key in sorted(groups)
        for objective in OBJECTIVES
    ]


def group_records(records):
    """Return records by service and organisation, and by service for all of them.

    Records without a service are ignored.
    """
    groups = {}
    for record in records:
        if not record.service:
            continue
        groups.setdefault((record.service, ALL_ORGANISATIONS), []).append(record)
        if record.organisation not in ("", ALL_ORGANISATIONS):
            group_key = record.service, record.organisation
            groups.setdefault(group_key, []).append(record)
    return groups


def compute_burn(objective, group_key, records, now_s):
    """Return the `Burn` of one objective over the records of one group."""
    latest = max(records, key=lambda record: record.end_s)
    target = objective.get_target(latest.objectives)
    total, bad = count_since(objective, records, now_s - PERIOD_S)
    windows = [
        compute_window(objective, records, window, target, now_s) for window in WINDOWS
    ]
    return Burn(
        service=group_key[0],
        organisation=group_key[1],
        objective=objective.name,
        target=target,
        total=total,
        bad=bad,
        budget_left=1.0 - compute_rate(total, bad, target),
        windows=tuple(windows),
    )


def compute_window(objective, records, window, target, now_s):
    """Return the `WindowBurn` of one pair of windows."""
    total, bad = count_since(objective, records, now_s - window.long_s)
    long_rate = compute_rate(total, bad, target)
    short_rate = compute_rate(
        *count_since(objective, records, now_s - window.short_s), target
    )
    on = total >= MIN_REQUESTS and min(long_rate, short_rate) >= window.threshold
    return WindowBurn(
        name=window.name,
        long_rate=long_rate,
        short_rate=short_rate,
        threshold=window.threshold,
        on=on,
    )


def count_since(objective, records, since_s):
    """Return the numbers of eligible and of bad requests after a time."""
    counts = [
        objective.count_requests(each) for each in records if each.end_s > since_s
    ]
    return sum(total for total, _ in counts), sum(bad for _, bad in counts)


def compute_rate(total, bad, target):
    """Return the burn rate: bad requests as a multiple of what the target allows."""
    if not bad:
        return 0.0
    allowed = (1.0 - target) * total
    return bad / allowed if allowed > 0 else float("inf")
