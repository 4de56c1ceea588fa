"""Checks.

Validates a whole document before it is accepted, and lists all of its faults.
"""

import re

import msgspec

from ..errors import InputError
from .model import Document, FleetPolicy, Organisation, Route, Service
from .types import find_type_faults
from .variants import find_registry

MIN_ISOLATION_S = 2.0
METHOD = re.compile(r"[A-Z]+")
PATH = re.compile(r"/[^?#\s]*")
DIGEST = re.compile(r"([0-9a-f]{64})?")
SECTIONS = {"services": Service, "routes": Route, "organisations": Organisation}


class DocumentInvalid(InputError):
    """A document that failed its checks.

    Attributes:
        faults: All faults, as `InputError`s.
    """

    code = "document-invalid"

    def __init__(self, faults):
        first = faults[0]
        count = "1 fault" if len(faults) == 1 else f"{len(faults)} faults, the first"
        super().__init__(f"{count}: {first}", place=first.place)
        self.faults = tuple(faults)


class Check:
    """One rule that a document must follow beyond its types.

    Attributes:
        code: Code of the faults that it finds.
    """

    code = ""

    def find_faults(self, draft):
        """Yield the faults of a `Draft`."""
        raise NotImplementedError

    def describe(self, place, message):
        """Return a fault at a place."""
        return InputError(message, code=self.code, place=place)


class Draft:
    """A document under check: the items whose types are right.

    Attributes:
        fleet: The fleet's policy, or None if it is faulty.
        items: Pairs of place and record, by section.
        names: Names that any item of a section has, faulty or not.
    """

    __slots__ = ("fleet", "items", "names")

    def __init__(self, fleet, items, names):
        self.fleet = fleet
        self.items = items
        self.names = names


class DuplicateNames(Check):
    """Names are unique within a section."""

    code = "duplicate-name"

    def find_faults(self, draft):
        """Yield each later item with a name that was there before."""
        for section in SECTIONS:
            seen = set()
            for place, item in draft.items[section]:
                if item.name in seen:
                    message = f"{item.name!r} stands twice in {section}"
                    yield self.describe(f"{place}.name", message)
                seen.add(item.name)


class DanglingService(Check):
    """A route names a service of the document."""

    code = "unknown-service"

    def find_faults(self, draft):
        """Yield each route to an unknown service."""
        for place, route in draft.items["routes"]:
            if route.service not in draft.names["services"]:
                message = f"no service is named {route.service!r}"
                yield self.describe(f"{place}.service", message)


class DanglingOrganisation(Check):
    """A route names organisations of the document."""

    code = "unknown-organisation"

    def find_faults(self, draft):
        """Yield each unknown organisation of a route."""
        for place, route in draft.items["routes"]:
            for index, name in enumerate(route.organisations or ()):
                if name not in draft.names["organisations"]:
                    message = f"no organisation is named {name!r}"
                    yield self.describe(f"{place}.organisations[{index}]", message)


class RouteOverlap(Check):
    """No two routes match the same request equally well."""

    code = "route-overlap"

    def find_faults(self, draft):
        """Yield each route with the path and a method of an earlier one."""
        taken = {}
        for place, route in draft.items["routes"]:
            earlier = taken.setdefault(route.path.rstrip("/"), [])
            for other in earlier:
                if overlap(route.methods, other.methods):
                    message = f"it matches the same requests as {other.name!r}"
                    yield self.describe(place, message)
                    break
            earlier.append(route)


class RouteForm(Check):
    """A route's path and methods can match a request."""

    code = "bad-form"

    def find_faults(self, draft):
        """Yield paths and methods that no request can have."""
        for place, route in draft.items["routes"]:
            if not PATH.fullmatch(route.path):
                yield self.describe(f"{place}.path", "no request has such a path")
            for index, method in enumerate(route.methods):
                if not METHOD.fullmatch(method):
                    message = f"{method!r} is not a method in capitals"
                    yield self.describe(f"{place}.methods[{index}]", message)


class DuplicateKeys(Check):
    """A key belongs to one organisation and stands once."""

    code = "duplicate-key"

    def find_faults(self, draft):
        """Yield each key whose digest was there before."""
        owners = {}
        for place, organisation in draft.items["organisations"]:
            for index, key in enumerate(organisation.keys):
                owner = owners.get(key.digest)
                if owner is None:
                    owners[key.digest] = organisation.name
                    continue
                message = f"the key is already that of {owner!r}"
                yield self.describe(f"{place}.keys[{index}].digest", message)


