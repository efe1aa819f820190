"""Readiness and metrics pages of a forwarding instance."""

import logging

from circuits import BaseComponent, handler
from circuits.web.events import response

from wagtailfront.transport.http_server import HttpServer, ServerLimits

__all__ = ["StatusServer"]

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 50
MAX_BODY = 1024  # bytes; the pages read no body


class StatusServer(BaseComponent):
    """HTTP server of pages that are rendered on each GET.

    Parameters
    ----------
    bind : (str, int)
    pages : mapping of str to callable
        Maps a path to a function that returns status, content type and
        body.
    """

    def __init__(self, *, bind, pages, channel="status"):
        super().__init__(channel=channel)
        self.pages = dict(pages)
        self.server = HttpServer(
            bind=bind,
            channel=channel,
            limits=ServerLimits(max_body=MAX_BODY, max_connections=MAX_CONNECTIONS),
        ).register(self)

    @handler("request")
    def _on_request(self, req, res):
        page = self.pages.get(req.path)
        if req.method != "GET" or page is None:
            res.status, content_type, res.body = 404, "text/plain", b""
        else:
            res.status, content_type, res.body = page()
        res.headers["Content-Type"] = content_type
        self.fire(response(res))
        return True
