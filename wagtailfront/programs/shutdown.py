"""Graceful shutdown of an entry instance."""

import logging
import time

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.lease_manager import release_leases
from wagtailfront.membership.heartbeats import start_leaving
from wagtailfront.transport.ticker import Alarm

__all__ = ["Shutdown"]

logger = logging.getLogger(__name__)

EXIT_REQUESTS_ABORTED = 1
# Seconds before the exit in which the release of leases is stored.
LEASE_RELEASE_TIME = 0.5


class stop_listening(Event):
    """Stop accepting connections and wait for open requests."""


class drain_expired(Event):
    """Requests are still open at the end of the drain timeout."""


class exit_now(Event):
    """End the process."""


class Shutdown(BaseComponent):
    """Shuts the instance down gracefully on SIGTERM or SIGINT.

    Parameters
    ----------
    health : Health
    get_components : callable
        Returns the instance's current `Dispatcher` and `CallerServer`.
    grace : float
        Seconds between reporting not ready and closing the listening
        sockets, so that the load balancer sends no more requests.
    timeout : float
        Seconds from the signal until open requests are aborted.
    clock : callable, optional
    """

    channel = "shutdown"

    def __init__(self, *, health, get_components, grace, timeout, clock=time.monotonic):
        super().__init__()
        self.clock = clock
        self.health = health
        self.get_components = get_components
        self.grace = grace
        self.timeout = timeout

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        event.stop()
        if self.health.leaving:
            return
        logger.info("[shutdown] Signal %d: reporting not ready.", number)
        self.health.leaving = True
        self.fire(start_leaving(), "*")
        self._after(self.grace, stop_listening())
        self._after(self.timeout, drain_expired())

    def _after(self, delay, event):
        Alarm(delay=delay, event=event, target=self.channel, clock=self.clock).register(
            self
        )

    @handler("stop_listening")
    def _on_stop_listening(self):
        dispatcher, callers = self.get_components()
        callers.server.stop_listening()
        dispatcher.drain()

    @handler("drained", channel="*")
    def _on_drained(self):
        logger.info("[shutdown] All requests have ended; releasing leases.")
        self.fire(release_leases(), "*")
        self._after(LEASE_RELEASE_TIME, exit_now(0))

    @handler("drain_expired")
    def _on_drain_expired(self):
        dispatcher, _callers = self.get_components()
        logger.error(
            "[shutdown] Drain timeout: aborting %d requests.", len(dispatcher.tasks)
        )
        self.fire(release_leases(), "*")
        self._after(LEASE_RELEASE_TIME, exit_now(EXIT_REQUESTS_ABORTED))

    @handler("exit_now")
    def _on_exit_now(self, code):
        self.root.stop(code)
