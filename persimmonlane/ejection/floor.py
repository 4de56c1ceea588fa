"""Floor.

The least capacity, in slots, that ejection leaves in service.
"""

from ..invariants import check_invariant

TOLERANCE_SLOTS = 1e-6


def count_spare_slots(records, share):
    """Return the healthy slots above the floor; negative if below it.

    Args:
        records: `ServerRecord` of each announced backend server.
        share: Least share of the announced slots that stays healthy.
    """
    announced = sum(record.server.slots for record in records)
    healthy = sum(record.server.slots for record in records if record.is_healthy())
    return healthy - share * announced


def is_below_floor(records, share):
    """Return whether healthy capacity is below the floor."""
    return count_spare_slots(records, share) < -TOLERANCE_SLOTS


def allows_ejection(records, share, record):
    """Return whether a healthy backend server may be ejected."""
    spare_slots = count_spare_slots(records, share)
    return spare_slots - record.server.slots >= -TOLERANCE_SLOTS


def find_least_bad(records):
    """Return the backend server out of service that comes back first."""
    waiting = [record for record in records if not record.is_healthy()]
    return min(waiting, key=rank_badness)


def rank_badness(record):
    """Return the sort key of a backend server that is out of service."""
    in_trial = record.good > record.bad
    return (not in_trial, record.severity, record.until, record.server.address)


def check_floor(records, share):
    """Check that ejection leaves the floor.

    Raises:
        InvariantError: If it does not.
    """
    spare_slots = count_spare_slots(records, share)
    check_invariant(
        "floor",
        spare_slots >= -TOLERANCE_SLOTS,
        f"healthy capacity is {-spare_slots:.1f} slots below the floor",
    )
