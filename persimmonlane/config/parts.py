"""Parts.

Splits a document into parts that are stored by the digest of their content, and
joins them again.
"""

import msgspec

from ..errors import PersimmonError
from .model import Document, FleetPolicy
from .root import compute_part_digest
from .tables import CODECS, build_table, split_records

FLEET_SECTION = "fleet"


class FleetRow(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the fleet part.

    Attributes:
        format: Version of the document's format.
        fleet: Policy for the whole fleet.
    """

    format: int
    fleet: FleetPolicy


class PartMissing(PersimmonError):
    """A part of the document could not be found."""

    code = "part-missing"


class Part:
    """One part of a document.

    Attributes:
        section: Name of the document's section.
        bucket: Number of the bucket within the section.
        digest: Digest of the content, in hexadecimal.
        content: The content in bytes.
    """

    __slots__ = ("section", "bucket", "digest", "content")

    def __init__(self, section, bucket, content):
        self.section = section
        self.bucket = bucket
        self.content = content
        self.digest = compute_part_digest(content)


encode_fleet = msgspec.msgpack.Encoder().encode
decode_fleet = msgspec.msgpack.Decoder(FleetRow).decode


def split_document(document):
    """Return the parts of a document."""
    row = FleetRow(format=document.format, fleet=document.fleet)
    parts = [Part(FLEET_SECTION, 0, encode_fleet(row))]
    for section in CODECS:
        contents = split_records(section, getattr(document, section))
        parts += [Part(section, n, content) for n, content in enumerate(contents)]
    return parts


def join_document(refs, contents, previous=None):
    """Return the document that consists of parts; its sections are tables.

    Args:
        refs: The references of the parts, as the root holds them.
        contents: Contents by digest.
        previous: An earlier document of tables, whose buckets are taken over
            where the content is the same.

    Raises:
        PartMissing: If a content is not there.
    """
    sections = {section: [] for section in (FLEET_SECTION, *CODECS)}
    for ref in sorted(refs, key=lambda ref: ref.bucket):
        if ref.digest not in contents:
            raise PartMissing(f"part {ref.digest} is missing")
        sections.setdefault(ref.section, []).append(contents[ref.digest])
    row = decode_fleet(sections[FLEET_SECTION][0])
    tables = {
        section: build_table(
            section, sections[section], list_buckets(section, previous)
        )
        for section in CODECS
    }
    return Document(fleet=row.fleet, format=row.format, **tables)


def list_buckets(section, document):
    """Return the buckets of a document's table by content."""
    if document is None:
        return {}
    return {bucket.content: bucket for bucket in getattr(document, section).buckets}
