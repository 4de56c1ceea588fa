"""Fakes of the interfaces that the limits use."""

import threading

from persimmonlane.config.model import Document, FleetPolicy, Organisation
from persimmonlane.errors import StoreError
from persimmonlane.store.client import Entry, StoreConflict


class ThreadedStore:
    """Keys with versions, shared by threads; counts its calls."""

    def __init__(self):
        self.entries = {}
        self.away = False
        self.calls = 0
        self.lock = threading.Lock()

    def get(self, key):
        self.calls += 1
        if self.away:
            raise StoreError("the store is away")
        return self.entries.get(key, Entry(key))

    def compare_and_swap(self, key, value, version, lease=None):
        with self.lock:
            entry = self.get(key)
            if entry.version != version:
                raise StoreConflict(entry)
            self.entries[key] = Entry(key, value, version + 1)
            return self.entries[key]


class FakeView:
    """A document view of organisations alone."""

    def __init__(self, *organisations, shards=4, loan_s=2.0):
        fleet = FleetPolicy(key_salt="00" * 16, limiter_shards=shards, loan_s=loan_s)
        self.document = Document(fleet=fleet, organisations=organisations)
        self.revision = 1
        self._organisations = {one.name: one for one in organisations}

    def find_organisation(self, name):
        return self._organisations.get(name)


def create_view(rate=100.0, burst=50.0, names=("acme",), **options):
    organisations = [Organisation(name=name, rate=rate, burst=burst) for name in names]
    return FakeView(*organisations, **options)
