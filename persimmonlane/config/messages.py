"""Configuration messages.

What the configuration part tells its subscribers.
"""


class DocumentChanged:
    """Another revision of the document is in force.

    Attributes:
        view: The `DocumentView` in force from now on.
    """

    __slots__ = ("view",)

    def __init__(self, view):
        self.view = view


class FreshnessChanged:
    """The node has become isolated, or has heard store or peers again.

    Attributes:
        isolated: Whether keyed requests are to be refused.
    """

    __slots__ = ("isolated",)

    def __init__(self, isolated):
        self.isolated = isolated
