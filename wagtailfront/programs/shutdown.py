"""Graceful shutdown of an entry instance."""

import logging
import time

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.lease_manager import release_leases
from wagtailfront.membership.heartbeats import start_leaving
from wagtailfront.transport.ticker import Alarm

__all__ = ["Shutdown"]

logger = logging.getLogger(__name__)

EXIT_CUT = 1
# Seconds after the last request, in which released leases are written.
HANDOVER_TIME = 0.5


class stop_listening(Event):
    """Accept no further connections and wait for open requests."""


class drain_expired(Event):
    """Requests are still open at the end of the drain timeout."""


class exit_now(Event):
    """End the process."""


class Shutdown(BaseComponent):
    """Takes the instance out of service on SIGTERM or SIGINT.

    Parameters
    ----------
    health : Health
    read_parts : callable
        Returns the instance's current `Dispatcher` and `CallerServer`.
    grace : float
        Seconds between the end of readiness and the end of listening, in
        which the balancer takes note.
    timeout : float
        Seconds until open requests are cut.
    clock : callable, optional
    """

    channel = "shutdown"

    def __init__(self, *, health, read_parts, grace, timeout, clock=time.monotonic):
        super().__init__()
        self.clock = clock
        self.health = health
        self.read_parts = read_parts
        self.grace = grace
        self.timeout = timeout

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        event.stop()
        if self.health.leaving:
            return
        logger.info("[shutdown] Signal %d: taking no new requests.", number)
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
        dispatcher, callers = self.read_parts()
        callers.server.stop_listening()
        dispatcher.drain()

    @handler("drained", channel="*")
    def _on_drained(self):
        logger.info("[shutdown] All requests have ended; handing over leases.")
        self.fire(release_leases(), "*")
        self._after(HANDOVER_TIME, exit_now(0))

    @handler("drain_expired")
    def _on_drain_expired(self):
        dispatcher, _callers = self.read_parts()
        logger.error("[shutdown] Cut %d requests.", len(dispatcher.tasks))
        self.fire(release_leases(), "*")
        self._after(HANDOVER_TIME, exit_now(EXIT_CUT))

    @handler("exit_now")
    def _on_exit_now(self, code):
        self.root.stop(code)
