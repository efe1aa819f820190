"""Parsing of callers' HTTP/1.1 requests."""

from typing import NamedTuple

import httptools

from wagtailfront.serving.caller_limits import GROWTH_COST
from wagtailfront.transport.framing import (
    MAX_JOINED,
    FramingError,
    MessageHead,
    encode_head,
    find_header,
)

__all__ = ["Request", "RequestReader"]

CONNECT = b"CONNECT"
UPGRADE = b"upgrade"
HEADER_COST = 200  # bytes of memory for a header beside those of its text


class Request(NamedTuple):
    """A complete request; header names keep the case received.

    Attributes
    ----------
    body : bytes or bytearray
        A large one stays in the buffer into which it was read.
    """

    method: bytes
    target: bytes
    headers: list
    body: bytes | bytearray
    keep_alive: bool
    http_version: str

    @property
    def held_bytes(self):
        """Return the bytes of memory that it takes."""
        return len(self.body) + _head_cost(self.headers)


class RequestReader(MessageHead):
    """Parses requests from a caller's bytes.

    An offer of another protocol (the header Upgrade) is ignored, as RFC 9110,
    section 7.8, allows. CONNECT is refused.

    Parameters
    ----------
    max_head, max_body : int
        Bytes.

    Attributes
    ----------
    failure : FramingError or None
        Error that ended parsing; requests returned before it are complete.
    is_between_requests : bool
        Whether no request is partly received.
    bytes_read : int
        Bytes received so far.
    body_parts : int
        Parts in which bodies arrived, as chunks or reads.

    Examples
    --------
    >>> reader = RequestReader(max_head=1000, max_body=1000)
    >>> lines = [b"POST /a HTTP/1.1", b"Content-Length: 2", b"", b"hi"]
    >>> [request.body for request in reader.feed(bytes([13, 10]).join(lines))]
    [b'hi']
    """

    def __init__(self, *, max_head, max_body):
        super().__init__()
        self.max_head = max_head
        self.max_body = max_body
        self.parser = httptools.HttpRequestParser(self)
        self.body = bytearray()
        self.body_bytes = 0
        self.requests = []
        self.failure = None
        self.expects_continue = False
        self.is_between_requests = True
        self.partial_head_bytes = 0
        self.bytes_read = self.body_parts = 0
        self.announced = None
        # Bytes of chunks' heads and trailers since the last of a body.
        self.framing_bytes = 0
        self.has_read_body = False

    @property
    def held_bytes(self):
        """Return the bytes of memory that an unfinished request takes."""
        head = self.partial_head_bytes
        head += self.head_bytes + HEADER_COST * len(self.headers)
        return head + int(GROWTH_COST * len(self.body))

    def take_announced(self):
        """Return the length of a body whose head was just read, or 0."""
        announced, self.announced = self.announced, None
        return announced or 0

    def give_up(self, status, reason):
        """Parse nothing more, and free what is unfinished."""
        self.failure = FramingError(status, reason)
        self._free()

    def _free(self):
        self.body = bytearray()
        self.headers = []
        self.head_bytes = self.partial_head_bytes = 0
        # The parser keeps the start of a header whose end is missing.
        self.parser = None

    def feed(self, data):
        """Return the requests that `data` completes; sets `failure`."""
        self.bytes_read += len(data)
        if self.failure is not None:
            return []
        try:
            self._parse(data)
            self._check_head()
        except FramingError as error:
            self.failure = error
        except httptools.HttpParserError as error:
            self.failure = (
                error.__context__
                if isinstance(error.__context__, FramingError)
                else FramingError(400, f"not an HTTP request: {error}")
            )
        if self.failure is not None:
            self._free()
        done, self.requests = self.requests, []
        return done

    def _parse(self, data):
        """Parse `data`, also beyond heads that offer another protocol."""
        rest = memoryview(data)
        while rest:
            try:
                self.parser.feed_data(rest)
            except httptools.HttpParserUpgrade as error:
                (size,) = error.args
                rest = rest[size:]
                self._ignore_upgrade()
            else:
                self._count_partial_head(len(rest))
                self._count_framing(len(rest))
                return

    def _ignore_upgrade(self):
        """Parse the last head once more, without its offer.

        The parser ends a message at such a head and leaves out its body.
        """
        first_line = b"%b %b HTTP/%b" % (
            self.parser.get_method(),
            self.target,
            self.parser.get_http_version().encode(),
        )
        headers = [header for header in self.headers if header[0].lower() != UPGRADE]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(encode_head(first_line, headers))

    def on_message_begin(self):
        super().on_message_begin()
        self.body = bytearray()
        self.body_bytes = self.framing_bytes = 0
        self.is_between_requests = False

    def on_headers_complete(self):
        super().on_headers_complete()
        self.partial_head_bytes = 0
        self._check_head()
        if self.parser.get_method() == CONNECT:
            raise FramingError(400, "CONNECT is not served")
        # The parser has refused any but one number.
        self.announced = int(find_header(self.headers, b"content-length") or 0)
        if self.announced > self.max_body:
            raise FramingError(413, "announced request body too large")
        expected = find_header(self.headers, b"expect") or b""
        self.expects_continue = expected.lower() == b"100-continue"

    def on_body(self, data):
        self.body_parts += 1
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body:
            raise FramingError(413, "request body too large")
        self.body += data
        self.has_read_body = True

    def on_message_complete(self):
        if self.parser.should_upgrade():
            return  # the head is parsed again without its offer
        self.is_between_requests = True
        self.expects_continue = False
        body, self.body = self.body, bytearray()
        if len(body) <= MAX_JOINED:
            body = bytes(body)
        self.requests.append(
            Request(
                method=self.parser.get_method(),
                target=self.target,
                headers=self.headers,
                body=body,
                keep_alive=self.parser.should_keep_alive(),
                http_version=self.parser.get_http_version(),
            )
        )

    def _count_partial_head(self, size):
        """Count the bytes of an incomplete head.

        A read that ends another request holds bytes of that one too.
        """
        if not (self.is_between_requests or self.in_body or self.requests):
            self.partial_head_bytes += size

    def _count_framing(self, size):
        """Count the bytes of a read that has nothing of a body."""
        is_read, self.has_read_body = self.has_read_body, False
        if is_read or self.is_between_requests or not self.in_body:
            self.framing_bytes = 0
        else:
            self.framing_bytes += size

    def _check_head(self):
        sizes = self.head_bytes, self.partial_head_bytes, self.framing_bytes
        if max(sizes) > self.max_head:
            raise FramingError(431, "request head or trailer too large")


def _head_cost(headers):
    """Return the bytes of memory that headers take."""
    return sum(HEADER_COST + len(name) + len(value) for name, value in headers)
