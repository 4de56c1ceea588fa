"""Settings.

What the readers of settings and documents share.
"""

from .errors import InputError


def build_input_error(error, code):
    """Return an `InputError` with the place that msgspec names."""
    message, _, place = str(error).partition(" - at `")
    return InputError(message, code=code, place=place.rstrip("`") or "$")


def split_address(address):
    """Return host and port of an address such as `127.0.0.1:80`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
