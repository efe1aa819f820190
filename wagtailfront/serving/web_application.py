"""Application that passes requests on as circuits.web events."""

import math
import re
from http import HTTPStatus
from io import BytesIO
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec
from circuits.core import handler
from circuits.web import wrappers
from circuits.web.events import request as request_event
from circuits.web.headers import Headers
from circuits.web.http import HTTP

from wagtailfront.serving.caller_limits import LimitsInForce
from wagtailfront.transport.framing import HOP_BY_HOP, find_header

__all__ = ["WebApplication"]

VERSIONS = {"1.0": (1, 0), "1.1": (1, 1)}
HEAD = "HEAD"
BAD_REQUEST, NOT_IMPLEMENTED = 400, 501
# They would split a request that is forwarded.
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class WebExchange(NamedTuple):
    """Response of circuits.web and the Reply that sends it."""

    response: Any
    reply: Any


class WebApplication(HTTP):
    """Fires `request` events of circuits.web; an Application.

    The protocol component of circuits.web keeps each request whole without a
    limit. Here it only handles responses; a ConnectionServer reads requests.

    Parameters
    ----------
    server : HttpServer
    channel : str
    context : ServerContext
    limits : CallerLimits
    """

    def __init__(self, server, *, channel, context, limits):
        super().__init__(server, channel=channel)
        self.context = context
        self.limits = LimitsInForce()
        self.limits.replace(limits, now=0.0)
        self.exchanges = {}

    def accept(self, request, reply):
        """Fire the event of a request, or reject the request."""
        status = find_rejection(request)
        if status is None:
            try:
                self._fire_request(request, reply)
                return
            except ValueError:  # an invalid port or address in its target or host
                status = BAD_REQUEST
            except OSError:  # the caller has reset the connection
                reply.abort()
                return
        reply.keep_alive = False
        reply.answer(status, *self.refusal(status))

    def _fire_request(self, request, reply):
        sock = reply.connection.sock
        target = urlsplit(request.target.decode("latin-1"))
        if target.fragment:
            raise ValueError("a fragment is not sent in requests")
        web_request = wrappers.Request(
            sock,
            request.method.decode("latin-1"),
            "https" if self._server.secure else "http",
            target.path,
            VERSIONS[request.http_version],
            target.query,
            headers=make_headers(request.headers),
            server=self._server,
        )
        # BytesIO shares bytes, and only copies what may be changed.
        web_request.body = BytesIO(bytes(request.body))
        reply.release_body()
        response = wrappers.Response(web_request, encoding=self._encoding)
        self.exchanges[sock] = WebExchange(response, reply)
        self.fire(request_event(web_request, response))

    def refusal(self, status, retry_after=None):
        """Return headers and body of an answer of the server itself."""
        headers = [(b"Content-Type", b"application/json")]
        if retry_after is not None:
            headers.append((b"Retry-After", b"%d" % math.ceil(retry_after)))
        return headers, msgspec.json.encode({"error": error_fields(status)})

    def request_id(self, request):
        """Return the id that the caller gave, or None."""
        value = find_header(request.headers, b"x-request-id")
        return value and value.decode("latin-1")

    def log_fields(self, now):
        """Return nothing, as the server knows no configuration."""
        return {}

    def _find_exchange(self, response):
        """Return the exchange of a response, or None if it has ended."""
        exchange = self.exchanges.get(response.request.sock)
        return exchange if exchange and exchange.response is response else None

    def _end(self, response):
        response.done = True
        # Freed now, as these objects refer to each other.
        response.body = response.request.body = None
        del self.exchanges[response.request.sock]

    @handler("response", override=True)
    def _on_response(self, res):
        exchange = self._find_exchange(res)
        if exchange is None:
            return
        reply = exchange.reply
        reply.keep_alive = reply.keep_alive and not res.close
        head = int(res.status), encode_headers(res, self._encoding)
        if res.body is None:  # the body follows in `stream` events
            reply.start(*head)
            return
        body = b"".join(
            part if isinstance(part, bytes) else part.encode(self._encoding)
            for part in res.body
            if part is not None
        )
        self._end(res)
        reply.answer(*head, body)

    @handler("stream", override=True)
    def _on_stream(self, res, data):
        exchange = self._find_exchange(res)
        if exchange is None:
            return
        if data is None:
            self._end(res)
            exchange.reply.finish()
        elif data:
            exchange.reply.send(data)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock):
        self.exchanges.pop(sock, None)


def find_rejection(request):
    """Return the status that rejects a request, or None."""
    coding = find_header(request.headers, b"transfer-encoding")
    if coding is not None and coding.strip().lower() != b"chunked":
        return NOT_IMPLEMENTED
    if request.http_version not in VERSIONS:
        return BAD_REQUEST
    if find_header(request.headers, b"host") is None:
        return BAD_REQUEST
    if any(CONTROL.search(value) for _name, value in request.headers):
        return BAD_REQUEST
    return None


def make_headers(pairs):
    """Return the headers of a request as those of circuits.web."""
    headers = Headers([])
    for name, value in pairs:
        headers.append(name.decode("latin-1"), value.decode("latin-1"))
    return headers


def encode_headers(response, encoding):
    """Return the headers of a response without those of its framing."""
    response.headers.setdefault("Content-Type", f"text/html; charset={encoding}")
    encoded = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    return [header for header in encoded if header[0].lower() not in HOP_BY_HOP]


def error_fields(status):
    """Return the fields of the error that a caller gets for a status."""
    return {
        "message": HTTPStatus(status).phrase,
        "type": "invalid_request_error" if status < 500 else "service_unavailable",
        "code": "malformed_request" if status < 500 else "overloaded",
        "verdict": "not_run",
    }
