"""Decoding of what endpoints say of themselves in their answers."""

from wagtailfront.forwarding.interfaces import EndpointNotice

__all__ = ["read_notice"]

LEAVING = "Server-Leaving"
IS_LEAVING = "1"
NAMES = {name.lower().encode(): name for name in (LEAVING,)}
NO_NOTICE = EndpointNotice()
MAX_LOGGED = 40  # characters of a value


def read_notice(headers):
    """Return the EndpointNotice in an answer's headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in any case. A header that is there more than once, or that
        holds a list, is decoded value by value.
    """
    values = [
        (NAMES[name.lower()], value.strip())
        for name, whole in headers
        if name.lower() in NAMES
        for value in whole.decode("latin-1").split(",")
    ]
    if not values:
        return NO_NOTICE
    readable = [value for name, value in values if value == IS_LEAVING]
    return EndpointNotice(
        is_leaving=bool(readable),
        headers=_lines((name, value) for name, value in values if value in readable),
        unreadable=_lines(
            (name, value) for name, value in values if value not in readable
        ),
    )


def _lines(values):
    return tuple(f"{name}: {value[:MAX_LOGGED]}" for name, value in values)
