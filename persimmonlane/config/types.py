"""Type checks.

Finds every field of a decoded document that is missing, unknown or of a wrong
type; msgspec alone stops at its first.
"""

import typing

import msgspec

from ..errors import InputError

CODES = (
    ("missing required field", "missing-field"),
    ("unknown field", "unknown-field"),
    ("matching regex", "bad-form"),
    ("<", "out-of-range"),
    (">", "out-of-range"),
    ("length", "out-of-range"),
)


def find_type_faults(value, kind, place):
    """Return the faults of a decoded value.

    Args:
        value: The value, as JSON decodes it.
        kind: The type that it should have.
        place: Path of the value.

    Returns:
        A list of `InputError`s.
    """
    if is_record(kind):
        return find_record_faults(value, kind, place)
    if is_record_tuple(kind) and isinstance(value, list):
        item_kind = typing.get_args(kind)[0]
        faults = []
        for index, item in enumerate(value):
            faults += find_type_faults(item, item_kind, f"{place}[{index}]")
        return faults
    return find_leaf_faults(value, kind, place)


def find_record_faults(value, kind, place):
    """Return the faults of what should be a record."""
    if not isinstance(value, dict):
        return find_leaf_faults(value, kind, place)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    faults = []
    for name in value.keys() - fields.keys():
        faults.append(
            InputError(
                f"there is no field {name!r}",
                code="unknown-field",
                place=f"{place}.{name}",
            )
        )
    for name, field in fields.items():
        if name in value:
            faults += find_type_faults(value[name], field.type, f"{place}.{name}")
        elif field.required:
            faults.append(
                InputError(
                    f"the field {name!r} is missing",
                    code="missing-field",
                    place=f"{place}.{name}",
                )
            )
    return faults


def find_leaf_faults(value, kind, place):
    """Return the fault of a value without records in it, as a list."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        message, _, inner = str(error).partition(" - at `$")
        fault = InputError(
            message, code=choose_code(message), place=place + inner.rstrip("`")
        )
        return [fault]
    return []


def choose_code(message):
    """Return the stable code for a message of msgspec."""
    for part, code in CODES:
        if part in message:
            return code
    return "bad-type"


def is_record(kind):
    """Return whether a type is a record."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def is_record_tuple(kind):
    """Return whether a type is a tuple of any number of records."""
    arguments = typing.get_args(kind)
    return (
        typing.get_origin(kind) is tuple
        and len(arguments) == 2
        and arguments[1] is Ellipsis
        and is_record(arguments[0])
    )
