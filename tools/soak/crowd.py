"""Clients of a soak run that misbehave, beside the callers whose requests count."""

import threading

from persimmonlane.addresses import split_address
from persimmonlane.platform.headers import CREDENTIAL, MS_PER_S, REQUEST_ID, TIMEOUT
from persimmonlane.standins.clients import MisbehavingClient

from ..site import HOST, KEY
from .fleet import WORK_HEADER

STEP_TIMEOUT_S = 3.0
PAUSE_S = 0.05
REQUEST_TIMEOUT_S = 2.0
# Not an identifier of a caller, so that no request counts as executed or lost.
CROWD_REQUEST_ID = "crowd"


class Crowd:
    """Clients that misbehave at the nodes of a fleet, each in its own thread."""

    def __init__(self, plan, fleet, ended, clients_per_vm):
        """Create the crowd.

        Args:
            plan: The `Plan`, which seeds what they do.
            fleet: The `Fleet`.
            ended: Event that ends them.
            clients_per_vm: Number of clients for each VM.
        """
        self._fleet = fleet
        self._ended = ended
        self._path = f"/{plan.services[0]}/safe/"
        self._threads = [
            threading.Thread(target=self._run, args=(f"{plan.seed} {vm} {n}", vm))
            for vm in range(len(fleet.site.vms))
            for n in range(clients_per_vm)
        ]

    def start(self):
        """Start all clients."""
        for thread in self._threads:
            thread.start()

    def join(self):
        """Wait until all clients have ended."""
        for thread in self._threads:
            thread.join()

    def _run(self, seed, vm):
        client = MisbehavingClient(seed, self._build_head, STEP_TIMEOUT_S)
        while not self._ended.wait(PAUSE_S):
            client.misbehave(split_address(self._fleet.site.vms[vm].callers))

    def _build_head(self, method="GET", *lines):
        fields = [
            f"{method} {self._path} HTTP/1.1",
            f"Host: {HOST}",
            f"{CREDENTIAL}: {KEY}",
            f"{TIMEOUT}: {int(REQUEST_TIMEOUT_S * MS_PER_S)}",
            f"{REQUEST_ID}: {CROWD_REQUEST_ID}",
            f"{WORK_HEADER}: 0",
            *lines,
        ]
        return ("\r\n".join(fields) + "\r\n\r\n").encode()
