"""Actors.

An actor runs in a thread of its own and dispatches messages by their class.
"""

import pykka


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

    def on_receive(self, message):
        """Call the handler of a message and return its result."""
        return getattr(self, self.handlers[type(message)])(message)

    def on_failure(self, exception_type, exception_value, traceback):
        """Stop the process, which must not go on without one of its actors."""
        self.application.fail("actor-died", f"{type(self).__name__}: {exception_value}")
