"""Reloading of a node's settings while it runs."""

import logging

from .errors import InputError

log = logging.getLogger("persimmonlane.node")


class SettingsReloader:
    """Reads the settings again and applies what can change without a restart.

    Attributes:
        is_requested: Whether a reload has been requested since the last one.
    """

    __slots__ = ("is_requested", "_settings", "_read_settings", "_unapplied")

    def __init__(self, settings, read_settings):
        """Create the reloader.

        Args:
            settings: The `FleetSettings` in use.
            read_settings: Callable that reads and returns the current ones.
        """
        self.is_requested = False
        self._settings = settings
        self._read_settings = read_settings
        self._unapplied = []

    def request(self):
        """Request a reload; callable from a signal handler."""
        # A signal handler may not take a lock: another signal can interrupt it.
        self.is_requested = True

    def reload(self):
        """Reload the settings; keep the old ones if the new ones are invalid."""
        self.is_requested = False
        try:
            unapplied = self._settings.apply_reloadable(self._read_settings())
        except InputError as error:
            log.error(
                "Node: failed to reload the settings, keeping the old ones: %s.", error
            )
            return
        if unapplied and unapplied != self._unapplied:
            log.warning(
                "Node: changed settings that need a restart: %s.", ", ".join(unapplied)
            )
        self._unapplied = unapplied
