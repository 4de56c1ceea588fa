"""Stamps that tell which of two documents is the newer one."""

import msgspec


class DocumentStamp(msgspec.Struct, frozen=True, order=True):
    """Identifies a document; a newer one has a greater stamp.

    After a restore of the store, another document may get the number of one that was
    lost. The store's word in the later generation counts then.

    Attributes:
        version: Version number of the document.
        generation: Latest generation of the store that is known to hold it, 0 if that
            is not known.
    """

    version: int = 0
    generation: int = 0

    def covers(self, confirmed):
        """Return whether this document was the newest if another one was.

        Within a generation versions only increase. A version of an earlier generation
        that the store lacks in the present one may be followed by one that was
        confirmed and lost.

        Args:
            confirmed: The `DocumentStamp` of the document that was the newest.
        """
        if confirmed.generation == 0 and self.generation > 0:
            return False
        return (
            self.version >= confirmed.version
            and self.generation >= confirmed.generation
        )
