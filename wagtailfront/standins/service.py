"""Stand-in plain service that counts the effects of its requests."""

from collections import Counter

import msgspec
from circuits import BaseComponent, Event, Timer, handler
from circuits.web.events import response

from wagtailfront.serving.http_server import HttpServer

__all__ = ["StandinService"]

SERVICE_TIME = 0.005  # seconds


class reply_ready(Event):
    """Send the answer to a request."""


class StandinService(BaseComponent):
    """Plain service that echoes requests and counts their effects.

    Parameters
    ----------
    bind : (str, int)
    name : str
        Name of this endpoint, sent in every answer.
    service_time : float
        Seconds between a request and its answer.
    """

    def __init__(self, *, bind, name, service_time=SERVICE_TIME, channel="service"):
        super().__init__(channel=channel)
        self.endpoint_name = name
        self.service_time = service_time
        self.effects = Counter()
        self.server = HttpServer(bind=bind, channel=self.channel).register(self)

    @handler("request")
    def _on_request(self, req, res):
        path = "/" + req.path.strip("/")
        res.headers["Content-Type"] = "application/json"
        if path == "/health":
            res.body = b'{"status":"ok"}'
            return res
        if path == "/record":
            res.body = msgspec.json.encode({"effects": self.effects})
            return res
        body = req.body.read()
        if req.method not in ("GET", "HEAD"):
            self.effects[_effect_id(req, body)] += 1
        res.body = msgspec.json.encode(
            {
                "endpoint": self.endpoint_name,
                "method": req.method,
                "path": path,
                "query": req.qs,
                "body": body.decode("utf-8", "replace"),
            }
        )
        event = reply_ready(res)
        Timer(self.service_time, event, self.channel).register(self)
        return True

    @handler("reply_ready")
    def _on_reply_ready(self, res):
        self.fire(response(res), self.channel)


def _effect_id(req, body):
    """Return the identifier under which the effect is counted."""
    return req.headers.get("X-Effect-Id") or body.decode("utf-8", "replace")[:200]
