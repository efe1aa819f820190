"""Component that runs orders and changes for one group of engines."""

import logging
from typing import Protocol

from circuits import Event, handler

from wagtailfront.authority.effects import MarkDraining, ReadEngine, SendOrder
from wagtailfront.authority.step_component import StepComponent

__all__ = [
    "ChangeRunner",
    "EnginePort",
    "DrainMarks",
    "targets_wanted",
    "change_stepped",
]

logger = logging.getLogger(__name__)


class targets_wanted(Event):
    """The configuration sets targets: (revision, targets, revisions).

    `targets` maps each engine to its `Target`, `revisions` maps it to the
    version that last changed that target.

    `targets` contains all engines of all services; slots of engines that are
    not in it are released.
    """


class change_stepped(Event):
    """A change row was committed: (engine, revision, step)."""


class EnginePort(Protocol):
    """Sends orders to engines and reads their state."""

    def send_order(self, *, order, valid_until, reply):
        """Send `order` on a connection of its own.

        Directly before the write call the sender compares its monotonic clock
        with `valid_until` and drops the order if that time has come. The
        connection's TCP_USER_TIMEOUT is 3 s. `reply` is called with True if
        the engine accepted the order, False if it rejected the order's number
        as old, None if there was no answer.
        """

    def read_engine(self, *, engine, reply):
        """Call `reply` with the `EngineState`, None if there was no answer."""


class DrainMarks(Protocol):
    """Sets and clears draining marks in the configuration."""

    def mark_draining(self, *, engine, revision, draining, reply):
        """Set or clear the mark; `MarkDraining` defines the order of marks.

        `reply` is called with True once the mark is in effect on all
        instances, False if it is not yet in effect everywhere or a newer mark
        has replaced it.
        """


class ChangeRunner(StepComponent):
    """Drives a `GroupMachine` under the lease of its group.

    Parameters
    ----------
    group : str
    machine : GroupMachine
    lease_manager : LeaseManager
        Its `grant` is called before each step.
    engines : EnginePort
    marks : DrainMarks
    store : TableStore
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, *, group, machine, lease_manager, engines, marks, store, clock, **rest
    ):
        super().__init__(store=store, clock=clock, **rest)
        self.group = group
        self.machine = machine
        self.lease_manager = lease_manager
        self.engines = engines
        self.marks = marks
        self.announced = {}

    def on_timer(self):
        self._step("on_time")

    def on_store_reply(self, tag, reply):
        self._step("on_reply", tag, reply)

    def perform_other(self, effect):
        if isinstance(effect, SendOrder):
            self._send_order(effect)
        elif isinstance(effect, ReadEngine):
            self.engines.read_engine(
                engine=effect.engine,
                reply=lambda state: self._step("on_state", effect.tag, state),
            )
        elif isinstance(effect, MarkDraining):
            self.marks.mark_draining(
                engine=effect.engine,
                revision=effect.revision,
                draining=effect.draining,
                reply=lambda done: self._step("on_marked", effect.tag, done),
            )
        else:
            super().perform_other(effect)

    def _send_order(self, effect):
        if self.clock() >= effect.valid_until:
            return
        order = effect.order
        logger.info("[order] sending to %s, number %d", order.engine, order.number)
        self.engines.send_order(
            order=order,
            valid_until=effect.valid_until,
            reply=lambda accepted: self._step("on_sent", order, accepted),
        )

    def _step(self, method, *arguments):
        step = getattr(self.machine, method)
        self.perform(step(self.clock(), self.lease_manager.grant(), *arguments))
        self._announce()

    def _announce(self):
        for engine, change in self.machine.changes().items():
            if self.announced.get(engine) != change:
                self.announced[engine] = change
                logger.info("[change] engine %s: step %s", engine, change.step)
                self.fire(change_stepped(engine, change.revision, change.step))

    @handler("targets_wanted")
    def _on_targets_wanted(self, revision, targets, revisions=None):
        self._step("request", revision, targets, revisions)

    @handler("lease_acquired", "lease_lost")
    def _on_lease(self, group, *_):
        if group == self.group:
            self._step("on_time")
