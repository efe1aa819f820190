"""One HTTP request on one connection, and the state of its response."""

import math
import time
from collections import deque
from typing import Protocol

from circuits.web.parsers import HttpParser

from wagtailfront.transport.first_line import FirstLineBuffer

__all__ = [
    "MAX_FRAMING",
    "MAX_TRANSFER",
    "ResponseSink",
    "WholeResponse",
    "Exchange",
    "encode_request",
    "split_address",
]

MAX_WHOLE_BODY = 16 * 1024 * 1024  # bytes
# Bytes of a response that may be heads, chunk lines or trailers, from one part
# of its body to the next.
MAX_FRAMING = 128 * 1024
# Seconds from the first to the last byte of an answer without a total limit.
MAX_TRANSFER = 10.0


class ResponseSink(Protocol):
    """Receiver of one response."""

    def on_head(self, status, headers):
        """Handle the status code and the headers."""

    def on_data(self, data):
        """Handle a part of the body, with its transfer coding removed."""

    def on_end(self):
        """Handle the end of a complete response."""

    def on_failure(self, reason, sent):
        """Handle the lack of a complete response.

        `sent` is False only if no byte of the request was written.
        """


class WholeResponse:
    """Sink that collects a response and calls `on_done` once.

    Parameters
    ----------
    on_done : callable
        Called with status, headers and body; after a failure with None, the
        reason and whether any byte was sent.
    """

    def __init__(self, on_done, *, max_body=MAX_WHOLE_BODY):
        self.on_done = on_done
        self.max_body = max_body
        self.status = None
        self.headers = None
        self.parts = []
        self.size = 0
        self.exchange = None

    def on_head(self, status, headers):
        self.status = status
        self.headers = headers

    def on_data(self, data):
        self.size += len(data)
        if self.size > self.max_body and self.exchange is not None:
            self.exchange.fail("response body too large")
            return
        self.parts.append(data)

    def on_end(self):
        self.on_done(self.status, self.headers, b"".join(self.parts))

    def on_failure(self, reason, sent):
        self.on_done(None, reason, sent)


class Exchange:
    """One request on one connection, and the state of its response."""

    def __init__(
        self,
        *,
        pool,
        address,
        secure,
        payload,
        sink,
        deadline,
        stall_timeout=None,
        may_send=None,
    ):
        self.pool = pool
        self.address = address
        self.secure = secure
        self.sink = sink
        self.deadline = deadline
        self.stall_timeout = stall_timeout
        self.may_send = may_send
        self.connect_deadline = None
        self.outgoing = deque([payload])
        self.sent = False
        self.done = False
        self.head_received = False
        self.reused = False
        self.connected = False
        self.sock = None
        self.first_line = FirstLineBuffer()
        self.parser = HttpParser(1, False)
        self.framing_bytes = 0
        self.body_left = math.inf
        self.has_excess = False
        self.last_progress = time.monotonic()
        self.begun_at = None
        self.bytes_received = 0

    def cancel(self):
        """Close the connection without calling the sink."""
        if not self.done:
            self.done = True
            self.pool.drop(self)

    def fail(self, reason):
        """Close the connection and report a failure to the sink."""
        if not self.done:
            self.done = True
            self.pool.drop(self)
            self.sink.on_failure(reason, self.sent)

    def receive(self, data):
        """Parse bytes of the response and pass them to the sink."""
        self._record_progress(time.monotonic())
        self.bytes_received += len(data)
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_FRAMING:
            return self.fail("response head or trailer too large")
        data = self.first_line.feed(data)
        if not data:
            return None
        try:
            self.parser.execute(data, len(data))
        except (TypeError, ValueError) as error:
            # circuits' parser raises these on malformed lengths and escapes.
            return self.fail(f"invalid response: {error}")
        if not self.head_received and self.parser.is_headers_complete():
            if not self._is_head_valid():
                return self.fail("invalid response head")
            self.head_received = True
            length = self.parser.get_headers().get("content-length", math.inf)
            self.body_left = float(length)
            self.sink.on_head(self.parser.get_status_code(), self.parser.get_headers())
        if self.done:
            return None
        if self.parser.errno is not None and not self.head_received:
            return self.fail("invalid response head")
        if self.parser.is_partial_body():
            body = self._cut_excess(self.parser.recv_body())
            if body:
                self.framing_bytes = 0
                self.sink.on_data(body)
        if not self.done and self.head_received and self._is_complete():
            self.finish()
        return None

    def _record_progress(self, now):
        self.last_progress = now
        if self.stall_timeout is None:
            return
        if self.begun_at is None:
            self.begun_at = now
        self.deadline = min(now + self.stall_timeout, self.begun_at + MAX_TRANSFER)

    def _is_head_valid(self):
        """Return whether there is a status, and at most one valid framing."""
        headers = self.parser.get_headers()
        coding = headers.get("transfer-encoding")
        length = headers.get("content-length")
        if self.parser.get_status_code() is None:
            return False
        if coding is not None:
            return length is None and coding.lower() == "chunked"
        return length is None or (length.isascii() and length.isdigit())

    def _cut_excess(self, data):
        """Return `data` up to Content-Length, which the parser ignores."""
        self.has_excess = len(data) > self.body_left
        body = data[: int(self.body_left)] if self.has_excess else data
        self.body_left -= len(body)
        return body

    def _is_complete(self):
        bodiless = self.parser.get_status_code() in (204, 304)
        return bodiless or self.parser.is_message_complete()

    def finish(self):
        """Release the connection and report the end of the response."""
        self.done = True
        is_reusable = self.parser.should_keep_alive() and not self.has_excess
        self.pool.release(self, reusable=is_reusable)
        self.sink.on_end()

    def handle_eof(self):
        """Handle EOF, which completes a response without other framing."""
        if self.done:
            return
        has_framing = self.parser.is_chunked() or (
            self.head_received and "content-length" in self.parser.get_headers()
        )
        if self.head_received and not has_framing:
            self.done = True
            self.pool.drop(self)
            self.sink.on_end()
        else:
            self.fail("connection closed before the response ended")


def split_address(address):
    """Return host and port of an address "host:port".

    Examples
    --------
    >>> split_address("127.0.0.1:8000")
    ('127.0.0.1', 8000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def encode_request(host, port, method, path, headers, body):
    """Return a request as bytes; Content-Length is added."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}:{port}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
        "\r\n",
    ]
    return "\r\n".join(lines).encode("latin-1") + body
