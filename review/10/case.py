"""A route whose name is not ASCII is served by no other node.

The operator adds a route named `r-réservation`. From then on its requests are refused
by every node but those beside a server of its service, though servers are idle. The
routes of before are served.
"""

import pathlib
import time

from review.common2 import case, client, document
from review.common2.site import Site

HOST, KEY = "jepu9.example", "6wsjnbanfqasnmgkcuyj"
TIME_LIMIT_S = 6.0
REQUESTS = 60
INTERVAL_S = 0.05
# Longer than `ConfigApplyS` and the time after which the state counts as steady.
SETTLE_S = 6.0
# The rule: on routes that were added later, at least a quarter as often.
MIN_SHARE = 0.25


def build_route(name, prefix):
    """Return a route to the service."""
    return document.build_route(
        name, HOST, prefix, "unsafe", "aangifte", TIME_LIMIT_S, 1.2
    )


def count_served(record, site, prefix):
    """Send requests on a route to all machines; return the number of successes."""
    served = 0
    for number in range(REQUESTS):
        machine = site.machines[number % 2]
        request_id = f"{site.version}{prefix.strip('/')}{number}"
        request = client.build_request(
            "POST", f"{prefix}x", HOST, KEY, request_id, TIME_LIMIT_S, b"declaration"
        )
        answer = client.ask(machine.outbound, request, TIME_LIMIT_S)
        served += answer.status == 200
        record.note(
            f"{request_id} to {machine.name}: {answer.status} {answer.body[:60]!r}"
        )
        time.sleep(INTERVAL_S)
    return served


def play(record, trouble):
    """Play the case; return whether the rule was broken."""
    first = build_route("r-first", "/first/")
    placements = [("be-central-a", "archief"), ("be-central-b", "dossier")]
    placements += [("be-central-a", "aangifte"), ("be-central-b", "aangifte")]
    with Site(placements, [first], [("pulo780", KEY)]) as site:
        name = "r-réservation" if trouble else "r-reservation"
        site.publish([first, build_route(name, "/added/")])
        time.sleep(SETTLE_S)
        on_first = count_served(record, site, "/first/")
        on_added = count_served(record, site, "/added/")
        runs = sum(len(machine.backend.runs) for machine in site.machines)
        record.add(
            f"route {name!r}: {on_added} of {REQUESTS} requests served, on the first "
            f"route {on_first} of {REQUESTS}; {runs} runs"
        )
        return on_added < on_first * MIN_SHARE


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play)
