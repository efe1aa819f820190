"""Refusal of crashing prompt parts, also by instances that start later."""

import time

from circuits import BaseComponent, Event, handler

from wagtailfront.transport.ticker import Ticker

__all__ = ["RefusedParts"]

CHECK_INTERVAL = 0.1  # seconds
RETRY_DELAY = 1.0  # seconds after a call to the store that failed
# Seconds after a restore of the store within which instances compare it with
# what they know; those that come later find what others have written.
RESTORE_SPREAD = 2.0
MAX_ALLOWED = 256  # parts allowed again that are remembered


class check_parts(Event):
    """Check which parts are refused by now."""


class RefusedParts(BaseComponent):
    """Updates the refused parts and keeps them in the store.

    Peers tell an instance that starts which parts are refused. The store does
    so if all instances start at the same time. When the store comes back from
    an older copy, instances write again what it has lost.

    Parameters
    ----------
    crashing_parts : CrashingParts
    store : RefusedPartStore
    pace : FleetPace
    timers : Timers
    log : DecisionLog
    clock : callable, optional
    """

    channel = "refused_parts"

    def __init__(
        self, *, crashing_parts, store, pace, timers, log, clock=time.monotonic
    ):
        super().__init__()
        self.crashing_parts = crashing_parts
        self.store = store
        self.pace = pace
        self.timers = timers
        self.log = log
        self.clock = clock
        self.stored = set()
        self.allowed = {}  # parts allowed again, in that order
        self.is_restored = False
        Ticker(
            interval=CHECK_INTERVAL,
            make_event=check_parts,
            target=self.channel,
            is_needed=crashing_parts.needs_update,
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._read()

    def _read(self):
        self.store.read(self._handle_read)

    def _handle_read(self, parts):
        if parts is None:
            self.timers.after(RETRY_DELAY, self._read)
            return
        copied = [part for part in parts if part in self.allowed]
        self.stored.update(parts)
        self.crashing_parts.restore(set(parts).difference(copied), now=self.clock())
        for part in copied:
            self._remove(part)
        if self.is_restored:
            self.is_restored = False
            for part in self.crashing_parts.refused.keys() - set(parts):
                self._record(part)

    def handle_new_era(self, era):
        """Write again what the store has lost in coming back from a copy."""
        self.is_restored = True
        self.timers.after(self.pace.spread(RESTORE_SPREAD), self._read)

    @handler("check_parts")
    def _on_check_parts(self):
        for change in self.crashing_parts.update(now=self.clock()):
            self.log.decision(
                "prompt_part",
                outcome="refused" if change.is_refused else "allowed",
                part=change.part,
                crashes=change.crashes,
            )
            if change.is_refused:
                self.allowed.pop(change.part, None)
            else:
                self._remember_allowed(change.part)
            if change.is_refused and change.is_own:
                self._record(change.part)
            elif not change.is_refused and change.part in self.stored:
                self._remove(change.part)

    def _remember_allowed(self, part):
        self.allowed[part] = True
        if len(self.allowed) > MAX_ALLOWED:
            del self.allowed[next(iter(self.allowed))]

    def _record(self, part):
        if part in self.crashing_parts.refused:
            self.stored.add(part)
            self.store.record(part, lambda done: self._retry(done, self._record, part))

    def _remove(self, part):
        if part not in self.crashing_parts.refused:
            self.stored.discard(part)
            self.store.remove(part, lambda done: self._retry(done, self._remove, part))

    def _retry(self, done, call, part):
        if not done:
            self.timers.after(RETRY_DELAY, lambda: call(part))
