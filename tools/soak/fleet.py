"""Fleet.

The processes of a site during a run: signals, restarts, and which VMs are ready.
"""

import signal
import threading
import time

from persimmonlane.standins.backend import Script

from ..site import KEY, Site, is_ready
from .records import Process, SentSignal

WORK_HEADER = "X-Soak-Work-S"
QUESTIONS_APART_S = 1.0
MISSES = 2
CHANGED_BOUNDS = ("BudgetSlack=12",)


class WorkScript(Script):
    """Takes as long for a request as its header says."""

    __slots__ = ()

    def get_work_s(self, headers):
        """Return the seconds that a request takes."""
        return float(headers.get(WORK_HEADER.lower(), self.work_s))


class Fleet:
    """A site whose nodes come and go.

    Attributes:
        site: The `Site`.
        processes: The `Process` records of all processes so far.
    """

    def __init__(self, directory, plan, kill_after_s):
        self.site = Site(directory, plan.services, plan.zones, plan.timeout_s)
        for vm in self.site.vms:
            vm.server.script = WorkScript(body=b"x" * plan.answer_bytes)
        self.processes = [Process(vm.name) for vm in self.site.vms]
        self._kill_after_s = kill_after_s
        self._current = list(self.processes)
        self._misses = [0] * len(self.site.vms)
        self._ended = threading.Event()
        self._watchers = [
            threading.Thread(target=self._watch, args=(index,), daemon=True)
            for index in range(len(self.site.vms))
        ]

    def start(self):
        """Start the site and the questions for readiness."""
        self.site.start()
        for process in self.processes:
            process.was_ready = True
        for watcher in self._watchers:
            watcher.start()

    def stop(self):
        """Stop what was started."""
        self._ended.set()
        for watcher in self._watchers:
            if watcher.ident is not None:
                watcher.join()
        self.site.stop()

    def get_process(self, index):
        """Return the `Process` that a VM has now."""
        return self._current[index]

    def find_ready(self):
        """Return the indices of the VMs that callers may choose."""
        return [index for index, count in enumerate(self._misses) if count < MISSES]

    def send_signal(self, index, number):
        """Send a signal to a node that has been ready and still runs."""
        process = self._current[index]
        if process.gone is not None or not process.was_ready:
            return
        sent = SentSignal(number.name, time.monotonic())
        if number == signal.SIGTERM and process.first_stop is None:
            process.first_stop = sent.time
        process.signals.append(sent)
        self.site.vms[index].process.send_signal(number)

    def reload(self, index):
        """Change the settings of a VM's node and send SIGHUP."""
        self.site.write_settings(self.site.vms[index], CHANGED_BOUNDS)
        self.send_signal(index, signal.SIGHUP)

    def publish(self):
        """Publish a changed document in which the callers' key stays."""
        self.site.publish((KEY, f"key-{self.site.version}"))

    def restart(self, index):
        """Start the node of a VM again if it has ended."""
        if self._current[index].gone is None:
            return
        process = Process(self.site.vms[index].name)
        self.processes.append(process)
        self._current[index] = process
        self.site.start_node(self.site.vms[index])

    def is_stopping(self, index):
        """Return whether the node of a VM has been told to stop and still runs."""
        process = self._current[index]
        return process.first_stop is not None and process.gone is None

    def look(self):
        """Note the processes that have ended; kill those whose time is up."""
        now = time.monotonic()
        for vm, process in zip(self.site.vms, self._current, strict=True):
            if process.gone is not None:
                continue
            if vm.process.poll() is not None:
                process.gone = now
            elif process.first_stop and now >= process.first_stop + self._kill_after_s:
                process.killed = True
                vm.process.kill()

    def _watch(self, index):
        vm = self.site.vms[index]
        while not self._ended.wait(QUESTIONS_APART_S):
            process = self._current[index]
            if is_ready(vm):
                self._misses[index] = 0
                process.was_ready = True
            else:
                self._misses[index] += 1
