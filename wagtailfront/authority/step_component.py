"""Base class of circuits components that drive a state machine."""

from collections import deque

from circuits import BaseComponent, handler

from wagtailfront.authority.effects import ReadRow, StartTimer, WriteRows

__all__ = ["StepComponent"]


class StepComponent(BaseComponent):
    """Carries out the store effects and the timer of one state machine.

    Parameters
    ----------
    store : TableStore
    clock : callable
        Returns monotonic seconds. circuits' own timers are not used: they
        depend on the wall clock, which can be set.
    channel : str
    wakes_itself : bool
        Whether the component checks its timer in each iteration of the event
        loop. An owner of many components checks them all by `wake_at` and
        `wake_if_due` instead, which takes less time.
    """

    channel = "authority"

    def __init__(self, *, store, clock, channel="authority", wakes_itself=True):
        super().__init__(channel=channel)
        if not wakes_itself:
            self.removeHandler(self._on_generate_events)
        self.store = store
        self.clock = clock
        self.wake_at = None
        self.waiting = deque()
        self.is_performing = False
        self.is_closed = False

    def close(self):
        """Discard pending effects and unregister the component."""
        self.is_closed = True
        self.wake_at = None
        self.waiting.clear()
        self.unregister()

    def on_timer(self):
        """Step the machine; its timer is due."""
        raise NotImplementedError

    def on_store_reply(self, tag, reply):
        """Step the machine with a reply of the store."""
        raise NotImplementedError

    def perform(self, effects):
        """Carry out `effects` after those of all earlier steps.

        A store or an engine may reply within the call; the effects of the
        step for that reply are then queued.
        """
        self.waiting.extend(effects)
        if self.is_performing or self.is_closed:
            return
        self.is_performing = True
        try:
            while self.waiting:
                self._perform_one(self.waiting.popleft())
        finally:
            self.is_performing = False

    def _perform_one(self, effect):
        if isinstance(effect, StartTimer):
            self.wake_at = effect.at
        elif isinstance(effect, ReadRow):
            self.store.get(key=effect.key, reply=self._reply_handler(effect.tag))
        elif isinstance(effect, WriteRows):
            self.store.transact(
                checks=effect.checks,
                puts=effect.puts,
                token=effect.token,
                reply=self._reply_handler(effect.tag),
            )
        else:
            self.perform_other(effect)

    def perform_other(self, effect):
        """Carry out an effect that is not for the store."""
        raise TypeError(f"unsupported effect: {effect!r}")

    def _reply_handler(self, tag):
        return lambda reply: self.on_store_reply(tag, reply)

    @handler("generate_events")
    def _on_generate_events(self, event):
        self.wake_if_due(self.clock())
        if self.wake_at is not None and not self.is_closed:
            event.reduce_time_left(max(0.0, self.wake_at - self.clock()))

    def wake_if_due(self, now):
        """Step if the timer is due."""
        if self.wake_at is not None and now >= self.wake_at and not self.is_closed:
            self.wake_at = None
            self.on_timer()
