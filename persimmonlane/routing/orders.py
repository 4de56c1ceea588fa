"""Orders.

What nodes and backend servers tell each other of a request.
"""

import msgspec


class CallerMetadata:
    """What a caller states with its request.

    Attributes:
        request_id: Identifier of the request.
        time_left_s: Seconds that the caller waits, or None.
        key: Key of its organisation, or an empty string.
    """

    __slots__ = ("request_id", "time_left_s", "key")

    def __init__(self, request_id, time_left_s, key):
        self.request_id = request_id
        self.time_left_s = time_left_s
        self.key = key


class AnswerMetadata:
    """What a backend server states with its answer.

    Attributes:
        request_id: Identifier of the request that it answers.
        signed: Whether the answer bears a signature.
        not_run: Whether it states that the request did not run.
    """

    __slots__ = ("request_id", "signed", "not_run")

    def __init__(self, request_id, signed, not_run):
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run


class Order(msgspec.Struct, array_like=True):
    """What an ingress node tells the owner of a backend server about a request.

    Attributes:
        request_id: Identifier of the request.
        server_id: Identifier of the backend server that was chosen.
        service: Name of its service.
        caller_service: Service of the VM on which the request began.
        organisation: Name of the organisation, empty on open routes.
        idempotent: Whether the request may run more than once.
        rank: Urgency in the queue; 0 is the most urgent.
        route: Name of the route, under which times are learned.
        time_left_s: Seconds left when the order was sent.
        max_wait_s: Longest estimated wait for a slot that is accepted.
        objective_s: Latency objective of the route, in seconds.
        force: Whether an ejected backend server is to take it all the same.
    """

    request_id: str
    server_id: str
    service: str
    caller_service: str
    organisation: str
    idempotent: bool
    rank: int
    route: str
    time_left_s: float
    max_wait_s: float
    objective_s: float
    force: bool = False


class OwnerReport(msgspec.Struct, array_like=True):
    """What an owner tells with every answer.

    Attributes:
        verdict: Value of the `Verdict` on this attempt.
        code: Stable code of the failure; empty if a backend server answered.
        running: Requests that run on its backend server.
        waiting: Requests that wait for it at the owner.
        standing: Standing of the backend server.
        wait_s: Seconds until a slot is expected.
        suspect: Whether the server is turned down for what can't be repeated.
    """

    verdict: str
    code: str
    running: int
    waiting: int
    standing: str
    wait_s: float = 0.0
    suspect: bool = False
