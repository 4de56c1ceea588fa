"""Judging of the local backend server's answers."""

from ..outcomes import OutcomeKind
from ..platform import headers as wire
from ..serving.exchange import ExchangeError
from ..verdicts import Verdict
from .calls import build_not_run_refusal

MISDIRECTED_STATUS = 421


class AnswerJudge:
    """Checks answers, and applies what the server says of itself; thread-safe."""

    __slots__ = (
        "_lock",
        "_hosted",
        "_limit",
        "_evidence",
        "_updates",
        "_on_misdirected",
    )

    def __init__(self, lock, hosted, limit, evidence, updates, on_misdirected):
        """Create the judge.

        Args:
            lock: Lock of the owner, which guards the server, the limit and the
                evidence.
            hosted: The `HostedServer`.
            limit: The `ServerLimit` of the admission queue.
            evidence: The `HealthEvidence`.
            updates: The `ServerUpdates`.
            on_misdirected: Callable that is called without the lock, with the
                identifier of a server at whose address another one has answered.
        """
        self._lock = lock
        self._hosted = hosted
        self._limit = limit
        self._evidence = evidence
        self._updates = updates
        self._on_misdirected = on_misdirected

    def note_statements(self, answer, incarnation):
        """Apply what the backend server says of itself in an answer.

        Args:
            answer: The `CompleteResponse`.
            incarnation: A `Heartbeat` of the process that it came from.
        """
        marks = wire.parse_response_headers(answer.headers)
        if not marks.is_genuine() or answer.status == MISDIRECTED_STATUS:
            return
        with self._lock:
            if not self._hosted.is_incarnation(incarnation):
                return
            if self._limit.apply_answer(marks):
                self._evidence.has_changed = True
        if marks.leaving:
            self._updates.apply_departure(incarnation.server_id, incarnation.born)

    def check(self, answer, server_id):
        """Refuse an answer that is not the backend server's answer to the request.

        Args:
            answer: The `CompleteResponse`.
            server_id: Identifier of the backend server that was asked.

        Raises:
            Refusal: Not run, if the server turned the request away.
            ExchangeError: If the answer is not the server's own.
        """
        marks = wire.parse_response_headers(answer.headers)
        if marks.not_run or answer.status == MISDIRECTED_STATUS:
            if answer.status == MISDIRECTED_STATUS:
                self._on_misdirected(server_id)
            raise build_not_run_refusal(
                "server-shed", "the backend server did not run it"
            )
        encoded = any(h.name.lower() == "content-encoding" for h in answer.headers)
        if encoded or (answer.status < 300 and not marks.signed):
            raise ExchangeError(
                OutcomeKind.INVALID,
                Verdict.MAY_HAVE_RUN,
                "answer-refused",
                "the answer is not the backend server's own",
            )
