"""Plans.

Messages between the threads that carry requests and the traffic actor.
"""


class Snapshot:
    """What a request needs of one revision of the document.

    Attributes:
        view: The `DocumentView`.
        keys: The `KeyTable`.
        budgets: The retry budget of each service, by its name.
    """

    __slots__ = ("view", "keys", "budgets")

    def __init__(self, view, keys, budgets):
        self.view = view
        self.keys = keys
        self.budgets = budgets


class Arrival:
    """A request that asks for admission and a backend server.

    Attributes:
        organisation: Name of its organisation.
        service: Name of its service.
        idempotent: Whether it is idempotent.
        deadline: Monotonic seconds at which the caller gives up.
        excluded: Addresses that were tried before.
        retry: Whether it was admitted before and is sent again.
        reply: Future for the `Plan`, or a `Refusal`.
        plan: The `Plan` that was made, or None.
        abandoned: Whether nobody waits for the reply any more.
    """

    __slots__ = (
        "organisation",
        "service",
        "idempotent",
        "deadline",
        "excluded",
        "retry",
        "reply",
        "plan",
        "abandoned",
    )

    def __init__(
        self, organisation, service, idempotent, deadline, excluded, retry, reply
    ):
        self.organisation = organisation
        self.service = service
        self.idempotent = idempotent
        self.deadline = deadline
        self.excluded = excluded
        self.retry = retry
        self.reply = reply
        self.plan = None
        self.abandoned = False

    def answer(self, plan):
        """Reply with a plan."""
        self.plan = plan
        self.reply.set(plan)


class Abandoned:
    """Nobody waits for the reply to an arrival any more, as after a pause.

    Attributes:
        arrival: The `Arrival`.
    """

    __slots__ = ("arrival",)

    def __init__(self, arrival):
        self.arrival = arrival


class Plan:
    """Where a request goes.

    Attributes:
        address: Address of the backend server.
        attempt: Number of the attempt, for its outcome.
        silence_s: Seconds without answer after which a kept connection is
            suspected to be dead.
    """

    __slots__ = ("address", "attempt", "silence_s")

    def __init__(self, address, attempt, silence_s):
        self.address = address
        self.attempt = attempt
        self.silence_s = silence_s


class AttemptEnded:
    """An attempt has ended.

    Attributes:
        service: Name of the service.
        outcome: The `Outcome`.
    """

    __slots__ = ("service", "outcome")

    def __init__(self, service, outcome):
        self.service = service
        self.outcome = outcome


class ConnectionSuspected:
    """A kept connection gave no answer, which says nothing of the server yet.

    Attributes:
        service: Name of the service.
        address: Address of the backend server.
        attempt: Number of the attempt.
    """

    __slots__ = ("service", "address", "attempt")

    def __init__(self, service, address, attempt):
        self.service = service
        self.address = address
        self.attempt = attempt


class RequestEnded:
    """A request has been answered or given up.

    Attributes:
        service: Name of the service, or an empty string.
        organisation: Name of the organisation, or an empty string.
        status: HTTP status; 0 if the caller left.
        code: Stable error code, or an empty string.
        verdict: Whether the request may have run.
        latency_s: Seconds from arrival to the end of the answer.
    """

    __slots__ = ("service", "organisation", "status", "code", "verdict", "latency_s")

    def __init__(self, service, organisation, status, code, verdict, latency_s):
        self.service = service
        self.organisation = organisation
        self.status = status
        self.code = code
        self.verdict = verdict
        self.latency_s = latency_s
