"""HTTP/1.1 server that fires events of circuits.web."""

import logging
from typing import Any, NamedTuple

from circuits.core import BaseComponent

from wagtailfront.intake.intake_memory import IntakeMemory
from wagtailfront.intake.shares import divide_memory
from wagtailfront.intake.usable_memory import usable_memory
from wagtailfront.observe.decision_log import DecisionLog
from wagtailfront.serving.caller_limits import CallerLimits, fit_body
from wagtailfront.serving.connection_server import ConnectionServer
from wagtailfront.serving.web_application import WebApplication
from wagtailfront.transport.server_limits import ServerLimits
from wagtailfront.transport.timers import Timers

__all__ = ["HttpServer", "ServerLimits"]

logger = logging.getLogger(__name__)


class NoMetrics:
    """Counts nothing."""

    def count(self, name, amount=1, **labels):
        """Take no notice of what happened."""


class WebContext(NamedTuple):
    """A ServerContext."""

    timers: Any
    log: Any
    metrics: Any


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
    memory : IntakeMemory, optional
        Shared by all ports of an instance; by default that of the machine.
    metrics : Metrics, optional
    """

    def __init__(
        self, *, bind, channel, context=None, limits=None, memory=None, metrics=None
    ):
        super().__init__(channel=channel)
        self.limits = limits or ServerLimits()
        self.context = context
        memory = memory or IntakeMemory(shares=divide_memory(usable_memory()))
        web_context = WebContext(
            timers=Timers().register(self),
            log=DecisionLog(instance=channel, write=write_line),
            metrics=metrics or NoMetrics(),
        )
        self.application = WebApplication(
            self,
            channel=channel,
            context=web_context,
            limits=fit_body(
                CallerLimits(
                    max_head=self.limits.max_head,
                    max_body=self.limits.max_body,
                    head_timeout=self.limits.head_timeout,
                    idle_timeout=self.limits.idle_timeout,
                    request_timeout=self.limits.head_timeout,
                ),
                shares=memory.shares,
                log=web_context.log,
            ),
        ).register(self)
        self.server = ConnectionServer(
            bind=bind,
            application=self.application,
            max_connections=self.limits.max_connections,
            memory=memory,
            channel=channel,
            context=context,
        ).register(self)
        self.listener = self.server.listener

    @property
    def secure(self):
        return self.context is not None

    @property
    def host(self):
        return self.listener.host

    @property
    def port(self):
        return self.listener.port

    def stop_listening(self):
        """Accept no further connections; open ones stay open."""
        self.listener.stop_listening()


def write_line(line):
    """Log a decision of a server."""
    logger.info("[serving] %s", line.decode().rstrip())
