"""Actors.

An actor runs in a thread of its own and dispatches messages by their class.
"""

import logging

import pykka

log = logging.getLogger("persimmonlane.actors")

# An actor that fails this often has lost its state, and only a restart helps.
MAX_FAILURES_IN_ROW = 20


class Tick:
    """Message that makes an actor do its periodic work."""

    __slots__ = ()


class Actor(pykka.ThreadingActor):
    """Base class of actors.

    Attributes:
        handlers: Maps message classes to the names of methods; set by subclasses.
        application: The `Application` that is stopped if the actor fails.
    """

    use_daemon_thread = True
    handlers = {}

    def __init__(self, application):
        super().__init__()
        self.application = application
        self._failures_in_row = 0

    def on_receive(self, message):
        """Call the handler of a message and return its result.

        An unexpected error of a handler is logged, and the actor goes on with the next
        message, since all requests of the process depend on it.

        Raises:
            Exception: If every one of the last `MAX_FAILURES_IN_ROW` messages failed.
        """
        try:
            result = getattr(self, self.handlers[type(message)])(message)
        except Exception:
            log.exception(
                "Actors: handling a %s failed.",
                type(message).__name__,
                extra={"event": "message-failed"},
            )
            self._failures_in_row += 1
            if self._failures_in_row >= MAX_FAILURES_IN_ROW:
                raise
            return None
        self._failures_in_row = 0
        return result

    def on_failure(self, exception_type, exception_value, traceback):
        """Stop the process, which must not go on without one of its actors."""
        self.application.fail("actor-died", f"{type(self).__name__}: {exception_value}")
