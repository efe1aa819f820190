"""Decoding of what endpoints say of themselves in their answers."""

import re

from wagtailfront.forwarding.interfaces import EndpointNotice

__all__ = ["read_notice"]

LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
NAMES = {name.lower().encode(): name for name in (LEAVING, RETRY_AFTER)}
# Values that are decoded; all others are reported as unreadable.
READABLE = {
    LEAVING: re.compile(r"1"),
    RETRY_AFTER: re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+"),  # seconds
}
NO_NOTICE = EndpointNotice()
MAX_LOGGED_VALUES = 4
MAX_LOGGED = 40  # characters of a value


def read_notice(headers):
    """Return the EndpointNotice in an answer's headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in any case. A header that is there more than once, or that
        holds a list, is decoded value by value; the longest pause counts.
    """
    values = [
        (NAMES[name.lower()], value.strip())
        for name, whole in headers
        if name.lower() in NAMES
        for value in whole.decode("latin-1").split(",")
    ]
    if not values:
        return NO_NOTICE
    readable, unreadable = [], []
    for name, value in values:
        is_readable = READABLE[name].fullmatch(value)
        (readable if is_readable else unreadable).append((name, value))
    return EndpointNotice(
        is_leaving=any(name == LEAVING for name, _value in readable),
        retry_after=max(
            (float(value) for name, value in readable if name == RETRY_AFTER),
            default=None,
        ),
        headers=_lines(readable),
        unreadable=_lines(unreadable),
    )


def _lines(values):
    return tuple(
        f"{name}: {value[:MAX_LOGGED]}" for name, value in values[:MAX_LOGGED_VALUES]
    )
