"""State machine of the orders and changes of engines under one lease."""

from wagtailfront.authority.effects import StartTimer
from wagtailfront.authority.engine_change import ChangeMachine
from wagtailfront.authority.orders import OrderMachine

__all__ = ["GroupMachine"]


class GroupMachine:
    """Runs one `ChangeMachine` for each engine of a group.

    Parameters
    ----------
    limits : ChangeLimits
    engines : dict of str to bool
        Whether each engine checks fencing numbers.
    new_id : callable
        Returns fresh order ids and transaction tokens.

    Notes
    -----
    A reply is delegated to the machine of the engine that its tag names. The
    timers of all engines are merged into one.

    Examples
    --------
    >>> from wagtailfront.authority.change_rows import ChangeLimits
    >>> limits = ChangeLimits("desk-assist", 6, 3)
    >>> engines = {"e1": True}
    >>> group = GroupMachine(limits=limits, engines=engines, new_id=str)
    >>> group.on_time(0.0, None)
    (StartTimer(at=1.0),)
    """

    order_machine = OrderMachine
    change_machine = ChangeMachine

    def __init__(self, *, limits, engines, new_id):
        self.machines = {
            engine: self.change_machine(
                limits=limits,
                orders=self.order_machine(
                    engine=engine, checks_fencing=checks_fencing, new_id=new_id
                ),
                new_token=new_id,
            )
            for engine, checks_fencing in engines.items()
        }
        self.wake_times = {}

    def request(self, now, grant, revision, targets, revisions=None):
        """Request the targets of all engines in version `revision`.

        `revisions` gives the version that last changed each engine's target,
        so that other changes of the configuration start no engine change.
        """
        for machine in self.machines.values():
            machine.request(revision, targets, revisions)
        return self.on_time(now, grant)

    def changes(self):
        """Return the last known change row of each engine that has one."""
        return {
            engine: machine.change
            for engine, machine in self.machines.items()
            if machine.change is not None
        }

    def on_time(self, now, grant):
        """Return the effects that are due for all engines."""
        effects = [
            self._store_timer(engine, machine.on_time(now, grant))
            for engine, machine in self.machines.items()
        ]
        return (*(effect for part in effects for effect in part), self._timer())

    def on_reply(self, now, grant, tag, reply):
        """Handle a reply of the store."""
        return self._delegate(tag, "on_reply", now, grant, tag, reply)

    def on_state(self, now, grant, tag, state):
        """Handle an engine's report, None if it did not answer."""
        return self._delegate(tag, "on_state", now, grant, tag, state)

    def on_marked(self, now, grant, tag, in_effect):
        """Handle the answer to a mark."""
        return self._delegate(tag, "on_marked", now, grant, tag, in_effect)

    def on_sent(self, now, grant, order, accepted):
        """Handle an engine's answer to `order`, None if there was none."""
        machine = self.machines[order.engine]
        effects = machine.on_sent(now, grant, order.number, accepted)
        return (*self._store_timer(order.engine, effects), self._timer())

    def _delegate(self, tag, step, *arguments):
        engine = tag.owner.partition("/")[2]
        effects = getattr(self.machines[engine], step)(*arguments)
        return (*self._store_timer(engine, effects), self._timer())

    def _store_timer(self, engine, effects):
        """Store the engine's timer and return its other effects."""
        for effect in effects:
            if isinstance(effect, StartTimer):
                self.wake_times[engine] = effect.at
        return tuple(effect for effect in effects if not isinstance(effect, StartTimer))

    def _timer(self):
        return StartTimer(min(self.wake_times.values()))
