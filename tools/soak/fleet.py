"""Node processes of a site during a soak run.

Sends signals, restarts nodes and probes which VMs are ready.
"""

import signal
import threading
import time

from persimmonlane.standins.backend import Script

from ..site import KEY, Site, is_ready
from .records import Process, SentSignal

WORK_HEADER = "X-Soak-Work-S"
PROBE_INTERVAL_S = 1.0
UNREADY_AFTER_FAILURES = 2
CHANGED_BOUNDS = ("BudgetSlack=12",)


class WorkScript(Script):
    """Takes the processing time of a request from its `WORK_HEADER`."""

    __slots__ = ()

    def get_work_s(self, headers):
        """Return the processing time of a request in seconds."""
        return float(headers.get(WORK_HEADER.lower(), self.work_s))


class Fleet:
    """A site whose nodes are stopped and restarted.

    Attributes:
        site: The `Site`.
        processes: The `Process` records of all node processes so far.
    """

    def __init__(self, directory, plan, kill_after_s):
        self.site = Site(directory, plan.services, plan.zones, plan.timeout_s)
        for vm in self.site.vms:
            vm.server.script = WorkScript(body=b"x" * plan.answer_bytes)
        self.processes = [Process(vm.name) for vm in self.site.vms]
        self._kill_after_s = kill_after_s
        self._current = list(self.processes)
        self._failed_probes = [0] * len(self.site.vms)
        self._ended = threading.Event()
        self._probe_threads = [
            threading.Thread(target=self._probe_readiness, args=(index,), daemon=True)
            for index in range(len(self.site.vms))
        ]

    def start(self):
        """Start the site and the readiness probes."""
        self.site.start()
        for process in self.processes:
            process.was_ready = True
        for thread in self._probe_threads:
            thread.start()

    def stop(self):
        """Stop the probes and the site."""
        self._ended.set()
        for thread in self._probe_threads:
            if thread.ident is not None:
                thread.join()
        self.site.stop()

    def get_process(self, index):
        """Return the current `Process` of a VM's node."""
        return self._current[index]

    def find_ready(self):
        """Return the indices of the VMs whose latest readiness probes succeeded.

        A VM is left out after `UNREADY_AFTER_FAILURES` failed probes in a row.
        """
        return [
            index
            for index, count in enumerate(self._failed_probes)
            if count < UNREADY_AFTER_FAILURES
        ]

    def send_signal(self, index, number):
        """Send a signal to a node that has been ready and is still running."""
        process = self._current[index]
        if process.exited is not None or not process.was_ready:
            return
        sent = SentSignal(number.name, time.monotonic())
        if number == signal.SIGTERM and process.first_sigterm is None:
            process.first_sigterm = sent.time
        process.signals.append(sent)
        self.site.vms[index].process.send_signal(number)

    def reload(self, index):
        """Change the settings of a VM's node and send it SIGHUP."""
        self.site.write_settings(self.site.vms[index], CHANGED_BOUNDS)
        self.send_signal(index, signal.SIGHUP)

    def publish(self):
        """Publish a changed document that still has the callers' API key."""
        self.site.publish((KEY, f"key-{self.site.version}"))

    def restart(self, index):
        """Restart the node of a VM if its process has exited."""
        if self._current[index].exited is None:
            return
        process = Process(self.site.vms[index].name)
        self.processes.append(process)
        self._current[index] = process
        self.site.start_node(self.site.vms[index])

    def is_stopping(self, index):
        """Return whether the node of a VM has got SIGTERM and is still running."""
        process = self._current[index]
        return process.first_sigterm is not None and process.exited is None

    def check_processes(self):
        """Record exited processes; kill those that outlive their grace time."""
        now = time.monotonic()
        for vm, process in zip(self.site.vms, self._current, strict=True):
            if process.exited is not None:
                continue
            if vm.process.poll() is not None:
                process.exited = now
            elif (
                process.first_sigterm
                and now >= process.first_sigterm + self._kill_after_s
            ):
                process.killed = True
                vm.process.kill()

    def _probe_readiness(self, index):
        vm = self.site.vms[index]
        while not self._ended.wait(PROBE_INTERVAL_S):
            process = self._current[index]
            if is_ready(vm):
                self._failed_probes[index] = 0
                process.was_ready = True
            else:
                self._failed_probes[index] += 1
