"""Headers between an instance and a peer that sends its request on."""

from typing import NamedTuple
from urllib.parse import quote, unquote

from wagtailfront.transport.framing import find_header

__all__ = [
    "ProxyAnswer",
    "ProxyInstructions",
    "instruction_headers",
    "origin_headers",
    "read_answer",
    "read_instructions",
    "unreached_headers",
    "without_proxy_headers",
]

PREFIX = b"wagtailfront-proxy-"
SERVICE = b"Wagtailfront-Proxy-Service"
RUNS = b"Wagtailfront-Proxy-Runs"
STREAM_VERSION = b"Wagtailfront-Proxy-Stream-Version"
ENDPOINT = b"Wagtailfront-Proxy-Endpoint"
WORKSPACE = b"Wagtailfront-Proxy-Workspace"
CALLER = b"Wagtailfront-Proxy-Caller"
SOFTWARE_VERSION = b"Wagtailfront-Proxy-Software-Version"
UNREACHED = b"Wagtailfront-Proxy-Unreached"
MAX_RUNS = 9


class ProxyInstructions(NamedTuple):
    """What the instance that took a request from its caller decided.

    Attributes
    ----------
    service : str
        To which the request goes.
    runs : int
        Runs that the request may have had.
    software_version : str or None
        Version that began the stream, if it has begun.
    workspace : str or None
        That of the key, which need not be checked again; None for a request
        without one, or of an instance that does not check keys.
    caller : str
        Names the caller of a workspace, as in its RequestFields.
    """

    service: str
    runs: int = 0
    software_version: str | None = None
    workspace: str | None = None
    caller: str = ""


class ProxyAnswer(NamedTuple):
    """What a peer says of its answer.

    Attributes
    ----------
    endpoint : str or None
        Incarnation whose answer it is; None for one of the peer itself.
    software_version : str
    is_unreached : bool
        Whether the peer did not send the request, and another one may.
    """

    endpoint: str | None
    software_version: str
    is_unreached: bool


def without_proxy_headers(headers):
    """Return `headers` without those of this module.

    Examples
    --------
    >>> headers = [(b"A", b"1"), (b"Wagtailfront-Proxy-Runs", b"1")]
    >>> without_proxy_headers(headers)
    [(b'A', b'1')]
    """
    return [header for header in headers if not header[0].lower().startswith(PREFIX)]


def instruction_headers(instructions):
    """Return the headers of a request to a peer.

    Examples
    --------
    >>> instructions = ProxyInstructions("s", 1, "v2", workspace="archive")
    >>> read_instructions(instruction_headers(instructions)) == instructions
    True
    """
    headers = [
        (SERVICE, _encode(instructions.service)),
        (RUNS, b"%d" % min(instructions.runs, MAX_RUNS)),
    ]
    if instructions.software_version is not None:
        headers.append((STREAM_VERSION, _encode(instructions.software_version)))
    if instructions.workspace is not None:
        headers.append((WORKSPACE, _encode(instructions.workspace)))
        headers.append((CALLER, _encode(instructions.caller)))
    return headers


def read_instructions(headers):
    """Return the ProxyInstructions of a request.

    Raises
    ------
    ValueError
        If they are missing or malformed.
    """
    service = find_header(headers, SERVICE.lower())
    if service is None:
        raise ValueError("a request of a peer names no service")
    version = find_header(headers, STREAM_VERSION.lower())
    workspace = find_header(headers, WORKSPACE.lower())
    return ProxyInstructions(
        service=_decode(service),
        runs=int(find_header(headers, RUNS.lower()) or 0),
        software_version=None if version is None else _decode(version),
        workspace=None if workspace is None else _decode(workspace),
        caller=_decode(find_header(headers, CALLER.lower()) or b""),
    )


def origin_headers(record):
    """Return the headers that name the endpoint of an answer."""
    return [
        (ENDPOINT, _encode(record.incarnation)),
        (SOFTWARE_VERSION, _encode(record.software_version)),
    ]


def unreached_headers():
    """Return the headers of a refusal of a request that another may send."""
    return [(UNREACHED, b"1")]


def read_answer(headers):
    """Return the ProxyAnswer of a peer's answer."""
    endpoint = find_header(headers, ENDPOINT.lower())
    version = find_header(headers, SOFTWARE_VERSION.lower()) or b""
    return ProxyAnswer(
        endpoint=None if endpoint is None else _decode(endpoint),
        software_version=_decode(version),
        is_unreached=find_header(headers, UNREACHED.lower()) is not None,
    )


def _encode(text):
    return quote(text, safe="").encode("ascii")


def _decode(value):
    return unquote(value.decode("latin-1"))
