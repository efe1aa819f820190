"""Checksummed snapshots of the configuration."""

import xxhash

from wagtailfront.authority.config_state import (
    decode_configuration,
    encode_configuration,
)
from wagtailfront.exception import ProtocolError

__all__ = ["SLOTS", "slot_name", "encode_snapshot", "decode_snapshot"]

FORMAT = b"wagtailfront-config-1"
# Versions alternate, so a damaged write leaves the previous snapshot.
SLOTS = ("config/snapshot-0", "config/snapshot-1")


def slot_name(version):
    """Return the name of the object that holds the snapshot of `version`.

    Examples
    --------
    >>> slot_name(7)
    'config/snapshot-1'
    """
    return SLOTS[version % len(SLOTS)]


def encode_snapshot(config):
    """Return a snapshot: a line with format and checksum, then JSON."""
    body = encode_configuration(config)
    return b"%s %s\n%s" % (FORMAT, checksum(body), body)


def decode_snapshot(data):
    """Return the configuration in a snapshot.

    The checksum detects damage, not forgery: whoever can write to the object
    store can also write a checksum.

    Raises
    ------
    ProtocolError
        If the snapshot is of another format, damaged or not valid.
    """
    header, _, body = data.partition(b"\n")
    if header != b"%s %s" % (FORMAT, checksum(body)):
        raise ProtocolError("snapshot has another format or a wrong checksum")
    return decode_configuration(body)


def checksum(body):
    return xxhash.xxh3_128_hexdigest(body).encode()
