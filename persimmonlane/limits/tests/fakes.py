"""Fakes of the interfaces that the limits use."""

from persimmonlane.config.model import Document, FleetPolicy, Organisation


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
