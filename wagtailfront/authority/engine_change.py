"""State machine of planned engine changes: drain, order, verify."""

import msgspec

from wagtailfront.authority.change_rows import (
    WEIGHT_SLOTS_KEY,
    Change,
    Slots,
    Step,
    change_key,
    needs_weights,
    service_slots_key,
)
from wagtailfront.authority.effects import (
    MarkDraining,
    OutstandingRequest,
    ReadRow,
    StartTimer,
    WriteRows,
    merge_timers,
)
from wagtailfront.stores.interfaces import Check, Committed, Found, Missing, Put

__all__ = ["ChangeMachine"]

RETRY_AFTER = 0.2  # seconds
REPEAT_AFTER = 1.0  # seconds between requests for a mark or a slot


class ChangeMachine:
    """Changes one engine to the newest wanted target, step by step.

    Parameters
    ----------
    limits : ChangeLimits
    orders : OrderMachine
        Machine of the same engine; replies with its tag are passed on to it.
    new_token : callable
        Returns a fresh token for each transaction.

    Notes
    -----
    Each step is written to the change row; a machine under a new fencing
    number reads the row and resumes there. A lease holder repeats a draining
    mark until the mark is confirmed in effect on all instances. A newer
    target returns the change to `draining`, whatever its step. An engine that
    already reports the target is verified without a drain.

    Examples
    --------
    >>> from wagtailfront.authority.change_rows import ChangeLimits
    >>> from wagtailfront.authority.orders import OrderMachine
    >>> machine = ChangeMachine(
    ...     limits=ChangeLimits("desk-assist", 6, 3),
    ...     orders=OrderMachine(engine="e1", checks_fencing=True, new_id=str),
    ...     new_token=str)
    >>> machine.on_time(0.0, None)  # the lease is not held
    (StartTimer(at=1.0),)
    """

    def __init__(self, *, limits, orders, new_token):
        self.limits = limits
        self.orders = orders
        self.engine = orders.engine
        self.key = change_key(self.engine)
        self.service_key = service_slots_key(limits.service)
        self.new_token = new_token
        self.wanted = None  # (revision, Target)
        self.newest_config = (0, {}.keys())  # revision and its engines
        self.store_request = OutstandingRequest(owner=f"change/{self.engine}")
        self.mark_request = OutstandingRequest(owner=f"mark/{self.engine}", timeout=7.0)
        self._begin_term(0)

    def _begin_term(self, fencing):
        self.fencing = fencing
        self.version = None  # of the change row; None until it was read
        self.change = None
        self.writing = None
        self.slots = {}  # key -> (version, Slots), for the next write only
        self.mark = None  # (revision, draining) that is in effect everywhere
        self.marked_at = None
        self.next_mark = float("-inf")
        self.next_step = float("-inf")
        self.store_request.tag = None
        self.mark_request.tag = None
        self.orders.wanted = None

    def request(self, revision, targets, revisions=None):
        """Request this engine's target; `targets` has those of all engines.

        An older revision never replaces a newer one. Slots of engines that
        the newest revision does not name count as free. `revisions` gives
        the version that last changed each target; without it, `revision` did.
        """
        if revision > self.newest_config[0]:
            # A view, since a set per engine takes 69 MiB for 1,100 engines.
            self.newest_config = (revision, targets.keys())
            own = (revisions or {}).get(self.engine, revision)
            if self.engine in targets and own > self._wanted_revision():
                self.wanted = (own, targets[self.engine])

    def _wanted_revision(self):
        return 0 if self.wanted is None else self.wanted[0]

    def on_time(self, now, grant):
        """Return the effects that are due at `now`."""
        effects = ()
        if grant is not None:
            effects = self._own_effects(now, grant)
        return merge_timers(effects + self.orders.on_time(now, grant))

    def on_reply(self, now, grant, tag, reply):
        """Handle a reply of the store."""
        if tag.owner == self.orders.store_request.owner:
            effects = self.orders.on_reply(now, grant, tag, reply)
            return merge_timers(effects + self.on_time(now, grant))
        call = self.store_request.close(tag)
        if call is None:
            return ()
        kind = call[0]
        if grant is None or grant.fencing != self.fencing:
            self._invalidate(now)
        elif kind == "write" and isinstance(reply, Committed):
            self.version += 1
            self.change = self.writing
            self.slots = {}
        elif kind != "write" and isinstance(reply, (Found, Missing)):
            self._on_read(kind, reply)
        else:
            self._invalidate(now)
        return self.on_time(now, grant)

    def on_state(self, now, grant, tag, state):
        """Handle a report of the engine, None if it did not answer."""
        effects = self.orders.on_state(now, grant, tag, state)
        return merge_timers(effects + self.on_time(now, grant))

    def on_sent(self, now, grant, number, accepted):
        """Handle the engine's answer to an order."""
        effects = self.orders.on_sent(now, grant, number, accepted)
        return merge_timers(effects + self.on_time(now, grant))

    def on_marked(self, now, grant, tag, in_effect):
        """Handle the answer to a mark: whether it is in effect everywhere."""
        call = self.mark_request.close(tag)
        if call is None:
            return ()
        if in_effect:
            self.mark = call[0]
            self.marked_at = now
        return self.on_time(now, grant)

    def _invalidate(self, now):
        """Discard the rows that were read; read them again before a write."""
        self.version = None
        self.slots = {}
        self.next_step = now + RETRY_AFTER

    def _on_read(self, kind, reply):
        row = reply.row if isinstance(reply, Found) else None
        version = row.version if row else 0
        if kind == "change":
            self.version = version
            self.change = row and msgspec.msgpack.decode(row.value, type=Change)
        else:
            slots = msgspec.msgpack.decode(row.value, type=Slots) if row else Slots()
            self.slots[kind] = (version, slots)

    def _own_effects(self, now, grant):
        if grant.fencing != self.fencing:
            self._begin_term(grant.fencing)
        if self.store_request.expire(now):
            self._invalidate(now)
        effects = ()
        if not self.store_request.is_waiting(now) and now >= self.next_step:
            effects = self._advance(now, grant)
        if self.store_request.is_waiting(now):
            return (*effects, StartTimer(self.store_request.due()))
        return (*effects, StartTimer(max(self.next_step, now + RETRY_AFTER)))

    def _advance(self, now, grant):
        """Return the effects of the current step of the change."""
        if self.version is None:
            return self._read(now, "change", self.key)
        change = self.change
        if change is not None and change.step in (Step.ORDERED, Step.VERIFYING):
            self.orders.wanted = change.target
        if self._is_replaced():
            return self._begin(now, grant)
        if change is None or change.step == Step.DONE:
            return ()
        if change.step == Step.DRAINING:
            return self._drain(now, grant)
        if change.step == Step.ORDERED:
            if not self.orders.is_written():
                return ()
            return self._write(now, grant, Step.VERIFYING)
        return self._verify(now, grant)

    def _is_replaced(self):
        if self.wanted is None:
            return False
        return self.change is None or self.wanted[0] > self.change.revision

    def _begin(self, now, grant):
        """Start the wanted change in place of the current one, if any."""
        state = self.orders.state
        if state is None:
            return ()
        if self._is_unchanged(state):
            return self._write(now, grant, Step.VERIFYING)
        if self.service_key not in self.slots:
            return self._read(now, self.service_key, self.service_key)
        if not self._acquire_slot(self.service_key, self.limits.max_concurrent_changes):
            return self._wait_for_slot(now)
        return self._write(now, grant, Step.DRAINING)

    def _is_unchanged(self, state):
        """Whether the engine has the wanted target and no other was ordered.

        An engine that deviates from its written order will be ordered back to
        it, so its report alone is not enough to skip the drain.
        """
        target = self.wanted[1]
        is_open = self.change is not None and self.change.step != Step.DONE
        if is_open or self.orders.version is None or state.target != target:
            return False
        return self.orders.order is None or self.orders.order.target == target

    def _drain(self, now, grant):
        """Wait for the mark, an idle engine and a weight slot, then order."""
        if self.mark != (self.change.revision, True):
            return self._mark(now, True)
        if not self._is_drained():
            return ()
        if needs_weights(self.orders.state.target, self.change.target):
            if WEIGHT_SLOTS_KEY not in self.slots:
                return self._read(now, WEIGHT_SLOTS_KEY, WEIGHT_SLOTS_KEY)
            if not self._acquire_slot(WEIGHT_SLOTS_KEY, self.limits.weight_loads):
                return self._wait_for_slot(now)
        return self._write(now, grant, Step.ORDERED)

    def _is_drained(self):
        """Whether a report requested after the mark shows an idle engine."""
        state = self.orders.state
        return (
            state is not None
            and self.orders.state_asked_at >= self.marked_at
            and state.is_idle
        )

    def _verify(self, now, grant):
        """Clear the mark once the engine reports the target, then finish."""
        if not self.orders.is_done():
            return ()
        if self.mark != (self.change.revision, False):
            return self._mark(now, False)
        for key in (self.service_key, WEIGHT_SLOTS_KEY):
            if key not in self.slots:
                return self._read(now, key, key)
            self._release_slot(key)
        return self._write(now, grant, Step.DONE)

    def _mark(self, now, draining):
        self.mark_request.expire(now)
        if self.mark_request.is_waiting(now) or now < self.next_mark:
            return ()
        self.next_mark = now + REPEAT_AFTER
        revision = self.change.revision
        tag = self.mark_request.open((revision, draining), now)
        return (MarkDraining(tag, self.engine, revision, draining),)

    def _read(self, now, kind, key):
        return (ReadRow(self.store_request.open(kind, now), key),)

    def _acquire_slot(self, key, limit):
        version, slots = self.slots[key]
        if self.engine in slots.engines:
            return True
        slots = slots.without_withdrawn(*self.newest_config)
        if len(slots.engines) >= limit:
            return False
        # A resumed change may be newer than this instance's configuration.
        revision = max(
            self.newest_config[0], self.change.revision if self.change else 0
        )
        taken = {**slots.engines, self.engine: revision}
        self.slots[key] = (version, Slots(taken))
        return True

    def _release_slot(self, key):
        version, slots = self.slots[key]
        self.slots[key] = (version, slots.without(self.engine))

    def _wait_for_slot(self, now):
        self.slots = {}
        self.next_step = now + REPEAT_AFTER
        return ()

    def _write(self, now, grant, step):
        """Write the step together with the slots it acquires or releases."""
        replaces = self._is_replaced()
        revision, target = (
            self.wanted if replaces else (self.change.revision, self.change.target)
        )
        self.writing = Change(self.engine, revision, target, step, self.fencing)
        put = Put(self.key, self.version, msgspec.msgpack.encode(self.writing))
        slots = tuple(
            Put(key, version, msgspec.msgpack.encode(value))
            for key, (version, value) in self.slots.items()
        )
        check = Check(grant.key, grant.version)
        tag = self.store_request.open("write", now)
        return (WriteRows(tag, self.new_token(), (put, *slots), (check,)),)
