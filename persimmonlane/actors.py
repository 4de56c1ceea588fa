"""Actors.

Thin shells around decision classes: typed messages in, one thread each.
"""

import pykka


class Tick:
    """Asks an actor to do what is due."""

    __slots__ = ()


class Actor(pykka.ThreadingActor):
    """An actor that dispatches by message class.

    A subclass fills `handlers` with message classes and method names.
    """

    use_daemon_thread = True
    handlers = {}

    def __init__(self, application):
        super().__init__()
        self.application = application

    def on_receive(self, message):
        """Hand a message to the method that `handlers` names for its class."""
        return getattr(self, self.handlers[type(message)])(message)

    def on_failure(self, exception_type, exception_value, traceback):
        """End the process: an actor that died must not be limped along without."""
        self.application.fail("actor-died", f"{type(self).__name__}: {exception_value}")