class DuplicateKeyIds(Check):
    """An organisation's keys have different identifiers."""

    code = "duplicate-key-id"

    def find_faults(self, draft):
        """Yield each key whose identifier its organisation has before."""
        for place, organisation in draft.items["organisations"]:
            seen = set()
            for index, key in enumerate(organisation.keys):
                if key.id in seen:
                    message = f"{key.id!r} stands twice"
                    yield self.describe(f"{place}.keys[{index}].id", message)
                seen.add(key.id)


class EjectionTimes(Check):
    """The cap on the time of an ejection is no less than the first."""

    code = "out-of-range"

    def find_faults(self, draft):
        """Yield each service whose cap is below its first time."""
        for place, service in draft.items["services"]:
            detection = service.detection
            if detection.max_ejection_s < detection.base_ejection_s:
                message = "the cap is less than base_ejection_s"
                yield self.describe(f"{place}.detection.max_ejection_s", message)


class UnknownVariant(Check):
    """A service names policies that are installed."""

    code = "unknown-variant"

    def find_faults(self, draft):
        """Yield each unknown balancing policy or detector."""
        for place, service in draft.items["services"]:
            yield from self._check(f"{place}.balancing", service.balancing)
            yield from self._check(
                f"{place}.detection.detector", service.detection.detector
            )

    def _check(self, place, name):
        registry = find_registry(place.rpartition(".")[2])
        try:
            registry.get_by_name(name)
        except InputError as error:
            yield self.describe(place, error.message)


class FleetForm(Check):
    """The fleet's policy can be carried out."""

    code = "out-of-range"

    def find_faults(self, draft):
        """Yield values of the fleet's policy that are of no use."""
        fleet = draft.fleet
        if fleet is None:
            return
        if fleet.isolation_s < MIN_ISOLATION_S:
            message = f"nodes hear of each other too rarely for {fleet.isolation_s} s"
            yield self.describe("$.fleet.isolation_s", message)
        if not DIGEST.fullmatch(fleet.operator_digest):
            message = "a digest has 64 hexadecimal digits"
            yield self.describe("$.fleet.operator_digest", message)


CHECKS = (
    DuplicateNames(),
    DanglingService(),
    DanglingOrganisation(),
    RouteOverlap(),
    RouteForm(),
    DuplicateKeys(),
    DuplicateKeyIds(),
    EjectionTimes(),
    UnknownVariant(),
    FleetForm(),
)


def validate(data):
    """Return the document that JSON text holds.

    Raises:
        DocumentInvalid: If it has faults; lists all of them.
    """
    try:
        document = msgspec.json.decode(data, type=Document)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # The decoder stops at its first fault; this finds them all.
        raise DocumentInvalid(find_all_faults(data)) from None
    faults = find_rule_faults(draft_document(document))
    if faults:
        raise DocumentInvalid(faults)
    return document


def find_all_faults(data):
    """Return the faults of JSON text that is no document."""
    try:
        values = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [InputError(str(error), code="bad-json", place="$")]
    faults = find_type_faults(values, Document, "$")
    if isinstance(values, dict):
        faults += find_rule_faults(draft_values(values))
    return faults


def find_rule_faults(draft):
    """Return the faults of a `Draft` beyond its types."""
    return [fault for check in CHECKS for fault in check.find_faults(draft)]


def draft_document(document):
    """Return the draft of a document whose types are right."""
    items, names = {}, {}
    for section in SECTIONS:
        records = getattr(document, section)
        items[section] = [
            (f"$.{section}[{index}]", record) for index, record in enumerate(records)
        ]
        names[section] = {record.name for record in records}
    return Draft(document.fleet, items, names)


def draft_values(values):
    """Return the draft of decoded JSON with the items whose types are right."""
    items, names = {}, {}
    for section, kind in SECTIONS.items():
        given = values.get(section)
        given = given if isinstance(given, list) else []
        items[section] = convert_items(section, kind, given)
        names[section] = {item["name"] for item in given if is_named(item)}
    return Draft(convert(values.get("fleet"), FleetPolicy), items, names)


def convert_items(section, kind, items):
    """Return pairs of place and record for the items whose types are right."""
    pairs = []
    for index, item in enumerate(items):
        record = convert(item, kind)
        if record is not None:
            pairs.append((f"$.{section}[{index}]", record))
    return pairs


def convert(value, kind):
    """Return a value as a record, or None if its types are wrong."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return None


def is_named(item):
    """Return whether an undecoded item has a name."""
    return isinstance(item, dict) and isinstance(item.get("name"), str)


def overlap(methods, others):
    """Return whether two sets of methods, empty meaning all, have one in common."""
    return not methods or not others or not set(methods).isdisjoint(others)
