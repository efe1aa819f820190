"""HTTP/1.1 framing of forwarded messages, and parsing of responses."""

from http import HTTPStatus
from typing import NamedTuple

import httptools

from wagtailfront.transport.http_exchange import MAX_FRAMING

__all__ = [
    "ResponseReader",
    "ResponseHead",
    "ResponseData",
    "ResponseEnd",
    "FramingError",
    "MessageHead",
    "HOP_BY_HOP",
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
HEAD_OVERHEAD = 4  # bytes: ": " and CRLF
MAX_HEADERS = 1000  # of a response; each takes some hundred bytes of memory
MAX_JOINED = 64 * 1024  # bytes of a body that is copied to save a call
BODILESS = (204, 304)
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class FramingError(Exception):
    """An invalid message; `status` is the response code for its sender."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class MessageHead:
    """Parser callbacks that collect the head of a message."""

    def __init__(self):
        self.target = b""
        self.headers = []
        self.head_bytes = 0
        self.in_body = False

    def on_message_begin(self):
        self.target = b""
        self.headers = []
        self.head_bytes = 0
        self.in_body = False

    def on_url(self, data):
        self.target += data
        self.head_bytes += len(data)

    def on_header(self, name, value):
        if self.in_body:  # trailers are not forwarded
            return
        self.headers.append((name, value))
        self.head_bytes += len(name) + len(value) + HEAD_OVERHEAD

    def on_headers_complete(self):
        self.in_body = True


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: list


class ResponseData(NamedTuple):
    """Part of a response's body, without its transfer coding."""

    data: bytes


class ResponseEnd(NamedTuple):
    """End of a complete response.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection may carry another request.
    """

    keep_alive: bool


class ResponseReader(MessageHead):
    """Parses responses on a connection to an endpoint.

    Attributes
    ----------
    failure : FramingError or None
        Error that ended parsing.

    Examples
    --------
    >>> reader = ResponseReader()
    >>> lines = [b"HTTP/1.1 200 OK", b"Content-Length: 2", b"", b"hi"]
    >>> parts = reader.feed(bytes([13, 10]).join(lines))
    >>> [type(part).__name__ for part in parts]
    ['ResponseHead', 'ResponseData', 'ResponseEnd']
    """

    def __init__(self):
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.is_close_delimited = False
        self.is_open = False
        self.parts = []
        self.data = bytearray()
        self.framing_bytes = 0
        self.failure = None

    def feed(self, data):
        """Return the response parts parsed from `data`; sets `failure`."""
        if self.failure is not None:
            return []
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError) as error:
            reason = error.__context__ or error
            self.failure = FramingError(502, f"not an HTTP response: {reason}")
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_FRAMING and self.failure is None:
            self.failure = FramingError(502, "response head or trailer too large")
        self._end_data()
        parts, self.parts = self.parts, []
        return parts

    def _end_data(self):
        """Add the bytes of a body to the parts."""
        if self.data:
            self.parts.append(ResponseData(bytes(self.data)))
            self.data.clear()

    def feed_end(self):
        """Return the parts that EOF completes, for a close-delimited body."""
        if self.failure is not None or not self.is_open:
            return []
        if not self.is_close_delimited:
            return []
        self.is_open = False
        return [ResponseEnd(keep_alive=False)]

    def on_message_begin(self):
        super().on_message_begin()
        self.is_open = True

    def on_header(self, name, value):
        super().on_header(name, value)
        if len(self.headers) > MAX_HEADERS:
            raise FramingError(502, "too many headers")

    def on_headers_complete(self):
        super().on_headers_complete()
        self.status = self.parser.get_status_code()
        if self.status < 100:
            # Unlike an interim response, it would have a body.
            raise FramingError(502, f"invalid status {self.status}")
        if self.status < 200:
            return
        codings = _transfer_codings(self.headers)
        if codings not in ([], [b"chunked"]):
            raise FramingError(502, "transfer codings other than chunked")
        self.is_close_delimited = (
            find_header(self.headers, b"content-length") is None
            and not codings
            and self.status not in BODILESS
        )
        self.parts.append(ResponseHead(self.status, self.headers))

    def on_body(self, data):
        # Counts the bytes that follow in the same read as framing.
        self.framing_bytes = -len(data)
        # One part for all chunks of a read, which may be tiny.
        self.data += data

    def on_message_complete(self):
        if self.status < 200:
            return
        self._end_data()
        self.is_open = False
        self.framing_bytes = 0
        keep_alive = self.parser.should_keep_alive() and not self.is_close_delimited
        self.parts.append(ResponseEnd(keep_alive=keep_alive))


def _transfer_codings(headers):
    """Return the values of all Transfer-Encoding headers, in lower case."""
    return [
        value.strip().lower()
        for key, value in headers
        if key.lower() == b"transfer-encoding"
    ]


def find_header(headers, name):
    """Return the value of the first header called `name`, or None.

    `name` is in lower case; names in `headers` may have any case.

    Examples
    --------
    >>> find_header([(b"Host", b"h")], b"host")
    b'h'
    """
    return next((value for key, value in headers if key.lower() == name), None)


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
