"""A backend server that has left a node which was just started gets requests again."""

import threading
import time

from review.harness.cases import is_troubled, run_case
from review.harness.client import Channel
from review.harness.site import Site, build_limits, build_route, build_service

SERVICE = "aangifte"
WORK_S = 0.05
TIMEOUT_S = 4.0
# Bounds of the site.
DRAIN_S = 2.0
CONTACT_S = 3.0
# From the moment at which the last check-in is sent until the backend server leaves,
# and until that check-in arrives.
LEAVES_AFTER_S = 0.3
CHECKIN_TAKES_S = 2.5
# From the acknowledgement on, the backend server serves for so long.
SERVES_FOR_S = 9.0
REQUEST_INTERVAL_S = 0.1


def build_resources():
    """Return the entries of the configuration."""
    return [
        build_route(SERVICE, "unsafe", TIMEOUT_S),
        build_service(SERVICE),
        build_limits(),
    ]


def send_requests(site, machine, until_s, answers):
    """Send requests to the node of a machine until a time of the record."""
    channel = Channel(machine.get_address("outbound"), site.record)
    while site.record.now_s() < until_s:
        path = f"/{SERVICE}/unsafe/filing"
        answers.append(channel.send("POST", path, TIMEOUT_S, b"declaration"))
        time.sleep(REQUEST_INTERVAL_S)
    channel.close()


def send_all(site, until_s):
    """Send requests to all nodes until a time of the record; return the answers."""
    answers = []
    threads = [
        threading.Thread(target=send_requests, args=(site, machine, until_s, answers))
        for machine in site.machines
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def sleep_until(record, at_s):
    """Sleep until a time of the record."""
    time.sleep(max(0.0, at_s - record.now_s()))


def restart_node(site, machine, record):
    """Stop a node in good order and wait until it is ready again.

    Its backend server sends no check-ins until then, as the node takes none.
    """
    machine.sends_checkins = False
    machine.restart_node()
    time.sleep(1.0)
    site.wait_ready()
    record.note("node-ready-again", node=machine.name)


def leave(machine, record):
    """Let a backend server send a check-in that is late, and then leave.

    Returns:
        The seconds of the record at which the leaving was acknowledged.
    """
    backend, control = machine.backend, machine.get_address("control")
    machine.sends_checkins = False
    late_checkin = backend.build_checkin()
    record.note("checkin-sent", server=backend.server_id)

    def deliver():
        status = backend.send_checkin(control, late_checkin)
        record.note("late-checkin-arrived", server=backend.server_id, status=status)

    timer = threading.Timer(CHECKIN_TAKES_S, deliver)
    timer.start()
    time.sleep(LEAVES_AFTER_S)
    status = backend.send_leave(control, with_birth=False)
    backend.state = "draining"
    at_s = record.note("leaving-acknowledged", server=backend.server_id, status=status)
    timer.join()
    return at_s


def find_violations(machine, answers, left_at_s):
    """Return the `Run`s that break the rule; all nodes are in touch by then."""
    sent_ids = {answer.request_id for answer in answers}
    return [
        run
        for run in machine.backend.runs
        if run.at_s > left_at_s + DRAIN_S and run.request_id in sent_ids
    ]


def play(record):
    """Play the case; return whether the rule held."""
    site = Site(record, [("be-central-a", SERVICE)] * 3, lambda target: WORK_S)
    try:
        site.start(build_resources())
        leaving = site.machines[0]
        if is_troubled():
            restart_node(site, leaving, record)
        ready_at_s = record.now_s()
        left_at_s = leave(leaving, record)
        sleep_until(record, ready_at_s + CONTACT_S)
        record.note("all-in-touch")
        answers = send_all(site, left_at_s + SERVES_FOR_S)
        violations = find_violations(leaving, answers, left_at_s)
        first_s = round(violations[0].at_s - left_at_s, 3) if violations else None
        record.note(
            "result",
            too_late=len(violations),
            first_s_after_leaving=first_s,
            sent=len(answers),
            served=sum(answer.status == 200 for answer in answers),
        )
        return not violations
    finally:
        site.stop()


run_case(__file__, play)
