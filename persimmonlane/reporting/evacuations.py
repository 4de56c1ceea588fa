"""Evacuations, as log lines report them.

Logs what changes, and describes what is in force for the periodic report.
"""

import logging
import threading

import msgspec

log = logging.getLogger("persimmonlane.reporting")


class EvacuationRecord(msgspec.Struct, frozen=True):
    """An evacuated data centre as one node knows it.

    Attributes:
        data_centre: Its name.
        since_s: Seconds since this process has known of the evacuation.
        running: Number of requests that its backend servers are running.
    """

    data_centre: str
    since_s: float
    running: int


class EvacuationReport(msgspec.Struct, frozen=True):
    """The evacuations in force at one node.

    Attributes:
        known: Whether the node knows the store's list.
        age_s: Seconds since the list was known to be the store's, -1 if never.
        refused: Requests that the owner has refused for its evacuation so far.
        data_centres: The `EvacuationRecord`s.
    """

    known: bool
    age_s: float
    refused: int
    data_centres: list[EvacuationRecord]


class LocatedServer:
    """A backend server and its data centre.

    Attributes:
        data_centre: Name of the data centre.
        service: Name of its service.
        running: Number of requests that it is running.
    """

    __slots__ = ("data_centre", "service", "running")

    def __init__(self, data_centre, service, running):
        self.data_centre = data_centre
        self.service = service
        self.running = running


class EvacuationLog:
    """Logs the evacuations of an `EvacuationHolder`; thread-safe."""

    __slots__ = (
        "_settings",
        "_clock",
        "_evacuations",
        "_gate",
        "_list_servers",
        "_lock",
        "_began_at",
    )

    def __init__(self, settings, clock, evacuations, gate, list_servers):
        """Create the log.

        Args:
            settings: The `FleetSettings`.
            clock: Clock in seconds.
            evacuations: The `EvacuationHolder`.
            gate: The `EvacuationGate` of the node's owner.
            list_servers: Callable that returns the `LocatedServer`s of the fleet.
        """
        self._settings = settings
        self._clock = clock
        self._evacuations = evacuations
        self._gate = gate
        self._list_servers = list_servers
        self._lock = threading.Lock()
        self._began_at = {}

    def note_change(self):
        """Log which evacuations have begun and ended."""
        servers, now = self._list_servers(), self._clock.now()
        with self._lock:
            names, before = self._evacuations.names, set(self._began_at)
            for name in sorted(before - names):
                lasted_s = now - self._began_at.pop(name)
                log.info(
                    "Reporting: the evacuation of %s has ended after %.1f s.",
                    name,
                    lasted_s,
                )
            for name in sorted(names - before):
                self._began_at[name] = now
                log.info(
                    "Reporting: data centre %s is evacuated; %d requests run there.",
                    name,
                    count_running(servers, name),
                )
        if names - before:
            self._warn(names, servers)

    def describe(self):
        """Return the `EvacuationReport` of this node."""
        servers, now = self._list_servers(), self._clock.now()
        evacuations = self._evacuations
        with self._lock:
            records = [
                EvacuationRecord(name, round(now - at, 1), count_running(servers, name))
                for name, at in sorted(self._began_at.items())
            ]
        age_s = now - evacuations.confirmed_at
        return EvacuationReport(
            evacuations.is_known(),
            round(age_s, 1) if age_s != float("inf") else -1.0,
            self._gate.refused,
            records,
        )

    def _warn(self, names, servers):
        """Log what the operator may not have meant; it is obeyed all the same."""
        present = {item.data_centre for item in servers} | {self._settings.data_centre}
        known = set(self._settings.regions) or present
        for name in sorted(names - known):
            log.warning("Reporting: evacuated data centre %s is not known.", name)
        if known <= names:
            log.warning("Reporting: all data centres are evacuated.")
            return
        services = {item.service for item in servers}
        left = {item.service for item in servers if item.data_centre not in names}
        for service in sorted(services - left):
            log.warning(
                "Reporting: all backend servers of %s are in evacuated data centres.",
                service,
            )


def count_running(servers, data_centre):
    """Return the number of requests that run in a data centre.

    Args:
        servers: The `LocatedServer`s of the fleet.
        data_centre: Name of the data centre.
    """
    return sum(item.running for item in servers if item.data_centre == data_centre)
