"""Burn rates.

How fast each service's error budget is spent, over pairs of windows.
"""

import msgspec

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
PERIOD_S = 30 * DAY_S
LEAST_REQUESTS = 20
ALL = "*"


class Window(msgspec.Struct, frozen=True):
    """A pair of windows; a burn is on while both are at or above the threshold.

    Attributes:
        name: Name of the pair.
        long_s: Length of the long window, which says that the burn matters.
        short_s: Length of the short window, which says that it still goes on.
        threshold: Burn rate; 1 spends the budget exactly over the period.
    """

    name: str
    long_s: float
    short_s: float
    threshold: float


FAST = Window("fast", HOUR_S, HOUR_S / 12, 14.4)
SLOW = Window("slow", 6 * HOUR_S, HOUR_S / 2, 6.0)
TICKET = Window("ticket", 3 * DAY_S, 6 * HOUR_S, 1.0)
WINDOWS = (FAST, SLOW, TICKET)


class Availability:
    """The objective on answers without error."""

    name = "availability"

    @staticmethod
    def get_target(objectives):
        """Return the wanted share."""
        return objectives.availability

    @staticmethod
    def count(record):
        """Return the requests of a record that count, and the bad ones."""
        return record.eligible, record.errors


class Latency:
    """The objective on answers in time."""

    name = "latency"

    @staticmethod
    def get_target(objectives):
        """Return the wanted share."""
        return objectives.latency_share

    @staticmethod
    def count(record):
        """Return the requests of a record that count, and the bad ones."""
        return record.answered, record.late


OBJECTIVES = (Availability, Latency)


class WindowBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rates over one pair of windows.

    Attributes:
        name: Name of the pair.
        long_rate: Burn rate over the long window.
        short_rate: Burn rate over the short window.
        threshold: Rate from which on the burn is on.
        on: Whether both rates are at or above the threshold.
    """

    name: str
    long_rate: float
    short_rate: float
    threshold: float
    on: bool


class Burn(msgspec.Struct, frozen=True, kw_only=True):
    """Spending of the error budget of one objective.

    Attributes:
        service: Name of the service.
        organisation: Name of the organisation, or `ALL`.
        objective: Name of the objective.
        target: Wanted share of good requests.
        total: Requests in the period that count.
        bad: Those that missed the objective.
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
    """Return the burns of records, by service, organisation and objective.

    Args:
        records: The records of any nodes, in any order.
        now_s: End of all windows, in the records' seconds; by default the end of
            the latest record.
    """
    if now_s is None:
        now_s = max((record.end_s for record in records), default=0.0)
    recent = [each for each in records if now_s - PERIOD_S < each.end_s <= now_s]
    groups = group_records(recent)
    return [
        compute_burn(objective, names, groups[names], now_s)
        for names in sorted(groups)
        for objective in OBJECTIVES
    ]


def group_records(records):
    """Return records by service and organisation, and by service and `ALL`."""
    groups = {}
    for record in records:
        if not record.service:
            continue
        groups.setdefault((record.service, ALL), []).append(record)
        if record.organisation not in ("", ALL):
            names = record.service, record.organisation
            groups.setdefault(names, []).append(record)
    return groups


def compute_burn(objective, names, records, now_s):
    """Return the `Burn` of one objective over the records of one group."""
    latest = max(records, key=lambda record: record.end_s)
    target = objective.get_target(latest.objectives)
    total, bad = count_since(objective, records, now_s - PERIOD_S)
    windows = [
        compute_window(objective, records, window, target, now_s) for window in WINDOWS
    ]
    return Burn(
        service=names[0],
        organisation=names[1],
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
    on = total >= LEAST_REQUESTS and min(long_rate, short_rate) >= window.threshold
    return WindowBurn(
        name=window.name,
        long_rate=long_rate,
        short_rate=short_rate,
        threshold=window.threshold,
        on=on,
    )


def count_since(objective, records, since_s):
    """Return the requests that count, and the bad ones, of records after a time."""
    counts = [objective.count(each) for each in records if each.end_s > since_s]
    return sum(total for total, _ in counts), sum(bad for _, bad in counts)


def compute_rate(total, bad, target):
    """Return bad requests as a multiple of what the target allows."""
    if not bad:
        return 0.0
    allowed = (1.0 - target) * total
    return bad / allowed if allowed > 0 else float("inf")
