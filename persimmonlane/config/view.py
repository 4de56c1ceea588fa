"""Document view.

Answers questions about one revision of the document.
"""

from ..errors import Refusal
from .tables import Table, build_table, split_records


class DocumentView:
    """One revision of the document, indexed.

    A request keeps the view it began with until its end.

    Attributes:
        document: The document; its sections may be tables decoded on use.
        revision: Its revision, which only rises.
        digest: Digest of its content, in hexadecimal.
    """

    __slots__ = (
        "document",
        "revision",
        "digest",
        "_services",
        "_routes",
        "_organisations",
    )

    def __init__(self, document, revision, digest):
        self.document = document
        self.revision = revision
        self.digest = digest
        self._services = {service.name: service for service in document.services}
        self._routes = RouteIndex(document.routes)
        self._organisations = ensure_table("organisations", document.organisations)

    @property
    def fleet(self):
        """Policy for the whole fleet."""
        return self.document.fleet

    def get_service(self, name):
        """Return the service with this name."""
        return self._services[name]

    def find_organisation(self, name):
        """Return the organisation with this name, or None."""
        return self._organisations.find(name)

    def find_route(self, method, path):
        """Return the route for a method and path.

        Raises:
            Refusal: With code `route-unknown` if no route matches.
        """
        route = self._routes.find(method, path)
        if route is None:
            raise Refusal(404, "route-unknown", "no route matches the request")
        return route


class RouteIndex:
    """Finds routes by their path prefixes; the longest that fits wins."""

    __slots__ = ("_prefixes", "_longest", "_routes")

    def __init__(self, routes):
        self._routes = ensure_table("routes", routes)
        self._prefixes = {}
        for index, route in enumerate(self._routes):
            prefix = route.path.rstrip("/")
            self._prefixes.setdefault(prefix, []).append((route.methods, index))
        self._longest = max(map(len, self._prefixes), default=0)

    def find(self, method, path):
        """Return the route for a method and path, or None."""
        end = len(path)
        if end > self._longest:
            # Longer paths begin at the last boundary that a prefix can end at.
            end = path.rfind("/", 0, self._longest + 1)
        while end >= 0:
            for methods, index in self._prefixes.get(path[:end], ()):
                if not methods or method in methods:
                    return self._routes[index]
            end = path.rfind("/", 0, end)
        return None


def ensure_table(section, records):
    """Return records as a table, encoding them if need be."""
    if isinstance(records, Table):
        return records
    return build_table(section, split_records(section, records))
