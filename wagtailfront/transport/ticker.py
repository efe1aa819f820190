"""Periodic and delayed events on the monotonic clock."""

import time

from circuits import BaseComponent, handler

__all__ = ["Ticker", "Alarm"]


class Ticker(BaseComponent):
    """Fires a new event at a fixed interval.

    circuits' own timer uses the wall clock: setting it back by an hour would
    stop polls and pings for an hour.

    Parameters
    ----------
    interval : float
        Seconds.
    make_event : callable
        Returns the event to fire.
    target : str
        Channel of the event.
    clock : callable, optional
    is_needed : callable, optional
        While it returns a false value, the ticker neither fires nor wakes the
        event loop. Whatever makes it true must wake the loop by an event.
    """

    def __init__(
        self, *, interval, make_event, target, clock=time.monotonic, is_needed=None
    ):
        super().__init__()
        self.interval = interval
        self.make_event = make_event
        self.target = target
        self.clock = clock
        self.is_needed = is_needed
        self.due = clock() + interval

    @handler("generate_events")
    def _on_generate_events(self, event):
        if self.is_needed is not None and not self.is_needed():
            return
        now = self.clock()
        if now < self.due:
            event.reduce_time_left(self.due - now)
            return
        self.due = now + self.interval
        self.fire(self.make_event(), self.target)
        event.reduce_time_left(0)


class Alarm(Ticker):
    """Fires one event after a delay, then unregisters itself.

    Parameters
    ----------
    delay : float
        Seconds.
    event : Event
    target : str
        Channel of the event.
    clock : callable, optional
    """

    def __init__(self, *, delay, event, target, clock=time.monotonic):
        super().__init__(
            interval=delay, make_event=lambda: event, target=target, clock=clock
        )
        self.is_fired = False

    @handler("generate_events", override=True)
    def _on_generate_events(self, event):
        if self.is_fired:
            return
        now = self.clock()
        if now < self.due:
            event.reduce_time_left(self.due - now)
            return
        self.is_fired = True
        self.fire(self.make_event(), self.target)
        self.unregister()
        event.reduce_time_left(0)
