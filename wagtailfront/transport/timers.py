"""One-shot timers, all in one component."""

import heapq
import itertools
import logging
import time

from circuits import BaseComponent, handler

__all__ = ["Timer", "Timers"]

logger = logging.getLogger(__name__)


class Timer:
    """A callback that is due at a certain time."""

    def __init__(self, *, due, callback):
        self.due = due
        self.callback = callback

    def cancel(self):
        """Prevent the callback from being called."""
        self.callback = None


class Timers(BaseComponent):
    """Calls functions after a delay, without an event for each.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds.
    """

    channel = "timers"

    def __init__(self, *, clock=time.monotonic):
        super().__init__()
        self.clock = clock
        self.heap = []
        self.numbers = itertools.count()

    def after(self, delay, callback):
        """Call `callback` after `delay` seconds; return its `Timer`."""
        timer = Timer(due=self.clock() + delay, callback=callback)
        heapq.heappush(self.heap, (timer.due, next(self.numbers), timer))
        return timer

    def _call(self, callback):
        try:
            callback()
        except Exception:
            # A failed callback must not stop the other timers.
            logger.exception("[timers] A callback failed.")

    @handler("generate_events")
    def _on_generate_events(self, event):
        now = self.clock()
        while self.heap and (
            self.heap[0][0] <= now or self.heap[0][2].callback is None
        ):
            timer = heapq.heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._call(callback)
                event.reduce_time_left(0)
        if self.heap:
            event.reduce_time_left(max(0.0, self.heap[0][0] - self.clock()))
