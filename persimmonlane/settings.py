"""Settings.

Helpers shared by the decoders of settings and documents.
"""

from .errors import InputError


def build_input_error(error, code):
    """Return an `InputError` for a msgspec error, with the path that it names.

    Args:
        error: The `msgspec.ValidationError` or another error of msgspec.
        code: Error code of the result.
    """
    message, _, place = str(error).partition(" - at `")
    return InputError(message, code=code, place=place.rstrip("`") or "$")


def split_address(address):
    """Return the host and the port of an address such as `127.0.0.1:80`.

    The brackets of an IPv6 host are removed.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
