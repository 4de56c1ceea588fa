"""Configuration page.

Writes docs/CONFIGURATION.md from the document's model and the checks.
"""

import pathlib
import typing

import msgspec

from persimmonlane.config import checks, model
from persimmonlane.config.types import is_record, is_record_tuple
from persimmonlane.config.variants import REGISTRIES, find_registry

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CONFIGURATION.md"
INTRODUCTION = """\
# Configuration

The document is one JSON object. It is checked whole before it is accepted, and all
faults are listed at once, each with its code, its place and a sentence. This page is
made from the model by `python -m tools.configuration_page`; `persimmonctl schema`
prints the JSON Schema. Complete documents are in `examples/`.
"""
KINDS = (
    model.Document,
    model.FleetPolicy,
    model.Service,
    model.DetectionPolicy,
    model.RetryPolicy,
    model.Objectives,
    model.Route,
    model.Organisation,
    model.Key,
)
LIMITS = (("gt", "> "), ("ge", "≥ "), ("lt", "< "), ("le", "≤ "))


def write_page():
    """Return the text of the page."""
    sections = [INTRODUCTION]
    sections += [describe_record(kind) for kind in KINDS]
    sections.append(describe_rules())
    sections.append(describe_variants())
    return "\n".join(sections)


def describe_record(kind):
    """Return the section on one record."""
    title = kind.__doc__.partition("\n")[0]
    texts = read_attributes(kind)
    lines = [
        f"## {kind.__name__}",
        "",
        title,
        "",
        "| field | type | default | meaning |",
        "|---|---|---|---|",
    ]
    for field in msgspec.structs.fields(kind):
        cells = (
            f"`{field.encode_name}`",
            describe_type(field.type),
            describe_default(field),
            texts[field.name],
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def read_attributes(kind):
    """Return the texts of a record's attributes by name."""
    _, _, block = kind.__doc__.partition("Attributes:\n")
    texts, name = {}, None
    for line in block.splitlines():
        text = line.strip()
        if len(line) - len(line.lstrip()) == 8:
            name, _, text = text.partition(": ")
            texts[name] = text
        elif text and name:
            texts[name] += f" {text}"
    return texts


def describe_type(kind):
    """Return a type in words."""
    if typing.get_origin(kind) is typing.Annotated:
        return describe_annotated(kind)
    if is_record(kind):
        return f"[{kind.__name__}](#{kind.__name__.lower()})"
    if is_record_tuple(kind):
        return f"list of {describe_type(typing.get_args(kind)[0])}"
    if typing.get_origin(kind) is tuple:
        return f"list of {describe_type(typing.get_args(kind)[0])}"
    arguments = typing.get_args(kind)
    if arguments:
        return " or ".join(describe_type(argument) for argument in arguments)
    names = {str: "text", float: "number", int: "whole number", type(None): "null"}
    return names.get(kind) or ("true or false" if kind is bool else kind.__name__)


def describe_annotated(kind):
    """Return a type with limits in words."""
    base, *metas = typing.get_args(kind)
    words = [describe_type(base)]
    for meta in metas:
        words += [
            f"{sign}{getattr(meta, name)}"
            for name, sign in LIMITS
            if getattr(meta, name) is not None
        ]
        if meta.pattern:
            words.append(f"`{meta.pattern}`")
    return ", ".join(words)


def describe_default(field):
    """Return a field's default as JSON."""
    if field.required:
        return "required"
    if field.default_factory is not msgspec.NODEFAULT:
        return "its defaults"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def describe_rules():
    """Return the section on the rules beyond types."""
    lines = ["## Rules", "", "| code | rule |", "|---|---|"]
    for check in checks.CHECKS:
        lines.append(f"| `{check.code}` | {check.__doc__.partition(chr(10))[0]} |")
    return "\n".join(lines) + "\n"


def describe_variants():
    """Return the section on the variants that are installed."""
    lines = ["## Variants", "", "| field | names |", "|---|---|"]
    for field in REGISTRIES:
        names = ", ".join(f"`{name}`" for name in find_registry(field).names())
        lines.append(f"| `{field}` | {names} |")
    return "\n".join(lines) + "\n"


def main():
    """Write the page."""
    PAGE.write_text(write_page())


if __name__ == "__main__":
    main()
