"""One HTTP request on one connection, and the state of its response."""

import time
from collections import deque
from typing import Protocol

from wagtailfront.transport.framing import join_small
from wagtailfront.transport.http_responses import (
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ResponseReader,
)

__all__ = [
    "MAX_TRANSFER",
    "ResponseHeaders",
    "ResponseSink",
    "WholeResponse",
    "Exchange",
    "encode_request",
    "split_address",
]

CRLF = b"\r\n"
MAX_WHOLE_BODY = 16 * 1024 * 1024  # bytes
# Seconds from the first to the last byte of an answer without a total limit.
MAX_TRANSFER = 10.0


class ResponseHeaders(dict):
    """Headers of a response by name, in any case; the last one of a name.

    Examples
    --------
    >>> headers = ResponseHeaders([(b"ETag", b"1")])
    >>> headers.get("etag"), headers.get("Age")
    ('1', None)
    """

    def __init__(self, pairs):
        super().__init__(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in pairs
        )

    def get(self, name, default=None):
        return super().get(name.lower(), default)


class ResponseSink(Protocol):
    """Receiver of one response."""

    def on_head(self, status, headers):
        """Handle the status code and the ResponseHeaders."""

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
    max_body : int, optional
        Bytes.
    memory : BodyMemory, optional
        Bounds the bytes of all responses together.
    """

    def __init__(self, on_done, *, max_body=MAX_WHOLE_BODY, memory=None):
        self.on_done = on_done
        self.max_body = max_body
        self.status = None
        self.headers = None
        self.parts = []
        self.size = 0
        self.exchange = None
        self.held = memory and memory.hold(on_evicted=self._fail_for_memory)

    def on_head(self, status, headers):
        self.status = status
        self.headers = headers

    def on_data(self, data):
        self.size += len(data)
        if self.size > self.max_body and self.exchange is not None:
            self.exchange.fail("response body too large")
            return
        if self.held and not self.held.resize(self.size):
            self._fail_for_memory()
            return
        self.parts.append(data)

    def _fail_for_memory(self):
        if self.exchange is not None:
            self.exchange.fail("responses take too much memory")

    def release(self):
        """Free the bytes, as these objects refer to each other."""
        self.parts.clear()
        if self.held:
            self.held.release()

    def on_end(self):
        body = b"".join(self.parts)
        self.release()
        self.on_done(self.status, self.headers, body)

    def on_failure(self, reason, sent):
        self.release()
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
        body=b"",
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
        # Views, so that the rest of a long part is sent without a copy.
        self.outgoing = deque(memoryview(part) for part in (payload, body) if part)
        self.sent = False
        self.done = False
        self.reused = False
        self.connected = False
        self.sock = None
        self.reader = ResponseReader()
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
        parts = deque(self.reader.feed(data))
        while parts and not self.done:
            part = parts.popleft()
            if isinstance(part, ResponseHead):
                self.sink.on_head(part.status, ResponseHeaders(part.headers))
            elif isinstance(part, ResponseData):
                self.sink.on_data(part.data)
            else:
                # Bytes after the response belong to no request.
                is_last = not parts and not self.reader.is_open
                is_sound = is_last and self.reader.failure is None
                self.finish(is_reusable=part.keep_alive and is_sound)
        if not self.done and self.reader.failure is not None:
            self.fail(f"invalid response: {self.reader.failure}")

    def _record_progress(self, now):
        self.last_progress = now
        if self.stall_timeout is None:
            return
        if self.begun_at is None:
            self.begun_at = now
        self.deadline = min(now + self.stall_timeout, self.begun_at + MAX_TRANSFER)

    def finish(self, *, is_reusable):
        """Release the connection and report the end of the response."""
        self.done = True
        self.pool.release(self, reusable=is_reusable)
        self.sink.on_end()

    def handle_eof(self):
        """Handle EOF, which completes a response without other framing."""
        if self.done:
            return
        if self.reader.feed_end() or self._ends_with_last_chunk():
            self.done = True
            self.pool.drop(self)
            self.sink.on_end()
        else:
            self.fail("connection closed before the response ended")

    def _ends_with_last_chunk(self):
        """Return whether only the line that ends the trailers is missing.

        The last chunk completes a body, see RFC 9112, section 8.
        """
        if not self.reader.is_open or not self.reader.is_chunked:
            return False
        return any(isinstance(part, ResponseEnd) for part in self.reader.feed(CRLF))


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
    """Return the head of a request, with its length, and its body.

    A small body is part of the first of the two.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}:{port}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
        "\r\n",
    ]
    return join_small("\r\n".join(lines).encode("latin-1"), body)
