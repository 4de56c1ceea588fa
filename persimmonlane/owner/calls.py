"""Requests as the owner receives them, and its refusals of them."""

from ..errors import Refusal
from ..headers import find_first
from ..outcomes import OutcomeKind
from ..platform import headers as wire
from ..quarantine.fingerprints import compute_fingerprint
from ..serving.exchange import ExchangeError
from ..verdicts import Verdict

# Code of a request that was running as the backend server's process ended.
SERVER_CRASHED = "server-crashed"


class ForwardedCall:
    """A request as the owner received it.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: The `Header`s for the backend server.
        body: Bytes.
        received_at: Clock time at which it was received, in seconds.
        on_wait: Callable that is called repeatedly while the answer is awaited, and
            returns the seconds until the next call.
    """

    __slots__ = ("method", "target", "headers", "body", "received_at", "on_wait")

    def __init__(self, method, target, headers, body, received_at, on_wait):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.on_wait = on_wait

    def compute_fingerprint(self, order):
        """Return the fingerprint of the request with an `Order`."""
        return compute_fingerprint(
            self.method,
            find_first(self.headers, "host"),
            self.target,
            order.organisation,
            self.body,
        )


def get_echoed_request_id(headers):
    """Return the request identifier that an answer echoes."""
    return wire.parse_response_headers(headers).request_id


def build_crash_error():
    """Return the `ExchangeError` of a request that ran as its server crashed."""
    return ExchangeError(
        OutcomeKind.ERROR,
        Verdict.MAY_HAVE_RUN,
        SERVER_CRASHED,
        "the backend server's process has ended",
    )


def build_not_run_refusal(code, message, retry_after=0.0):
    """Return the `Refusal` of a request that the backend server did not run."""
    return Refusal(503, code, message, retry_after=retry_after)
