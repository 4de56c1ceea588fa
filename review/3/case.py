"""A backend server that has left gets requests again after all nodes were killed."""

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
# Times after the acknowledgement of the leaving, in seconds.
KILL_AFTER_S = 0.5
LATE_CHECKIN_AFTER_S = 3.0
# The backend server goes on serving until then.
SERVES_FOR_S = 10.0
# Time before the acknowledgement at which the late check-in was sent.
SENT_BEFORE_S = 0.4
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


def sleep_until(record, at_s):
    """Sleep until a time of the record."""
    time.sleep(max(0.0, at_s - record.now_s()))


def leave(machine, record):
    """Let a backend server leave: it sends DELETE first, and serves on.

    Returns:
        Its last check-in, which is still on its way, and the seconds of the record at
        which the leaving was acknowledged.
    """
    machine.sends_checkins = False
    late_checkin = machine.backend.build_checkin()
    record.note("checkin-sent", server=machine.backend.server_id)
    time.sleep(SENT_BEFORE_S)
    status = machine.backend.send_leave(machine.get_address("control"))
    machine.backend.state = "draining"
    at_s = record.note(
        "leaving-acknowledged", server=machine.backend.server_id, status=status
    )
    return late_checkin, at_s


def find_violations(machine, answers, left_at_s, in_touch_at_s):
    """Return the `Run`s that break the rule: too late, by machines in touch."""
    sent_at_s = {answer.request_id: answer.sent_at_s for answer in answers}
    return [
        run
        for run in machine.backend.runs
        if run.at_s > left_at_s + DRAIN_S
        and sent_at_s.get(run.request_id, 0.0) > in_touch_at_s
    ]


def kill_all_nodes(site):
    """Kill all nodes at the same moment."""
    for machine in site.machines:
        machine.kill_node()


def play(record):
    """Play the case; return whether the rule held."""
    site = Site(record, [("be-central-a", SERVICE)] * 3, lambda target: WORK_S)
    try:
        site.start(build_resources())
        leaving = site.machines[0]
        late_checkin, left_at_s = leave(leaving, record)
        sleep_until(record, left_at_s + KILL_AFTER_S)
        started_at_s = record.now_s()
        if is_troubled():
            kill_all_nodes(site)
            time.sleep(1.0)
            site.wait_ready()
            started_at_s = record.note("nodes-ready-again")
        sleep_until(record, left_at_s + LATE_CHECKIN_AFTER_S)
        status = leaving.backend.send_checkin(
            leaving.get_address("control"), late_checkin
        )
        record.note("late-checkin-arrived", status=status)
        in_touch_at_s = started_at_s + CONTACT_S
        sleep_until(record, in_touch_at_s)
        answers = []
        until_s = left_at_s + SERVES_FOR_S
        threads = [
            threading.Thread(
                target=send_requests, args=(site, machine, until_s, answers)
            )
            for machine in site.machines
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        violations = find_violations(leaving, answers, left_at_s, in_touch_at_s)
        served = sum(answer.status == 200 for answer in answers)
        record.note(
            "result",
            too_late=len(violations),
            first_s_after_leaving=round(violations[0].at_s - left_at_s, 3)
            if violations
            else None,
            sent=len(answers),
            served=served,
        )
        return not violations
    finally:
        site.stop()


run_case(__file__, play)
