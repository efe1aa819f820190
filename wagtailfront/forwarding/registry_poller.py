"""Keeps the directory of endpoints up to date."""

import logging
import time

from circuits import BaseComponent, Event, handler

from wagtailfront.transport.ticker import Ticker

__all__ = ["RegistryPoller"]

logger = logging.getLogger(__name__)


class poll_registry(Event):
    """Read the registry unless a read is under way."""


class RegistryPoller(BaseComponent):
    """Reads the registry at an interval.

    Parameters
    ----------
    source : RegistrySource
    directory : EndpointDirectory
    interval : float
        Seconds between two reads.
    on_change : callable
        Called with each DirectoryChange.
    log : DecisionLog
    clock : callable, optional
    """

    channel = "registry"

    def __init__(
        self, *, source, directory, interval, on_change, log, clock=time.monotonic
    ):
        super().__init__()
        self.source = source
        self.directory = directory
        self.on_change = on_change
        self.log = log
        self.clock = clock
        self.is_reading = False
        self.is_reachable = None
        Ticker(
            interval=interval, make_event=poll_registry, target=self.channel
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._read()

    @handler("poll_registry")
    def _on_poll(self):
        self._read()

    def _read(self):
        if not self.is_reading:
            self.is_reading = True
            self.source.read(self._take)

    def _take(self, records):
        self.is_reading = False
        self._note_reachable(records is not None)
        if records is None:
            return
        change = self.directory.replace(records, now=self.clock())
        for kind, group in zip(change._fields, change, strict=True):
            for record in group:
                self.log.decision(
                    f"endpoint_{kind}",
                    outcome=record.endpoint_id,
                    service=record.service,
                    address=record.address,
                    stage=record.stage,
                )
        if any(change):
            self.on_change(change)

    def _note_reachable(self, is_reachable):
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            self.log.decision(
                "registry",
                outcome="reached" if is_reachable else "lost",
                endpoints=len(self.directory.records),
            )
