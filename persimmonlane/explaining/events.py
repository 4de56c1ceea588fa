"""Structured log events.

One class for each decision that a node logs about a request. A field's name carries
its unit. No field holds an API key or a request or response body.
"""

import logging

from ..identifiers import abbreviate

log = logging.getLogger("persimmonlane.explaining")

SERVER_ERROR_STATUS = 500


class Event:
    """Base class of log events.

    A subclass names its log fields in `__slots__`, in the order of the arguments of
    its constructor.

    Attributes:
        name: Value of the log line's `event` field.
        prefix: Part of the node that logs the event; starts the message.
        text: Template of the message, filled in with the event's fields.
    """

    __slots__ = ()

    name = ""
    prefix = ""
    text = ""

    def __init__(self, *values):
        for field, value in zip(self.__slots__, values, strict=True):
            setattr(self, field, value)

    def describe(self):
        """Return the fields of the event's log line; floats are rounded to 4 digits."""
        fields = {"event": self.name}
        for field in self.__slots__:
            value = getattr(self, field)
            fields[field] = round(value, 4) if isinstance(value, float) else value
        if "request" in fields:
            fields["request"] = abbreviate(fields["request"])
        return fields

    def is_success(self):
        """Return whether the event reports a success, which the log may drop first."""
        return False


class AttemptEnded(Event):
    """An ingress node's attempt to get a request served has ended.

    Attributes:
        request: Identifier of the request.
        route: Name of the request's route.
        service: Name of the service.
        server: Identifier of the backend server.
        owner: Name of the node that owns the backend server.
        near: Whether the backend server is in the ingress node's data centre.
        locality: How far it is: `data_centre`, `region` or `elsewhere`.
        reason: Why that data centre was selected: `nearby`, `overflow` (too much for
            the servers nearby), `refused` (by those tried before); empty if that was
            not weighed.
        second: Whether it was a hedge, run in parallel to a first attempt.
        last: Whether it was a last resort, which an ejected backend server accepts too.
        outcome: `answered`, or the code of the failure.
        verdict: Value of the `Verdict`, empty if nobody waited for it any longer.
        status: HTTP status of the backend server's answer, or 0.
        patience_s: Longest acceptable wait for a slot, in seconds.
        wait_s: Wait for a slot that the owner expected, in seconds.
        left_s: Time until the deadline when the attempt began, in seconds.
        took_s: Duration of the attempt, in seconds.
        server_running: Requests that ran there, as far as the node knew.
        server_standing: Health state of the backend server, as far as the node knew.
        news_age_s: Age of that knowledge, in seconds; 0 for the node's own backend
            server.
    """

    __slots__ = (
        "request",
        "route",
        "service",
        "server",
        "owner",
        "near",
        "locality",
        "reason",
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
    text = "attempt at {server} ended: {outcome}"

    def is_success(self):
        """Return whether a backend server answered without a failure."""
        return self.outcome == "answered" and self.status < SERVER_ERROR_STATUS


class OwnerEnded(Event):
    """An owner node has finished with a request.

    Attributes:
        request: Identifier of the request.
        route: Name of the request's route.
        server: Identifier of the backend server.
        outcome: `answered`, or the code of the refusal or failure.
        verdict: Value of the `Verdict`, empty if nobody waited for it any longer.
        status: HTTP status of the backend server's answer, or 0.
        rank: Priority; 0 is the most urgent.
        waited_s: Wait for a slot, in seconds; the whole time if it got none.
        took_s: Time at the backend server, in seconds.
        running: Number of requests that hold a slot now.
        waiting: Number of requests that wait for a slot now.
        standing: Health state of the backend server now.
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
    text = "{server} finished a request: {outcome}"

    def is_success(self):
        """Return whether the backend server answered without a failure."""
        return self.outcome == "answered" and self.status < SERVER_ERROR_STATUS


class RequestEnded(Event):
    """A caller's request has ended.

    Attributes:
        request: Identifier of the request.
        route: Name of the request's route, empty if none matched.
        service: Name of the chosen service, empty before it was chosen.
        organisation: Name of the organisation, empty if unknown.
        status: HTTP status of the answer, 0 if the caller had disconnected.
        code: `answered`, `caller-left`, or the code of the node's own answer.
        verdict: Value of the `Verdict`, empty if the caller had disconnected.
        reason: Description of the cause, empty for answers of backend servers.
        document: Version of the document in force.
        fresh_age_s: Seconds since the document was last known to be the newest, -1 if
            it never was.
        age_s: Seconds since the request arrived.
        received_s: Seconds from its arrival until its body was read, -1 if it never
            was.
        leaving_s: Seconds since the node was told to stop, -1 if it was not told.
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
    text = "request ended with status {status}: {code}"

    def is_success(self):
        """Return whether a backend server answered without a failure."""
        return self.code == "answered" and self.status < SERVER_ERROR_STATUS


class RequestUnfinished(Event):
    """A caller's request is still in progress while its node exits.

    Attributes:
        request: Identifier of the request.
        route: Name of the request's route, empty before it was found.
        service: Name of the chosen service, empty before it was chosen.
        stage: Value of the `Stage`: what the request waits for.
        server: Identifier of the backend server that was asked last.
        age_s: Seconds since the request arrived.
        received_s: Seconds from its arrival until its body was read, -1 if it is
            still awaited.
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
    text = "a request is unfinished as the node exits: {stage}"


class RequestImplicated(Event):
    """A backend server crashed while a request was running on it.

    Attributes:
        request: Identifier of the request.
        route: Name of the request's route.
        server: Identifier of the backend server.
        fingerprint: Fingerprint of the request, by which it is known when it comes
            again.
        crashes: Number of crashes in which requests with that fingerprint ran.
        running: Number of requests that ran on the backend server.
    """

    __slots__ = ("request", "route", "server", "fingerprint", "crashes", "running")

    name = "request-implicated"
    prefix = "Owner"
    text = "{server} crashed while a request was running"


class ResponseMalformed(Event):
    """A response of a backend server or another node can't be used.

    Attributes:
        request: Identifier of the request.
        address: Address that the response came from.
        reason: What is wrong with it, without bytes of the response.
    """

    __slots__ = ("request", "address", "reason")

    name = "response-malformed"
    prefix = "Serving"
    text = "the response of {address} is malformed: {reason}"


def log_event(event):
    """Log an event, at level INFO if it is a success and WARNING otherwise."""
    fields = event.describe()
    # The log queue drops INFO lines first when it fills up.
    level = logging.INFO if event.is_success() else logging.WARNING
    log.log(level, f"{event.prefix}: {event.text.format(**fields)}.", extra=fields)
