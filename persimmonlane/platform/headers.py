"""Headers.

The platform's HTTP headers, decoded into what they say.
"""

from ..headers import Header, find_first
from ..routing.metadata import AnswerMetadata, CallerMetadata

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender goes on waiting.
TIME_LEFT = "X-Timeout-Ms"
KEY = "X-Credential"
SIGNATURE = "X-Response-Signature"
ORGANISATION = "X-Tenant"
CALLER_SERVICE = "X-Caller-Service"
# Identifier of the backend server that alone may run the request.
TARGET = "X-Target-Instance"
NOT_RUN = "X-Not-Executed"

# Headers of a caller that never reach a backend server as the caller wrote them.
REPLACED = frozenset(
    name.lower() for name in (TIME_LEFT, KEY, ORGANISATION, CALLER_SERVICE, TARGET)
)
MS_PER_S = 1000.0
TIME_DIGITS = 9


def read_wishes(headers):
    """Return the `CallerMetadata` that a caller's headers state."""
    return CallerMetadata(
        find_first(headers, REQUEST_ID),
        parse_time_left(find_first(headers, TIME_LEFT)),
        find_first(headers, KEY),
    )


def parse_time_left(text):
    """Return the seconds that a caller waits, or None if it does not say."""
    if not (text.isascii() and text.isdigit() and len(text) <= TIME_DIGITS):
        return None
    return int(text) / MS_PER_S


def build_backend_headers(order, time_left_s, target):
    """Return the headers that the node sets on the way to a backend server.

    Args:
        order: The `Order`.
        time_left_s: Seconds that are left for the request.
        target: Identifier of the backend server.
    """
    headers = [
        Header(TIME_LEFT, str(max(1, int(time_left_s * MS_PER_S)))),
        Header(TARGET, target),
        Header(CALLER_SERVICE, order.caller_service),
    ]
    if order.organisation:
        headers.append(Header(ORGANISATION, order.organisation))
    return headers


def is_replaced(name):
    """Return whether a caller's header is dropped or set by the node."""
    return name.lower() in REPLACED


def read_marks(headers):
    """Return the `AnswerMetadata` of a backend server's answer."""
    return AnswerMetadata(
        find_first(headers, REQUEST_ID),
        bool(find_first(headers, SIGNATURE)),
        bool(find_first(headers, NOT_RUN)),
    )


def echo_id(request_id):
    """Return the header that names the request which an answer belongs to."""
    return Header(REQUEST_ID, request_id)
