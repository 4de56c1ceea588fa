"""Actors.

Thin shells around decision classes: typed messages in, one thread each.
"""

import threading

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


class Ticker:
    """Tells an actor to tick at a fixed interval."""

    __slots__ = ("_actor", "_interval", "_ended", "_thread")

    def __init__(self, actor_ref, interval_s):
        self._actor = actor_ref
        self._interval = interval_s
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin ticking."""
        self._thread.start()

    def stop(self):
        """End ticking and wait for the thread."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.wait(self._interval):
            if not tell(self._actor, Tick()):
                return


def tell(actor_ref, message):
    """Tell an actor something; return False if it has already stopped."""
    try:
        actor_ref.tell(message)
    except pykka.ActorDeadError:
        return False
    return True
