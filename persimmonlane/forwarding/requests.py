"""Requests.

Records of a caller's request on its way, and of the answer that it gets.
"""

import uuid


class Request:
    """A caller's request on its way.

    Attributes:
        id: Identifier of the request.
        method: HTTP method.
        target: Request target without keys.
        headers: The `Header`s, for the backend server once it is identified.
        body: The `RequestBody`.
        caller: The `CallerWatch`.
        route: The route.
        service: Policy of the service.
        budget: The service's retry budget.
        organisation: Name of the organisation.
        idempotent: Whether the request is idempotent.
        arrived: Monotonic seconds of its arrival.
        deadline: Monotonic seconds at which the caller gives up.
        attempts: The `RequestAttempts`, or None before the first.
    """

    __slots__ = (
        "id",
        "method",
        "target",
        "headers",
        "body",
        "caller",
        "route",
        "service",
        "budget",
        "organisation",
        "idempotent",
        "arrived",
        "deadline",
        "attempts",
    )

    def __init__(self, method, target, headers, body, caller, arrived):
        self.id = uuid.uuid4().hex
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.caller = caller
        self.route = None
        self.service = None
        self.budget = None
        self.organisation = ""
        self.idempotent = False
        self.arrived = arrived
        self.deadline = None
        self.attempts = None


class ForwardedAnswer:
    """An answer of a backend server, ready to be passed on.

    Attributes:
        status: HTTP status.
        headers: The `Header`s.
        length: Stated length in bytes, or None if the body is chunked.
        pieces: Iterator over the body.
    """

    __slots__ = ("status", "headers", "length", "pieces", "_source")

    def __init__(self, status, headers, length, pieces, source):
        self.status = status
        self.headers = headers
        self.length = length
        self.pieces = pieces
        self._source = source

    def close(self):
        """Cancel what has not arrived yet."""
        self._source.close()
