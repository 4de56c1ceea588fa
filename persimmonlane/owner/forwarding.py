"""Forwarding of admitted requests to the local backend server."""

from ..errors import Refusal
from ..outcomes import OutcomeKind
from ..serving.exchange import ExchangeError
from .calls import build_crash_error

MIN_SERVER_ERROR_STATUS = 500


class Forwarder:
    """Sends requests to the backend server and records their outcomes; thread-safe.

    Attributes:
        client: The `ServerClient`.
        judge: The `AnswerJudge`.
    """

    __slots__ = (
        "_hosted",
        "client",
        "judge",
        "_crashes",
        "_ledger",
        "_evidence",
        "_record",
        "_close_admission",
    )

    def __init__(
        self, hosted, client, judge, crashes, ledger, evidence, record, close_admission
    ):
        """Create the forwarder.

        Args:
            hosted: The `HostedServer`.
            client: The `ServerClient`.
            judge: The `AnswerJudge`.
            crashes: The `CrashObserver`.
            ledger: The `CrashLedger`.
            evidence: The `HealthEvidence`.
            record: Callable that records an outcome with a method of the evidence and
                its arguments, with the lock of the owner.
            close_admission: Callable that is called after the server has crashed.
        """
        self._hosted = hosted
        self.client = client
        self.judge = judge
        self._crashes = crashes
        self._ledger = ledger
        self._evidence = evidence
        self._record = record
        self._close_admission = close_admission

    def forward(self, order, call, ticket, caller):
        """Send a request and return the backend server's complete answer.

        Args:
            order: The `Order`.
            call: The `ForwardedCall`.
            ticket: Its `Ticket`, which has been granted a slot.
            caller: The `CallerWatch` of the caller's connection.

        Raises:
            Refusal: If the backend server did not run the request.
            ExchangeError: If no complete answer was received.
            CallerDisconnected: If the caller disconnected.
        """
        incarnation = self._hosted.current
        running = self._crashes.enter(order, order.fingerprint, incarnation)
        try:
            answer = self.client.run(order, call, ticket.deadline, caller)
            self.judge.note_statements(answer, incarnation)
            self.judge.check(answer, order.server_id)
        except ExchangeError as error:
            if error.kind is OutcomeKind.TIMEOUT:
                self._record(self._evidence.record_unanswered, error.kind, ticket)
            elif self._has_crashed(error, running):
                self._close_admission()
                raise build_crash_error() from error
            else:
                self._record(self._evidence.record_break, error.kind)
            raise
        except Refusal:
            self._record(self._evidence.record_shed)
            raise
        except Exception:
            cancelled = OutcomeKind.CANCELLED
            self._record(self._evidence.record_unanswered, cancelled, ticket)
            raise
        finally:
            self._crashes.leave(running)
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._record(self._evidence.record_error, ticket)
        else:
            self._record(self._evidence.record_success, ticket)
            self._note_served(order)
        return answer

    def _has_crashed(self, error, running):
        """Return whether an exchange broke since the server's process has ended.

        Args:
            error: The `ExchangeError`.
            running: The `RunningRequest`.
        """
        if error.kind not in (OutcomeKind.ERROR, OutcomeKind.INVALID):
            return False
        return self._crashes.examine_break(running)

    def _note_served(self, order):
        clearance = self._ledger.note_served(order.fingerprint)
        if clearance is not None:
            self._crashes.on_crash([clearance])
