"""Registries.

A registry finds the classes that implement one interface by their names.
"""

from .errors import InputError


class Registry:
    """Classes that can be looked up by name or alias.

    Attributes:
        kind: Noun for the registered classes in error messages.
    """

    __slots__ = ("kind", "_classes", "_names")

    def __init__(self, kind):
        self.kind = kind
        self._classes = {}
        self._names = []

    def register(self, cls):
        """Register a class under its `name` and `aliases`, as a class decorator."""
        self._names.append(cls.name)
        for name in (cls.name, *cls.aliases):
            self._classes[name] = cls
        return cls

    def get_by_name(self, name):
        """Return the class with this name or alias.

        Raises:
            InputError: With code `unknown-variant` if there is none.
        """
        try:
            return self._classes[name]
        except KeyError:
            raise InputError(
                f"no {self.kind} is named {name!r}", code="unknown-variant"
            ) from None

    def names(self):
        """Return the sorted names of the classes, without aliases."""
        return sorted(self._names)
