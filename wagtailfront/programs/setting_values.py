"""Types of settings and their parsers."""

import functools
import ipaddress
import pathlib
import re
import types
import typing
from typing import NamedTuple, NewType

__all__ = [
    "HostPort",
    "Address",
    "Seconds",
    "Count",
    "Rate",
    "Share",
    "Size",
    "Name",
    "PARSERS",
    "parse_value",
]

SIZE_UNITS = {"": 1, "B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
TRUE_WORDS = {"1", "true", "yes", "on"}
FALSE_WORDS = {"0", "false", "no", "off"}


class HostPort(NamedTuple):
    """IP address and port; its text is `host:port`.

    Examples
    --------
    >>> str(HostPort("127.0.0.1", 8000)), str(HostPort("::1", 8000))
    ('127.0.0.1:8000', '[::1]:8000')
    """

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    __repr__ = __str__  # lists of addresses are shown in --help


# defopt expands a NamedTuple into several arguments, but not a NewType.
Address = NewType("Address", HostPort)
Seconds = NewType("Seconds", float)
Count = NewType("Count", int)
Rate = NewType("Rate", float)
Share = NewType("Share", float)
Size = NewType("Size", int)
Name = NewType("Name", str)


def _parse_address(text):
    host, separator, port = text.rpartition(":")
    host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("is not <IP address>:<port>")
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        raise ValueError("has no port from 0 to 65535")
    return HostPort(host, int(port))


def _parse_number(text, *, maximum=float("inf")):
    try:
        number = float(text)
    except ValueError:
        raise ValueError("is not a number")
    if not 0 <= number <= maximum or number == float("inf"):
        raise ValueError(f"is not from 0 to {maximum}")
    return number


def _parse_count(text):
    if not (text.isascii() and text.isdigit()):
        raise ValueError("is not a whole number from 0")
    return int(text)


def _parse_size(text):
    match = re.fullmatch(r"([0-9]+)\s*([A-Za-z]*)", text)
    if match is None or match[2] not in SIZE_UNITS:
        raise ValueError("is not a number of bytes, KiB, MiB or GiB")
    return int(match[1]) * SIZE_UNITS[match[2]]


def _parse_name(text):
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        raise ValueError("is not a name of 1 to 63 letters, digits, '.', '_', '-'")
    return text


def _parse_flag(text):
    if text.lower() not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError("is not true or false")
    return text.lower() in TRUE_WORDS


PARSERS = {
    Address: _parse_address,
    Seconds: _parse_number,
    Count: _parse_count,
    Rate: _parse_number,
    Share: functools.partial(_parse_number, maximum=1.0),
    Size: _parse_size,
    Name: _parse_name,
    bool: _parse_flag,
    float: _parse_number,
    int: _parse_count,
    str: str,
    pathlib.Path: pathlib.Path,
}


def parse_value(annotation, text):
    """Parse a text as a value of the annotated type.

    Parameters
    ----------
    annotation : type
        A type of this module, bool, int, float, str or Path; an Optional or
        a list of one of them; or a Literal of strings.
    text : str

    Returns
    -------
    object

    Raises
    ------
    ValueError
        Its message has the invalid text and the rule that it violates.

    Examples
    --------
    >>> parse_value(Size, "4 MiB"), parse_value(list[Count], "1, 2")
    (4194304, [1, 2])
    """
    origin, arguments = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is list:
        words = text.replace(",", " ").split()
        return [parse_value(arguments[0], word) for word in words]
    if origin in (typing.Union, types.UnionType):
        (annotation,) = [item for item in arguments if item is not type(None)]
        return parse_value(annotation, text)
    if origin is typing.Literal:
        if text not in arguments:
            raise ValueError(f"{text!r} is not one of {', '.join(arguments)}")
        return text
    try:
        return PARSERS[annotation](text)
    except ValueError as error:
        raise ValueError(f"{text!r} {error}")
