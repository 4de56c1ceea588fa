"""A second attempt that is made late is sent without the request's body.

Safe requests with a body of 2 KB go to a service with a server in each of two zones.
The server of the nearer zone is slow with a part of its requests, so that the node
sends these to the second server as well. When the first server answers while the second
attempt is being prepared, that attempt goes out with an empty body, and the server runs
it.
"""

import hashlib
import pathlib
import random
import threading
import time

from review.common2 import case, client, document
from review.common2.site import Site

HOST, KEY = "jepu9.example", "6wsjnbanfqasnmgkcuyj"
TIMEOUT_S = 6.0
BODY_BYTES = 2048
EPISODES = 8
EPISODE_S = 5.0
PAUSE_S = 3.0
WARM_UP_REQUESTS = 60
REQUEST_INTERVAL_S = 0.045
WORK_S = 0.1
# Share and factor of the slow requests; 0.4 and 8 are the largest that are named.
SLOW_SHARE = 0.4
SLOW_TIMES = (2.0, 3.2)


class GreyServer:
    """Working times of a server that is slow with a part of its requests."""

    def __init__(self):
        self.is_slow = False

    def choose_work_s(self, run):
        """Return the working time of a request in seconds, drawn from its id."""
        rng = random.Random(run.request_id)
        if self.is_slow and rng.random() < SLOW_SHARE:
            return WORK_S * rng.uniform(*SLOW_TIMES)
        return WORK_S * rng.uniform(0.9, 1.1)


class Requesters:
    """Requesters of one machine, and what they sent and got."""

    def __init__(self, address):
        self.sent = {}
        self.answers = {}
        self._address = address
        self._threads = []

    def send(self, request_id):
        """Send one request in the background."""
        rng = random.Random("body" + request_id)
        body = rng.randbytes(BODY_BYTES)
        self.sent[request_id] = body
        request = client.build_request(
            "POST", "/find/a?page=2", HOST, KEY, request_id, TIMEOUT_S, body
        )
        thread = threading.Thread(target=self._ask, args=(request_id, request))
        thread.start()
        self._threads.append(thread)

    def _ask(self, request_id, request):
        try:
            answer = client.ask(self._address, request, TIMEOUT_S + 2.0)
            self.answers[request_id] = answer.status
        except OSError as error:
            self.answers[request_id] = str(error)

    def join(self):
        """Wait for all answers."""
        for thread in self._threads:
            thread.join()


def play(record, trouble):
    """Play the case; return whether the rule was broken."""
    route = document.build_route(
        "r-find", HOST, "/find/", "safe", "dossier", TIMEOUT_S, 1.2
    )
    placements = [
        ("be-central-a", "archief"),
        ("be-central-a", "dossier"),
        ("be-central-b", "dossier"),
    ]
    with Site(placements, [route], [("pulo780", KEY)]) as site:
        front, near, far = site.machines
        grey = GreyServer()
        near.backend.choose_work_s = grey.choose_work_s
        far.backend.choose_work_s = GreyServer().choose_work_s
        requesters = Requesters(front.outbound)
        for number in range(WARM_UP_REQUESTS):
            requesters.send(f"w{number}")
            time.sleep(REQUEST_INTERVAL_S)
        for number in range(EPISODES):
            grey.is_slow = trouble
            send_for(requesters, f"q{number}", EPISODE_S)
            grey.is_slow = False
            send_for(requesters, f"p{number}", PAUSE_S)
        requesters.join()
        time.sleep(1.0)
        runs = [*near.backend.runs, *far.backend.runs]
        return judge(record, requesters, runs)


def send_for(requesters, name, duration_s):
    """Send requests for a number of seconds."""
    ends_at = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < ends_at:
        requesters.send(f"{name}-{number}")
        number += 1
        time.sleep(REQUEST_INTERVAL_S)


def judge(record, requesters, runs):
    """Return whether a server ran a request whose body was changed."""
    changed = 0
    for run in runs:
        body = requesters.sent.get(run.request_id)
        is_same = body == run.body and (run.method, run.target) == (
            "POST",
            "/find/a?page=2",
        )
        changed += not is_same
        record.note(
            f"run {run.request_id} at {run.server}: {len(run.body)} bytes, "
            f"sha256 {hashlib.sha256(run.body).hexdigest()[:12]}"
            f"{'' if is_same else ' CHANGED'}"
        )
    for request_id, body in requesters.sent.items():
        record.note(
            f"sent {request_id}: {len(body)} bytes, sha256 "
            f"{hashlib.sha256(body).hexdigest()[:12]}; answered "
            f"{requesters.answers.get(request_id)}"
        )
    record.add(
        f"{len(requesters.sent)} requests sent, {len(runs)} runs, {changed} runs with "
        "a changed body"
    )
    return changed > 0


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).parent, play)
