"""Answers that a node makes itself, for requests that it refuses or that failed."""

import http.client

import msgspec

from ..errors import Refusal
from ..headers import Header

VERDICT_HEADER = "Persimmon-Verdict"
# Longer than a request waits for room; a stalled connection is closed meanwhile.
ROOM_RETRY_AFTER_S = 2.5


class ErrorBody(msgspec.Struct):
    """JSON body of an answer that the node made itself.

    Attributes:
        code: Stable error code.
        message: Message for a person.
        verdict: Value of the `Verdict`: whether the request may have run.
    """

    code: str
    message: str
    verdict: str


def build_memory_refusal():
    """Return the `Refusal` of a request for which there is no memory."""
    return Refusal(
        503,
        "memory-full",
        "there is no room for the request",
        retry_after=ROOM_RETRY_AFTER_S,
    )


def get_reason_phrase(status):
    """Return the reason phrase of an HTTP status."""
    return http.client.responses.get(status, "Unknown")


def describe_refusal(refusal):
    """Return the headers and the body of the answer for a `Refusal`."""
    body = msgspec.json.encode(
        ErrorBody(refusal.code, refusal.message, refusal.verdict.value)
    )
    headers = [
        Header("Content-Type", "application/json"),
        Header("Content-Length", str(len(body))),
        Header(VERDICT_HEADER, refusal.verdict.value),
    ]
    if refusal.retry_after is not None and refusal.status in (429, 503):
        headers.append(Header("Retry-After", f"{refusal.retry_after:.3f}"))
    return headers, body


def encode_refusal(refusal):
    """Return the complete answer for a `Refusal` as bytes.

    The answer tells the caller that the connection closes after it.
    """
    headers, body = describe_refusal(refusal)
    lines = [f"HTTP/1.1 {refusal.status} {get_reason_phrase(refusal.status)}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
