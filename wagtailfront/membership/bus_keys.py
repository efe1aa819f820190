"""CURVE keys of the peer bus and the authentication of clients."""

from typing import NamedTuple

from zmq.utils import z85

from wagtailfront.exception import SettingsError

__all__ = ["BusKeys", "read_keys", "zap_reply"]

KEY_CHARACTERS = 40
ZAP_VERSION = b"1.0"
ZAP_PARTS = 7  # frames of a request with a CURVE key


class BusKeys(NamedTuple):
    """CURVE keys of this instance and its peers, in Z85 text.

    Attributes
    ----------
    allowed : frozenset of bytes
        Public keys of the instances that may connect.
    server_keys : dict of str to bytes
        Public key of the instance at each address.
    fleet_key : bytes or None
        Public key of all instances that are not in `server_keys`.
    """

    public: bytes
    secret: bytes
    allowed: frozenset
    server_keys: dict
    fleet_key: bytes | None = None

    def server_key(self, address):
        """Return the public key expected at an address, or None."""
        return self.server_keys.get(address, self.fleet_key)


def read_keys(text):
    """Return the `BusKeys` that a key file holds.

    Parameters
    ----------
    text : str
        Lines "public KEY", "secret KEY", "peer ADDRESS KEY" and, if all
        instances share a key pair, "fleet KEY". A line that starts with # is
        a comment; elsewhere # may be part of a key.

    Raises
    ------
    SettingsError
        If a line is not valid or the own key pair is missing.
    """
    own, server_keys = {}, {}
    for line in text.splitlines():
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if words[0] == "peer" and len(words) == 3:
            server_keys[words[1]] = checked_key(words[2])
        elif words[0] in ("public", "secret", "fleet") and len(words) == 2:
            own[words[0]] = checked_key(words[1])
        else:
            raise SettingsError(
                f"key file has an invalid line that starts with {words[0]!r}"
            )
    if not {"public", "secret"} <= set(own):
        raise SettingsError("key file lacks a line 'public' or 'secret'")
    fleet_key = own.get("fleet")
    allowed = frozenset((*server_keys.values(), *filter(None, (fleet_key,))))
    return BusKeys(own["public"], own["secret"], allowed, server_keys, fleet_key)


def checked_key(word):
    try:
        z85.decode(word.encode())
    except (KeyError, ValueError):
        raise SettingsError("key file has a key that is not valid Z85") from None
    if len(word) != KEY_CHARACTERS:
        raise SettingsError("key file has a key that is not 40 characters long")
    return word.encode()


def zap_reply(request, allowed):
    """Return the reply to a request of the ZeroMQ authentication protocol.

    Parameters
    ----------
    request : list of bytes
        Version, request id, domain, address, identity, mechanism, key.
    allowed : set of bytes
        Public keys in Z85 text.

    Returns
    -------
    list of bytes or None
        None if the request is too short or of another protocol version.

    References
    ----------
    ZeroMQ RFC 27, ZeroMQ Authentication Protocol.
    """
    if len(request) < ZAP_PARTS or request[0] != ZAP_VERSION:
        return None
    mechanism, key = request[5], request[6]
    is_allowed = mechanism == b"CURVE" and len(key) == 32 and z85.encode(key) in allowed
    status = (b"200", b"OK") if is_allowed else (b"400", b"key is not allowed")
    return [ZAP_VERSION, request[1], *status, b"", b""]
