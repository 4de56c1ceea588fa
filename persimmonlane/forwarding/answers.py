"""Answers.

The answers that a node makes itself.
"""

import http.client
import math

import msgspec

from ..keys import Header
from .headers import REQUEST_ID, VERDICT


class Explanation(msgspec.Struct):
    """Body of an answer that the node made itself.

    Attributes:
        code: Stable error code.
        message: One sentence for a person.
        verdict: Whether the request may have run.
        request_id: Identifier of the request, empty before one was given.
    """

    code: str
    message: str
    verdict: str
    request_id: str


class Answer:
    """A complete answer of the node.

    Attributes:
        status: HTTP status.
        headers: The `Header`s.
        body: Bytes.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def encode(self, with_body=True):
        """Return the answer as bytes for the connection."""
        lines = [f"HTTP/1.1 {self.status} {get_reason(self.status)}"]
        lines.extend(f"{header.name}: {header.value}" for header in self.headers)
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + (self.body if with_body else b"")


def get_reason(status):
    """Return the reason phrase of an HTTP status."""
    return http.client.responses.get(status, "Unknown")


def render_refusal(refusal, request_id, close):
    """Return the `Answer` for a refusal.

    Args:
        refusal: The `Refusal`.
        request_id: Identifier of the request, or an empty string.
        close: Whether the connection closes after the answer.
    """
    explanation = Explanation(
        refusal.code, refusal.message, refusal.verdict.value, request_id
    )
    body = msgspec.json.encode(explanation)
    headers = [
        Header("Content-Type", "application/json"),
        Header("Content-Length", str(len(body))),
        Header(VERDICT, refusal.verdict.value),
    ]
    if request_id:
        headers.append(Header(REQUEST_ID, request_id))
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        headers.append(Header("Retry-After", str(seconds)))
    if close:
        headers.append(Header("Connection", "close"))
    return Answer(refusal.status, headers, body)
