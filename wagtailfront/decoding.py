"""Decoding of bytes that other processes wrote."""

import msgspec

from wagtailfront.exception import ProtocolError

__all__ = ["decode_json", "decode_msgpack"]

# Deeply nested values exceed the recursion limit of the decoders, also in
# fields that are ignored.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)


def decode_json(data, kind):
    """Return the value of a type that `data` holds as JSON.

    Raises
    ------
    ProtocolError
        If `data` is not such JSON.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    """
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data, kind):
    """Return the value of a type that `data` holds as msgpack.

    Raises
    ------
    ProtocolError
        If `data` is not such msgpack.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode, data, kind):
    try:
        return decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"not a valid {kind}: {error}") from error
