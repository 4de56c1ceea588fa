"""Platform headers.

Parses and builds the HTTP headers that the platform defines.
"""

import re

from ..headers import Header, find_first, find_values
from ..owner.newcomers import Condition, ServerStatement
from ..routing.metadata import AnswerMetadata, CallerMetadata

REQUEST_ID = "X-Request-Id"
# Milliseconds that the sender will still wait for the response.
TIMEOUT = "X-Timeout-Ms"
# API key of the caller's organisation.
CREDENTIAL = "X-Credential"
RESPONSE_SIGNATURE = "X-Response-Signature"
# Name of the organisation that the API key belongs to.
ORGANISATION = "X-Tenant"
CALLER_SERVICE = "X-Caller-Service"
# Identifier of the only backend server that may run the request.
TARGET_INSTANCE = "X-Target-Instance"
# Identifier of the backend server that answers a status check.
INSTANCE = "X-Instance-Id"
# Set by a backend server that answers without having run the request.
NOT_EXECUTED = "X-Not-Executed"
# Requests per second that a backend server takes from all nodes together.
SERVER_LIMIT = "Server-Limit"
# Set to `LEAVING` by a backend server that takes no new requests for good.
SERVER_LEAVING = "Server-Leaving"
LEAVING = "1"
# Milliseconds for which a backend server remains cold, in answers to status checks.
COLD = "X-Cold-Ms"

# Lower-case names of the headers that are removed from a caller's request before it is
# forwarded; the node sets its own values where a backend server needs them.
STRIPPED = frozenset(
    name.lower()
    for name in (TIMEOUT, CREDENTIAL, ORGANISATION, CALLER_SERVICE, TARGET_INSTANCE)
)
HTTP_OK = 200
# A backend server that fails or leaves answers its status check so.
HTTP_UNAVAILABLE = 503
MS_PER_S = 1000.0
MAX_TIMEOUT_DIGITS = 9
# An hour, as in heartbeats; longer times are malformed.
MAX_COLD_MS = 3_600_000
COLD_PATTERN = re.compile(r"[0-9]{1,7}(\.[0-9]{0,9})?", re.ASCII)
LIMIT_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}", re.ASCII)


def parse_request_headers(headers):
    """Return the `CallerMetadata` parsed from the headers of a caller's request."""
    return CallerMetadata(
        find_first(headers, REQUEST_ID),
        parse_timeout(find_first(headers, TIMEOUT)),
        find_first(headers, CREDENTIAL),
    )


def parse_timeout(text):
    """Return a timeout header's value in seconds, or None if missing or malformed."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS):
        return None
    return int(text) / MS_PER_S


def build_backend_headers(order, time_left_s, server_id):
    """Return the headers that the node adds to a request to a backend server.

    Args:
        order: The `Order` for the request.
        time_left_s: Seconds until the deadline of the request.
        server_id: Identifier of the backend server.
    """
    headers = [
        Header(TIMEOUT, str(max(1, int(time_left_s * MS_PER_S)))),
        Header(TARGET_INSTANCE, encode_name(server_id)),
        Header(CALLER_SERVICE, encode_name(order.caller_service)),
    ]
    if order.organisation:
        headers.append(Header(ORGANISATION, encode_name(order.organisation)))
    return headers


def encode_name(name):
    """Return a name as a header value, which stands for the name's bytes in UTF-8."""
    return name.encode("utf-8", "surrogatepass").decode("latin-1")


def decode_name(value):
    """Return the name in a header value; the value itself if it isn't UTF-8."""
    try:
        return value.encode("latin-1").decode()
    except UnicodeError:
        return value


def is_stripped(name):
    """Return whether a caller's header is removed before the request is forwarded."""
    return name.lower() in STRIPPED


def parse_response_headers(headers):
    """Return the `AnswerMetadata` parsed from a backend server's response headers."""
    limits = find_values(headers, SERVER_LIMIT.lower())
    limit = parse_limit(limits[0]) if limits else None
    return AnswerMetadata(
        find_first(headers, REQUEST_ID),
        bool(find_first(headers, RESPONSE_SIGNATURE)),
        bool(find_first(headers, NOT_EXECUTED)),
        limit,
        bool(limits) and limit is None,
        find_first(headers, SERVER_LEAVING).strip() == LEAVING,
    )


def parse_status_answer(status, headers):
    """Return the `ServerStatement` in the answer to a status check.

    Args:
        status: HTTP status.
        headers: List of `Header`s.
    """
    server_id = decode_name(find_first(headers, INSTANCE))
    if find_first(headers, NOT_EXECUTED) or not server_id:
        return ServerStatement("", Condition.UNKNOWN)
    if status == HTTP_OK:
        cold_s = parse_cold_time(find_values(headers, COLD.lower()))
        return ServerStatement(server_id, Condition.WELL, cold_s, cold_s is None)
    if status == HTTP_UNAVAILABLE:
        return ServerStatement(server_id, Condition.ILL)
    return ServerStatement(server_id, Condition.UNKNOWN)


def parse_cold_time(values):
    """Return the seconds for which a server remains cold, or None if malformed.

    Args:
        values: Values of the header; a server that is warm need not send it.
    """
    if not values:
        return 0.0
    text = values[0].strip()
    if len(values) > 1 or not COLD_PATTERN.fullmatch(text):
        return None
    cold_ms = float(text)
    return cold_ms / MS_PER_S if cold_ms <= MAX_COLD_MS else None


def parse_limit(text):
    """Return a limit header's value in requests per second, or None if malformed."""
    text = text.strip()
    return float(text) if LIMIT_PATTERN.fullmatch(text) else None


def build_request_id_header(request_id):
    """Return the response header that carries the request's identifier."""
    return Header(REQUEST_ID, request_id)
