"""Answers.

The answers that a node makes itself.
"""

import http.client

import msgspec

from ..headers import Header

VERDICT_HEADER = "Persimmon-Verdict"


class ErrorBody(msgspec.Struct):
    """Body of an answer that the node made itself.

    Attributes:
        code: Stable error code.
        message: One sentence for a person.
        verdict: Whether the request may have run.
    """

    code: str
    message: str
    verdict: str


def get_reason_phrase(status):
    """Return the reason phrase of an HTTP status."""
    return http.client.responses.get(status, "Unknown")


def describe_refusal(refusal):
    """Return headers and body of the answer for a refusal."""
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
    """Return a whole answer in bytes for a connection that closes after it."""
    headers, body = describe_refusal(refusal)
    lines = [f"HTTP/1.1 {refusal.status} {get_reason_phrase(refusal.status)}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
