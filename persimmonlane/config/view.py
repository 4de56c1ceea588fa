"""Document view.

Answers questions about one revision of the document.
"""

import operator

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

    def __init__(self, document, revision, digest, previous=None):
        """Index a document.

        Args:
            document: The document.
            revision: Its revision.
            digest: Digest of its content, in hexadecimal.
            previous: An earlier view, whose index of routes is taken over if they
                are the same.
        """
        self.document = document
        self.revision = revision
        self.digest = digest
        self._services = {service.name: service for service in document.services}
        self._routes = index_routes(document.routes, previous)
        self._organisations = ensure_table("organisations", document.organisations)

    @property
    def routes(self):
        """The index of routes."""
        return self._routes

    def has_routes(self, table):
        """Return whether a table holds the same buckets of routes."""
        own = self._routes.table.buckets
        return len(own) == len(table.buckets) and all(
            map(operator.is_, own, table.buckets)
        )

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
    """Finds routes by their path prefixes; the longest that fits wins.

    Attributes:
        table: The routes.
    """

    __slots__ = ("table", "_prefixes", "_longest")

    def __init__(self, table):
        self.table = table
        self._prefixes = {}
        for index, route in enumerate(table):
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
                    return self.table[index]
            end = path.rfind("/", 0, end)
        return None


def index_routes(routes, previous):
    """Return the index of routes, that of an earlier view if they are the same."""
    table = ensure_table("routes", routes)
    if previous is not None and previous.has_routes(table):
        return previous.routes
    return RouteIndex(table)


def ensure_table(section, records):
    """Return records as a table, encoding them if need be."""
    if isinstance(records, Table):
        return records
    return build_table(section, split_records(section, records))
