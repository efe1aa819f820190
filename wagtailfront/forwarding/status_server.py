"""Readiness and metrics pages of a forwarding instance."""

from typing import Any, NamedTuple

from wagtailfront.forwarding.caller_limits import LimitsInForce
from wagtailfront.forwarding.caller_server import ForwardServer
from wagtailfront.forwarding.routes import CallerLimits

__all__ = ["StatusServer"]

MAX_CONNECTIONS = 50
MAX_BODY = 1024  # bytes; the pages read no body
GET = b"GET"
NOT_FOUND = 404


class _PageContext(NamedTuple):
    """The parts of a ForwardContext that a server itself uses."""

    timers: Any
    log: Any
    metrics: Any
    dialect: Any


class _Pages:
    """Answers requests of pages in place of a Forwarder."""

    config = config_applied_at = None

    def __init__(self, *, pages, context):
        self.pages = dict(pages)
        self.context = context
        self.limits = LimitsInForce()
        self.limits.replace(CallerLimits(max_body=MAX_BODY), now=0.0)

    def accept(self, request, reply):
        """Answer a request at once."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        page = self.pages.get(path)
        if request.method != GET or page is None:
            status, content_type, body = NOT_FOUND, "text/plain", b""
        else:
            status, content_type, body = page()
        reply.answer(status, [(b"Content-Type", content_type.encode())], body)


class StatusServer(ForwardServer):
    """HTTP server of pages that are rendered on each GET.

    Parameters
    ----------
    bind : (str, int)
    pages : mapping of str to callable
        Maps a path to a function that returns status, content type and
        body.
    context : ForwardContext
    channel : str, optional
    """

    def __init__(self, *, bind, pages, context, channel="status"):
        fields = [getattr(context, name) for name in _PageContext._fields]
        super().__init__(
            bind=bind,
            forwarder=_Pages(pages=pages, context=_PageContext(*fields)),
            max_connections=MAX_CONNECTIONS,
            channel=channel,
        )
