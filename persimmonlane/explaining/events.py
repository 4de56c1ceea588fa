"""Events.

Decisions that touch a request, one class each. A field's name carries its unit; no
field holds a key or a body.
"""

import logging

log = logging.getLogger("persimmonlane.explaining")

SERVER_FAULT = 500


class Event:
    """A decision.

    A subclass names its fields in `__slots__`, in the order in which they are given.
    """

    __slots__ = ()

    name = ""
    prefix = ""
    text = ""

    def __init__(self, *values):
        for field, value in zip(self.__slots__, values, strict=True):
            setattr(self, field, value)

    def describe(self):
        """Return the fields of the event's log line."""
        fields = {"event": self.name}
        for field in self.__slots__:
            value = getattr(self, field)
            fields[field] = round(value, 4) if isinstance(value, float) else value
        return fields

    def is_plain(self):
        """Return whether it tells of success only, and may be left out first."""
        return False


class AttemptEnded(Event):
    """An ingress node's attempt to have a request served has ended.

    Attributes:
        request: Identifier of the request.
        route: Name of its route.
        service: Name of the service.
        server: Identifier of the backend server.
        owner: Name of the node beside it.
        near: Whether it is in the node's own data centre.
        second: Whether it ran beside a first one.
        last: Whether it was a last resort.
        outcome: `answered`, or the code of the failure.
        verdict: Value of the `Verdict`, empty if nobody waited any more.
        status: HTTP status of the backend server's answer, or 0.
        patience_s: Longest wait for a slot that was accepted, in seconds.
        wait_s: Wait for a slot that the owner expected, in seconds.
        left_s: Seconds that were left when it began.
        took_s: Seconds that it took.
        server_running: Requests that were thought to run there.
        server_standing: What was thought of the backend server.
        news_age_s: Age of what was known of it, in seconds; 0 for the own one.
    """

    __slots__ = (
        "request",
        "route",
        "service",
        "server",
        "owner",
        "near",
        "second",
        "last",
        "outcome",
        "verdict",
        "status",
        "patience_s",
        "wait_s",
        "left_s",
        "took_s",
        "server_running",
        "server_standing",
        "news_age_s",
    )

    name = "attempt-ended"
    prefix = "Serving"
    text = "an attempt at {server} ended: {outcome}"

    def is_plain(self):
        """Return whether a backend server answered without a failure."""
        return self.outcome == "answered" and self.status < SERVER_FAULT


class OwnerEnded(Event):
    """The owner is done with a request.

    Attributes:
        request: Identifier of the request.
        route: Name of its route.
        server: Identifier of the backend server.
        outcome: `answered`, or the code of the refusal or failure.
        verdict: Value of the `Verdict`, empty if nobody waited any more.
        status: HTTP status of the backend server's answer, or 0.
        rank: Urgency; 0 is the most urgent.
        waited_s: Seconds until it got its slot, or all of them if it got none.
        took_s: Seconds at the backend server.
        running: Requests that hold a slot now.
        waiting: Requests that wait now.
        standing: What is thought of the backend server now.
    """

    __slots__ = (
        "request",
        "route",
        "server",
        "outcome",
        "verdict",
        "status",
        "rank",
        "waited_s",
        "took_s",
        "running",
        "waiting",
        "standing",
    )

    name = "owner-ended"
    prefix = "Owner"
    text = "{server} is done with a request: {outcome}"

    def is_plain(self):
        """Return whether the backend server answered without a failure."""
        return self.outcome == "answered" and self.status < SERVER_FAULT


class RequestEnded(Event):
    """A caller's request has ended.

    Attributes:
        request: Identifier of the request.
        route: Name of its route, empty if none matched.
        service: Name of the chosen service, empty before it was chosen.
        organisation: Name of the organisation, empty if none is known.
        status: HTTP status that the caller got, 0 if it had left.
        code: `answered`, `caller-left`, or the code of the node's own answer.
        verdict: Value of the `Verdict`, empty if the caller had left.
        reason: Sentence on the cause, empty for answers of backend servers.
        document: Version of the document in force.
        fresh_age_s: Seconds since it was known to be the newest, -1 if never.
        age_s: Seconds since the request came.
        received_s: Seconds until its body had been read, -1 if it never was.
        leaving_s: Seconds since the node was told to stop, -1 if it was not.
    """

    __slots__ = (
        "request",
        "route",
        "service",
        "organisation",
        "status",
        "code",
        "verdict",
        "reason",
        "document",
        "fresh_age_s",
        "age_s",
        "received_s",
        "leaving_s",
    )

    name = "request-ended"
    prefix = "Serving"
    text = "a request ended with {status}: {code}"

    def is_plain(self):
        """Return whether a backend server answered without a failure."""
        return self.code == "answered" and self.status < SERVER_FAULT


class RequestUnfinished(Event):
    """A caller's request still runs though its node ends now.

    Attributes:
        request: Identifier of the request.
        route: Name of its route, empty before it was found.
        service: Name of the chosen service, empty before it was chosen.
        stage: Value of the `Stage`: what it waits for.
        server: Identifier of the backend server that was asked last.
        age_s: Seconds since the request came.
        received_s: Seconds until its body had been read, -1 if it is still awaited.
        leaving_s: Seconds since the node was told to stop.
    """

    __slots__ = (
        "request",
        "route",
        "service",
        "stage",
        "server",
        "age_s",
        "received_s",
        "leaving_s",
    )

    name = "request-unfinished"
    prefix = "Serving"
    text = "a request is unfinished as the node ends: {stage}"


def log_event(event):
    """Write an event's log line."""
    fields = event.describe()
    # Plain successes are the first that the log leaves out.
    level = logging.INFO if event.is_plain() else logging.WARNING
    log.log(level, f"{event.prefix}: {event.text.format(**fields)}.", extra=fields)
