"""HTTP protocol component with limits and without pipelining."""

import re
import time
from http import HTTPStatus
from io import BytesIO

import msgspec
from circuits.core import handler
from circuits.net.events import close, write
from circuits.web import wrappers
from circuits.web.events import request
from circuits.web.http import HTTP
from circuits.web.parsers import HttpParser

from wagtailfront.transport.first_line import FirstLineBuffer

__all__ = ["LimitedHttp"]

# circuits' parser decodes backslash escapes in headers, so a header value can
# contain a line break, which would split a forwarded request.
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class _Incoming:
    """A partly received request."""

    def __init__(self):
        self.first_line = FirstLineBuffer()
        self.parser = HttpParser(0, False)
        self.size = 0
        self.started = time.monotonic()
        self.continue_sent = False


class LimitedHttp(HTTP):
    """Protocol component of circuits.web with limits, without pipelining.

    The component of circuits.web has no limits, fires a second event for the
    first request if another one is pipelined, and does not free the parser
    of a closed connection.
    """

    def __init__(self, server, *, channel, limits):
        super().__init__(server, channel=channel)
        self.limits = limits
        self.incoming = {}
        self.idle_since = {}

    @handler("read", override=True)
    def _on_read(self, sock, data):
        self.receive(sock, data)

    def receive(self, sock, data):
        """Parse bytes received on a connection; called by the listener."""
        if sock in self._clients:
            # A pipelined request is ignored: closing the connection after
            # the response tells the caller that it was not accepted.
            self._clients[sock][1].close = True
            return
        self.idle_since.pop(sock, None)
        incoming = self.incoming.setdefault(sock, _Incoming())
        incoming.size += len(data)
        parser = incoming.parser
        data = incoming.first_line.feed(data)
        if data:
            parser.execute(data, len(data))
        status = _find_rejection(incoming, self.limits)
        if status is not None:
            self._reject(sock, status)
        elif parser.is_message_complete():
            self._fire_request(sock, parser)
        elif parser.is_headers_complete() and not incoming.continue_sent:
            incoming.continue_sent = True
            if parser.get_headers().get("Expect", "").lower() == "100-continue":
                self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"))

    def _fire_request(self, sock, parser):
        del self.incoming[sock]
        req = wrappers.Request(
            sock,
            parser.get_method(),
            "https" if self._server.secure else "http",
            parser.get_path(),
            parser.get_version(),
            parser.get_query_string(),
            headers=parser.get_headers(),
            server=self._server,
        )
        res = wrappers.Response(req, encoding=self._encoding)
        # HTTP/1.0 has no chunked coding; EOF ends the response.
        res.protocol = "HTTP/{}.{}".format(*parser.get_version())
        body = parser.recv_body()
        length = int(req.headers.get("Content-Length", "0"))
        pipelined = parser.is_chunked() or len(body) > length
        res.close = pipelined or not parser.should_keep_alive()
        req.body = BytesIO(body if parser.is_chunked() else body[:length])
        self._clients[sock] = (req, res)
        self.fire(request(req, res))

    def _reject(self, sock, code):
        self.forget(sock)
        body = msgspec.json.encode({"error": _error_fields(code)})
        head = (
            f"HTTP/1.1 {code} {HTTPStatus(code).phrase}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))

    def forget(self, sock):
        """Drop all state of a connection."""
        self._clients.pop(sock, None)
        self.incoming.pop(sock, None)
        self.idle_since.pop(sock, None)

    @handler("response", override=True)
    def _on_response(self, res):
        if res.body is not None:
            HTTP._on_response(self, res)
            return
        # The body follows in `stream` events.
        res.prepare()
        self._server.send(res.request.sock, bytes(res) + bytes(res.headers))

    @handler("stream", override=True)
    def _on_stream(self, res, data):
        if res.done or res.body is not None:
            HTTP._on_stream(self, res, data)
            return
        sock = res.request.sock
        if data is not None:
            self._server.send(sock, _encode_chunk(data) if res.chunked else data)
            return
        res.done = True
        if res.chunked:
            self._server.send(sock, b"0\r\n\r\n")
        self._clients.pop(sock, None)
        if res.close:
            self.fire(close(sock))

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock):
        self.forget(sock)

    def find_expired(self, connections, now):
        """Return connections that exceeded the head or idle timeout."""
        idle = [
            sock
            for sock in connections
            if sock not in self._clients and sock not in self.incoming
        ]
        for sock in idle:
            self.idle_since.setdefault(sock, now)
        slow = [
            sock
            for sock, incoming in self.incoming.items()
            if now - incoming.started > self.limits.head_timeout
        ]
        return slow + [
            sock
            for sock in idle
            if now - self.idle_since[sock] > self.limits.idle_timeout
        ]


def _encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _error_fields(code):
    return {
        "message": HTTPStatus(code).phrase,
        "type": "invalid_request_error",
        "code": "malformed_request",
        "verdict": "not_run",
    }


def _find_rejection(incoming, limits):
    """Return the status code that rejects a request, or None."""
    parser = incoming.parser
    if not parser.is_headers_complete():
        if parser.errno is not None:
            return 400
        return 431 if incoming.size > limits.max_head else None
    headers = parser.get_headers()
    length = headers.get("Content-Length", "0")
    if not (length.isascii() and length.isdigit()):
        return 400
    # Two framings allow request smuggling.
    if "Transfer-Encoding" in headers and "Content-Length" in headers:
        return 400
    if "Transfer-Encoding" in headers and not parser.is_chunked():
        return 501
    if parser.get_version() not in ((1, 0), (1, 1)) or "Host" not in headers:
        return 400
    if any(_CONTROL.search(value) for _name, value in headers.items()):
        return 400
    if int(length) > limits.max_body:
        return 413
    return 413 if incoming.size > limits.max_head + limits.max_body else None
