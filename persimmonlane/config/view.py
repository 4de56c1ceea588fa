"""Document view.

Answers questions about one revision of the document.
"""

from ..errors import Refusal


class DocumentView:
    """One revision of the document, indexed.

    A request keeps the view it began with until its end.

    Attributes:
        document: The typed document.
        revision: Its revision, which only rises.
        digest: Digest of its content, in hexadecimal.
    """

    __slots__ = ("document", "revision", "digest", "_services", "_routes")

    def __init__(self, document, revision, digest):
        self.document = document
        self.revision = revision
        self.digest = digest
        self._services = {service.name: service for service in document.services}
        self._routes = sorted(document.routes, key=lambda route: -len(route.path))

    def get_service(self, name):
        """Return the service with this name."""
        return self._services[name]

    def find_route(self, method, path):
        """Return the route for a method and path.

        Raises:
            Refusal: With code `route-unknown` if no route matches.
        """
        for route in self._routes:
            if matches(route, method, path):
                return route
        raise Refusal(404, "route-unknown", "no route matches the request")


def matches(route, method, path):
    """Return whether a route matches a method and path."""
    if route.methods and method not in route.methods:
        return False
    prefix = route.path.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
