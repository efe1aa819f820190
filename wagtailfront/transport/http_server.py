"""HTTP/1.1 server on circuits.web with limits and without pipelining."""

import time

from circuits.core import BaseComponent, Event, handler
from circuits.net.events import close

from wagtailfront.transport.http_listener import HttpListener
from wagtailfront.transport.http_protocol import LimitedHttp
from wagtailfront.transport.server_limits import ServerLimits
from wagtailfront.transport.ticker import Ticker

__all__ = ["HttpServer", "ServerLimits"]

SWEEP_INTERVAL = 1.0  # seconds


class sweep(Event):
    """Close connections that exceeded a timeout."""


class HttpServer(BaseComponent):
    """HTTP server that fires circuits.web `request` events on its channel.

    A handler of `request` either returns a response, or returns True and
    fires `circuits.web.events.response` later.

    Parameters
    ----------
    bind : (str, int)
        Address and port.
    channel : str
    context : ssl.SSLContext, optional
        Serves TLS when given.
    limits : ServerLimits, optional
    """

    def __init__(self, *, bind, channel, context=None, limits=None):
        super().__init__(channel=channel)
        self.limits = limits or ServerLimits()
        self.context = context
        self.listener = HttpListener(
            bind, channel=channel, context=context, limits=self.limits
        ).register(self)
        self.http = LimitedHttp(self, channel=channel, limits=self.limits).register(
            self
        )
        interval = min(SWEEP_INTERVAL, self.limits.head_timeout / 2)
        Ticker(interval=interval, make_event=sweep, target=channel).register(self)

    @property
    def secure(self):
        return self.context is not None

    @property
    def host(self):
        return self.listener.host

    @property
    def port(self):
        return self.listener.port

    @handler("sweep")
    def _on_sweep(self):
        now = time.monotonic()
        for sock in self.http.find_expired(self.listener.clients, now):
            self.http.forget(sock)
            self.fire(close(sock))
        expired = [s for s, until in self.listener.handshakes.items() if now > until]
        for sock in expired:
            self.listener.abort_handshake(sock)

    def send(self, sock, data):
        """Write bytes to a caller's connection."""
        self.listener.write(sock, data)

    def stop_listening(self):
        """Accept no further connections; open ones stay open."""
        sock = self.listener._sock
        if sock is not None:
            # The poller is unknown until the first event.
            if self.listener._poller is not None:
                self.listener._poller.discard(sock)
            sock.close()
