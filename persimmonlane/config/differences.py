"""Differences.

Says in what two documents differ.
"""

import msgspec

SECTIONS = ("services", "routes", "organisations")


class Difference(msgspec.Struct, frozen=True):
    """One difference between two documents.

    Attributes:
        place: Section and name, or `fleet`.
        kind: `added`, `removed` or `changed`.
        fields: Names of the fields that changed.
    """

    place: str
    kind: str
    fields: tuple[str, ...] = ()


def compare_documents(before, after):
    """Return the differences of two documents as a list."""
    differences = compare_records("fleet", before.fleet, after.fleet)
    for section in SECTIONS:
        differences += compare_sections(
            section, getattr(before, section), getattr(after, section)
        )
    return differences


def compare_sections(section, before, after):
    """Return the differences of one section; the order does not matter."""
    earlier = {record.name: record for record in before}
    later = {record.name: record for record in after}
    differences = []
    for name in sorted(earlier.keys() | later.keys()):
        place = f"{section}/{name}"
        if name not in later:
            differences.append(Difference(place, "removed"))
        elif name not in earlier:
            differences.append(Difference(place, "added"))
        else:
            differences += compare_records(place, earlier[name], later[name])
    return differences


def compare_records(place, before, after):
    """Return the difference of two records as a list of one or none."""
    changed = tuple(
        field
        for field in before.__struct_fields__
        if getattr(before, field) != getattr(after, field)
    )
    return [Difference(place, "changed", changed)] if changed else []
