"""Choices.

What the balancer has to know of a request.
"""


class Choice:
    """The circumstances of one choice.

    Attributes:
        idempotent: Whether the request may run more than once.
        excluded: Addresses that are not to be chosen, such as those tried before.
        standings: Callable that gives the `Standing` of an address, or None.
    """

    __slots__ = ("idempotent", "excluded", "standings")

    def __init__(self, idempotent=True, excluded=frozenset(), standings=None):
        self.idempotent = idempotent
        self.excluded = excluded
        self.standings = standings
