"""Keeps the routing configuration up to date."""

import time

from circuits import BaseComponent, handler

__all__ = ["RoutingWatcher"]

# A watch that is answered this long, in s, after it began has not changed; a
# connection that has gone silent is noticed soon after.
WATCH_SECONDS = 1.2
RETRY_DELAY = 0.25  # seconds after a read that failed


class RoutingWatcher(BaseComponent):
    """Reads the configuration, then watches for changes.

    Parameters
    ----------
    source : RoutingSource
    on_config : callable
        Called with each RoutingConfig that was read.
    timers : Timers
    log : DecisionLog
    clock : callable, optional
    """

    channel = "routing"

    def __init__(self, *, source, on_config, timers, log, clock=time.monotonic):
        super().__init__()
        self.source = source
        self.on_config = on_config
        self.timers = timers
        self.log = log
        self.clock = clock
        self.cursor = None
        self.is_reachable = None

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._ask()

    def _ask(self):
        if self.cursor is None:
            self.source.read(self._take)
        else:
            self.source.watch(self.cursor, WATCH_SECONDS, self._take)

    def _take(self, read):
        if read.is_known != self.is_reachable:
            self.is_reachable = read.is_known
            outcome = "reached" if read.is_known else "lost"
            self.log.decision("routing", outcome=outcome, reason=read.reason)
        if not read.is_known:
            # Also a watch that went unanswered may have missed a change.
            self.cursor = None
            self.timers.after(RETRY_DELAY, self._ask)
            return
        if read.config is not None:
            self.on_config(read.config)
        if read.cursor is None and self.cursor is not None:
            self.log.decision("routing", outcome="history gone", reason=read.reason)
        self.cursor = read.cursor
        delay = 0.0 if read.cursor is not None else RETRY_DELAY
        self.timers.after(delay, self._ask)
