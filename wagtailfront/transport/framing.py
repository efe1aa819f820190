"""HTTP/1.1 framing of forwarded messages."""

from http import HTTPStatus

from wagtailfront.transport.http_responses import (
    FramingError,
    MessageHead,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ResponseReader,
    find_header,
)

__all__ = [
    "ResponseReader",
    "ResponseHead",
    "ResponseData",
    "ResponseEnd",
    "FramingError",
    "MessageHead",
    "HOP_BY_HOP",
    "MAX_JOINED",
    "find_header",
    "encode_head",
    "join_small",
    "status_line",
    "encode_chunk",
    "LAST_CHUNK",
    "CONTINUE",
]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_JOINED = 64 * 1024  # bytes of a body that is copied to save a call
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_head(first_line, headers):
    """Return the encoded head of a message.

    Parameters
    ----------
    first_line : bytes
    headers : iterable of (bytes, bytes)
    """
    lines = [first_line, *(b"%b: %b" % header for header in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def join_small(head, body):
    """Return a message as two parts; a large body is not copied.

    Examples
    --------
    >>> join_small(b"head", b"body")
    (b'headbody', b'')
    """
    return (head + body, b"") if len(body) <= MAX_JOINED else (head, body)


def status_line(status):
    """Return the status line of a response."""
    return b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))


def encode_chunk(data):
    """Return `data` in chunked transfer coding.

    Examples
    --------
    >>> encode_chunk(b"abc").split()
    [b'3', b'abc']
    """
    return b"%x\r\n%b\r\n" % (len(data), data)
