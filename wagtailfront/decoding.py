"""Decoding of bytes that other processes wrote."""

import socket

import msgspec

from wagtailfront.exception import ProtocolError

__all__ = ["decode_json", "decode_msgpack", "decode_address"]

# Deeply nested values exceed the recursion limit of the decoders, also in
# fields that are ignored.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)

UNSPECIFIED = bytes(4)  # connects to this machine itself
PORT_DIGITS = 5
MAX_PORT = 65535


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


def decode_address(text):
    """Return IP number and port of an address "IP:PORT".

    Only the usual notation is accepted: a host's name would have to be looked
    up, and two notations of one address would count as two.

    Raises
    ------
    ValueError
        If it is not an address that can be connected to.

    Examples
    --------
    >>> decode_address("10.0.0.9:8080")
    ('10.0.0.9', 8080)
    """
    host, _colon, digits = text.rpartition(":")
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
        port = int(digits) if digits.isascii() and len(digits) <= PORT_DIGITS else 0
    except (OSError, ValueError):
        packed, port = UNSPECIFIED, 0
    is_usual = packed != UNSPECIFIED and digits == str(port)
    if not is_usual or not 0 < port <= MAX_PORT:
        raise ValueError(f"unreadable address {text!r:.80}")
    return host, port


def _decode(decode, data, kind):
    try:
        return decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"not a valid {kind}: {error}") from error
