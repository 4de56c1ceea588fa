"""Store.

Access to the platform's key-value service.
"""


def create_client(name, address):
    """Return a client of the store.

    Args:
        name: Name of the client's class in the registry.
        address: Address of the service.

    Raises:
        InputError: If there is no such client.
    """
    from . import remote  # noqa: F401 - fills the registry
    from .client import clients

    return clients.get_by_name(name)(address)
