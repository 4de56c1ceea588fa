"""Processor time of one decision of the fair order of waiting requests.

Prints the mean time to add a request, list what goes before it, choose the next one and
charge it, by the number of waiting requests, each of another organisation.
"""

import sys
import time

from persimmonlane.clocks import SystemClock
from persimmonlane.owner.admission import Ticket
from persimmonlane.owner.fairness import FairOrder
from persimmonlane.owner.latency import LatencyModel

ROUNDS = 2000
WAITING_COUNTS = (5, 20, 60)
US_PER_S = 1e6


def measure_us(waiting):
    """Return the mean microseconds of one decision.

    Args:
        waiting: Number of requests that wait.
    """
    order, latency = FairOrder(SystemClock()), LatencyModel(1.0)

    def build(number):
        return Ticket(latency, 1, 9.0, 9.0, None, False, f"o-{number}")

    for number in range(waiting):
        order.push(build(number))
    tickets = [build(number % (2 * waiting)) for number in range(ROUNDS)]
    for ticket in tickets:
        ticket.estimate_cost()
    started = time.process_time()
    for ticket in tickets:
        order.list_ahead(1, ticket.organisation)
        order.estimate_others(1, ticket.organisation)
        order.push(ticket)
        order.note_grant(order.pop())
    return (time.process_time() - started) / ROUNDS * US_PER_S


def main():
    """Print the times; return the exit status."""
    for waiting in WAITING_COUNTS:
        print(f"{waiting:3} waiting: {measure_us(waiting):6.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
