"""Component that manages the lease of one group of engines."""

import logging

from circuits import Event, handler

from wagtailfront.authority.effects import StartTimer
from wagtailfront.authority.lease import LeaseMachine
from wagtailfront.authority.step_component import StepComponent
from wagtailfront.identifiers import new_id

__all__ = [
    "LeaseManager",
    "want_lease",
    "release_leases",
    "lease_acquired",
    "lease_lost",
    "lease_released",
]

logger = logging.getLogger(__name__)


class want_lease(Event):
    """Request the lease of `group` or release it: (group, wanted)."""


class release_leases(Event):
    """Release all leases for a graceful shutdown: ()."""


class lease_acquired(Event):
    """The lease is now held: (group, fencing)."""


class lease_lost(Event):
    """The lease is no longer held: (group,)."""


class lease_released(Event):
    """The lease was released or was never held: (group,)."""


class LeaseManager(StepComponent):
    """Acquires, renews and releases the lease of `group`.

    Parameters
    ----------
    group : str
    instance : str
        Incarnation of this process.
    store : TableStore
    clock : callable
        Returns monotonic seconds.
    new_token : callable
    times : LeaseTimes or None

    Notes
    -----
    The events report changes and may come late. Call `grant` before an
    effect: after a pause of the process it shows that the lease has expired
    before any event does.
    """

    def __init__(
        self, *, group, instance, store, clock, new_token=new_id, times=None, **rest
    ):
        super().__init__(store=store, clock=clock, **rest)
        self.group = group
        self.machine = LeaseMachine(
            group=group, instance=instance, new_token=new_token, times=times
        )
        self.announced = None  # fencing number of the latest lease_acquired
        self.is_releasing = False

    def grant(self):
        """Return the current `Grant`, None if the lease is not held."""
        return self.machine.grant(self.clock())

    def want(self, wanted):
        """Request the lease or release it."""
        self.is_releasing = not wanted
        self._step(self.machine.want(self.clock(), wanted))

    def on_timer(self):
        self._step(self.machine.on_time(self.clock()))

    def on_store_reply(self, tag, reply):
        self._step(self.machine.on_reply(self.clock(), tag, reply))

    def _step(self, effects):
        self.perform(effects)
        self._announce()

    def _announce(self):
        grant = self.grant()
        fencing = grant and grant.fencing
        if fencing != self.announced:
            self.announced = fencing
            if fencing is None:
                logger.info("[lease] lost %s", self.group)
                self.fire(lease_lost(self.group))
            else:
                logger.info(
                    "[lease] acquired %s, fencing number %d", self.group, fencing
                )
                self.fire(lease_acquired(self.group, fencing))
        if self.is_releasing and self.machine.is_released():
            self.is_releasing = False
            logger.info("[lease] released %s", self.group)
            self.fire(lease_released(self.group))
        if grant is not None and self.wake_at is not None:
            self.perform((StartTimer(min(self.wake_at, grant.until)),))

    @handler("want_lease")
    def _on_want_lease(self, group, wanted):
        if group == self.group:
            self.want(wanted)

    @handler("release_leases")
    def _on_release_leases(self):
        self.want(False)
