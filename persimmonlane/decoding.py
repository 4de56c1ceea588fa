"""Decoding of bytes that come from outside of the process.

Whoever wrote them, every way in which they can't be decoded is an `InputError`.
"""

from typing import Any

import msgspec
import yaml

from .errors import InputError

# Decoders give up on values that are nested too deeply, or on numbers that are too
# large, with errors that are none of their own.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    yaml.YAMLError,
    ValueError,
    OverflowError,
    RecursionError,
)


def decode_json(raw, decoded_type=Any, code="input-malformed"):
    """Decode JSON.

    Args:
        raw: The JSON as bytes or text.
        decoded_type: Type to decode to.
        code: Code of the error.

    Raises:
        InputError: If it can't be decoded; `place` names the invalid field if it is
            known.
    """
    try:
        return msgspec.json.decode(raw, type=decoded_type)
    except DECODING_ERRORS as error:
        raise build_input_error(error, code) from error


def decode_msgpack(raw, decoder, code="input-malformed"):
    """Decode MessagePack; see `decode_json`.

    Args:
        raw: The message in bytes.
        decoder: The `msgspec.msgpack.Decoder` of its type.
        code: Code of the error.
    """
    try:
        return decoder.decode(raw)
    except DECODING_ERRORS as error:
        raise build_input_error(error, code) from error


def decode_yaml(raw, decoded_type, code="input-malformed"):
    """Decode YAML; see `decode_json`."""
    try:
        return msgspec.convert(yaml.safe_load(raw), decoded_type)
    except DECODING_ERRORS as error:
        raise build_input_error(error, code) from error


def build_input_error(error, code):
    """Return an `InputError` for the error of a decoder, with the path that it names.

    Args:
        error: The error.
        code: Error code of the result.
    """
    message, _, place = str(error).partition(" - at `")
    return InputError(message, code=code, place=place.rstrip("`") or "$")
