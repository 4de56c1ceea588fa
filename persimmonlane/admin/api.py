"""Administration API.

The operators' verbs over HTTP, as a WSGI application.
"""

import hmac
import logging
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from ..config.checks import validate
from ..config.model import Document
from ..errors import InputError, PersimmonError
from ..keys import compute_digest
from .failures import Failure, Unauthorised, describe_failure, get_status

log = logging.getLogger("persimmonlane.admin")

BODY_LIMIT_BYTES = 512 * 1024 * 1024
PREFIX = "Bearer "


class Valid(msgspec.Struct, frozen=True):
    """The answer to a valid document.

    Attributes:
        valid: Always true; faults come as a failure.
    """

    valid: bool = True


class Call:
    """One request to the API.

    Attributes:
        body: The body in bytes.
        options: The query's values by name.
    """

    __slots__ = ("body", "options")

    def __init__(self, environ):
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > BODY_LIMIT_BYTES:
            raise InputError("the length of the body is wrong", code="bad-length")
        self.body = environ["wsgi.input"].read(int(length))
        query = parse_qs(environ.get("QUERY_STRING", ""))
        self.options = {name: values[-1] for name, values in query.items()}

    def get_number(self, name):
        """Return a number of the query, or None."""
        value = self.options.get(name)
        if value is None:
            return None
        if not value.isdigit():
            raise InputError(f"{name} is no number", code="bad-type", place=name)
        return int(value)


class AdminApi:
    """The WSGI application."""

    verbs = {
        ("GET", "/v1/document"): "show",
        ("PUT", "/v1/document"): "publish",
        ("POST", "/v1/validate"): "validate",
        ("GET", "/v1/history"): "list_history",
        ("GET", "/v1/status"): "list_states",
        ("GET", "/v1/schema"): "describe",
        ("GET", "/v1/records"): "list_records",
    }

    def __init__(self, operations, get_fleet, get_records=tuple):
        """Create the application.

        Args:
            operations: The `Operations`.
            get_fleet: Returns the `FleetPolicy` in force, or None.
            get_records: Returns the `ServiceRecord`s that this node keeps.
        """
        self._operations = operations
        self._get_records = get_records
        self._get_fleet = get_fleet

    def __call__(self, environ, start_response):
        """Answer one request."""
        status, value = self._answer(environ)
        body = msgspec.json.encode(value)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {HTTPStatus(status).phrase}", headers)
        return [body]

    def show(self, call):
        """Return the document that was last accepted."""
        return self._operations.show()

    def publish(self, call):
        """Publish a document."""
        made = self._operations.publish(
            call.body,
            call.get_number("expect-revision"),
            call.options.get("author", ""),
            call.options.get("change"),
        )
        log.info("Admin: revision %d was published.", made.revision)
        return made

    def validate(self, call):
        """Check a document."""
        validate(call.body)
        return Valid()

    def list_records(self, call):
        """Return the records of this node, for the burn report."""
        return self._get_records()

    def list_history(self, call):
        """Return the last changes."""
        return self._operations.list_history()

    def list_states(self, call):
        """Return the state of each node."""
        return self._operations.list_states()

    def describe(self, call):
        """Return the JSON Schema of the document."""
        return msgspec.json.schema(Document)

    def _answer(self, environ):
        verb = self.verbs.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if verb is None:
            failure = Failure(code="verb-unknown", message="there is no such verb")
            return HTTPStatus.NOT_FOUND.value, failure
        try:
            self._check_token(environ.get("HTTP_AUTHORIZATION", ""))
            return HTTPStatus.OK.value, getattr(self, verb)(Call(environ))
        except PersimmonError as error:
            return get_status(error), describe_failure(error)
        except Exception:
            log.exception("Admin: a call failed.")
            failure = Failure(code="internal", message="the node has a fault")
            return HTTPStatus.INTERNAL_SERVER_ERROR.value, failure

    def _check_token(self, header):
        fleet = self._get_fleet()
        if fleet is None or not fleet.operator_digest:
            raise Unauthorised("the document in force names no operators' token")
        token = header.removeprefix(PREFIX)
        digest = compute_digest(fleet.key_salt, token)
        if not hmac.compare_digest(digest, fleet.operator_digest):
            raise Unauthorised("the operators' token is wrong")
