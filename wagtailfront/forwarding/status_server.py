"""Readiness and metrics pages of a forwarding instance."""

from typing import Any, NamedTuple

from wagtailfront.serving.caller_limits import CallerLimits, LimitsInForce
from wagtailfront.serving.connection_server import ConnectionServer

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
    """Answers requests of pages; an Application."""

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

    def refusal(self, status, retry_after=None):
        """Return headers and body of an answer of the server itself."""
        return self.context.dialect.refusal_headers(retry_after), b""

    def request_id(self, request):
        """Return None, as requests of pages have no id."""

    def log_fields(self, now):
        """Return nothing, as pages follow from no configuration."""
        return {}


class StatusServer(ConnectionServer):
    """HTTP server of pages that are rendered on each GET.

    Parameters
    ----------
    bind : (str, int)
    pages : mapping of str to callable
        Maps a path to a function that returns status, content type and
        body.
    context : ForwardContext
    memory : IntakeMemory
        Shared by all ports of an instance.
    channel : str, optional
    """

    def __init__(self, *, bind, pages, context, memory, channel="status"):
        fields = [getattr(context, name) for name in _PageContext._fields]
        super().__init__(
            bind=bind,
            application=_Pages(pages=pages, context=_PageContext(*fields)),
            max_connections=MAX_CONNECTIONS,
            memory=memory,
            channel=channel,
        )
