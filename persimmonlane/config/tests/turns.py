"""Turns.

Runs several callers of one store with one store call at a time, in an order that
the test chooses.
"""

import threading


class Crash(BaseException):
    """Ends a caller in the midst of its work."""


class Turns:
    """Callers, each in a thread, of which one at a time takes a step."""

    def __init__(self, store):
        self.store = store
        self.callers = []

    def add(self, work):
        """Add a caller; `work` gets a store and its result is kept."""
        caller = Caller(self.store, work)
        self.callers.append(caller)
        return caller

    def step(self, index, crash=False):
        """Let one caller that still runs make its next store call."""
        running = [caller for caller in self.callers if not caller.done]
        if running:
            running[index % len(running)].step(crash)

    def finish(self):
        """Let all callers run to their end, by turns."""
        while any(not caller.done for caller in self.callers):
            for caller in self.callers:
                if not caller.done:
                    caller.step()


class Caller:
    """One caller; its store methods wait for their turn."""

    def __init__(self, store, work):
        self.done = False
        self.result = None
        self.error = None
        self._store = store
        self._work = work
        self._crash = False
        self._turn = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._paused.acquire()

    def step(self, crash=False):
        self._crash = crash
        self._turn.release()
        self._paused.acquire()

    def get(self, key):
        return self._call(self._store.get, key)

    def compare_and_swap(self, *args):
        return self._call(self._store.compare_and_swap, *args)

    def _call(self, method, *args):
        self._paused.release()
        self._turn.acquire()
        if self._crash:
            raise Crash
        return method(*args)

    def _run(self):
        try:
            self.result = self._work(self)
        except Crash as error:
            self.error = error
        except Exception as error:
            self.error = error
        self.done = True
        self._paused.release()
