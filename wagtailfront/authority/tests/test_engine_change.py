"""Tests of planned changes. P2: a planned change interrupts no request."""

import functools
import itertools

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from wagtailfront.authority.change_rows import (
    WEIGHT_SLOTS_KEY,
    Change,
    ChangeLimits,
    Slots,
    Step,
    change_key,
    service_slots_key,
)
from wagtailfront.authority.engine_change import ChangeMachine
from wagtailfront.authority.group_machine import GroupMachine
from wagtailfront.authority.tests.builders import FAULT_SETTINGS, WAIT, Transmission
from wagtailfront.authority.tests.holders import INSTANCES, HolderFaults
from wagtailfront.stores.interfaces import Row

ENGINES = {"e1": True, "e2": False, "e3": True, "e4": False}
SETTINGS = settings(max_examples=120, stateful_step_count=30)


class PlannedChanges(HolderFaults):
    """P2 for the drain; instances apply marks up to 3 s late."""

    group_machine = GroupMachine
    engines = ENGINES
    limits = ChangeLimits("desk-assist", 4, 1, 2)

    def check_event(self):
        super().check_event()
        marked = [name for name, mark in self.world.marks.items() if not mark[1]]
        assert len(marked) <= self.limits.max_concurrent_changes, (
            "too little capacity left"
        )
        loading = [
            name
            for name, engine in self.world.engines.items()
            if engine.loading and not engine.crashes
        ]
        assert len(loading) <= self.limits.weight_loads, "too many weight loads"

    def check_row(self, value):
        if not isinstance(value, Change):
            return
        before = self.changes.get(value.engine)
        if before is not None:
            assert value.revision >= before.revision, "went back to an older target"
        self.changes[value.engine] = value

    def check_receive(self, engine, order, stalled):
        super().check_receive(engine, order, stalled)
        rejected = engine.checks_fencing and order.number < engine.number
        if engine.running and engine.changes_with(order) and not rejected:
            raise AssertionError("an order interrupted requests")

    def check_healed(self):
        for name, target in self.targets.items():
            change = self.row(change_key(name), Change)
            assert change.step == Step.DONE, "the change is stuck"
            assert change.target == target, "an older target won"
            assert self.world.engines[name].target == target
            assert self.world.marks.get(name, (0, True))[1], "still marked"
        if self.targets:
            for key in (service_slots_key("desk-assist"), WEIGHT_SLOTS_KEY):
                assert not self.row(key, Slots).engines, "a slot was not freed"

    def row(self, key, kind):
        """Return the decoded row at `key`."""
        row = self.world.table.rows.get(key)
        return kind() if row is None else msgspec.msgpack.decode(row.value, type=kind)

    @rule(
        names=st.sets(st.sampled_from(sorted(ENGINES)), min_size=1),
        seconds=st.sampled_from([0.2, 1.0, 25.0]),
        wait=WAIT,
    )
    def send_requests(self, names, seconds, wait):
        for name, delay in itertools.product(sorted(names), range(6)):
            self.world.schedule.after(
                delay / 2, functools.partial(self.send_request, name, seconds)
            )
        self.world.run_for(wait)

    @rule(number=st.integers(1, 3), seconds=st.sampled_from([0.2, 1.0]))
    def change_under_load(self, number, seconds):
        self.send_requests(ENGINES, seconds, 0.0)
        self.configure(number, INSTANCES, 4.0)

    def send_request(self, name, seconds):
        """Send one request from the instance that applies marks last."""
        if self.world.receives_requests(name):
            self.world.engines[name].run_request(seconds)

    def __init__(self):
        self.changes = {}
        super().__init__()

    def teardown(self):
        self.world.run_for(60.0)
        super().teardown()


class DrainSkipped(ChangeMachine):
    """Orders as soon as the engine is marked."""

    def _is_drained(self):
        return self.orders.state is not None


class MarkNotAwaited(ChangeMachine):
    """Treats the draining mark as in effect when it is sent."""

    def _mark(self, now, draining):
        if draining:
            self.mark, self.marked_at = (self.change.revision, True), now
        return super()._mark(now, draining)


class NoLimit(ChangeMachine):
    """Ignores the limits on concurrent changes and weight loads."""

    def _acquire_slot(self, key, limit):
        return super()._acquire_slot(key, 99)


def with_changes(change_machine):
    """Return the P2 state machine with `change_machine`."""
    group = type("Group", (GroupMachine,), {"change_machine": change_machine})
    return type("PlannedChanges", (PlannedChanges,), {"group_machine": group})


def test_guarantee_holds_under_faults():
    """Checks P2 under combinations of the faults."""
    run_state_machine_as_test(PlannedChanges, settings=SETTINGS)


def test_slots_of_withdrawn_engines_are_free():
    """Guards against changes blocked by slots of withdrawn engines.

    An engine that is withdrawn during its change leaves its slot acquired.
    """
    machine = PlannedChanges()
    key = service_slots_key("desk-assist")
    slots = Slots({"gone1": 1, "gone2": 1, "gone3": 1})
    machine.world.table.rows[key] = Row(key, 1, msgspec.msgpack.encode(slots))
    machine.configure(number=1, informed=set(), wait=0.0)
    machine.teardown()


def test_holder_with_an_old_configuration_keeps_slots():
    """Guards against release of slots by a holder without the configuration.

    The third holder resumes changes before it has received a configuration.
    """
    machine = PlannedChanges()
    machine.configure(number=3, informed=set(), wait=1.0)
    machine.configure(number=2, informed=set(), wait=1.0)
    machine.release(seconds=0.5, wait=1.0)
    machine.release(seconds=6.0, wait=0.3)
    machine.configure(number=2, informed=set(), wait=11.0)
    machine.teardown()


def test_report_from_an_earlier_term_does_not_skip_the_drain():
    """Guards against use of a report from before a loss of the lease.

    An instance holds the lease while the engine has v1, loses it, and acquires
    it again when the engine has v2 and v1 is wanted again.
    """
    machine = PlannedChanges()
    machine.kill(wait=11.0)
    machine.crash_engine(name="e1", wait=0.3)
    machine.replace(transmissions=[Transmission(delay=2.9)], gap=11.0)
    machine.kill(wait=11.0)
    machine.kill(wait=11.0)
    machine.release(seconds=6.0, wait=11.0)
    machine.send_requests(names={"e1"}, seconds=25.0, wait=0.0)
    machine.kill(wait=0.0)
    machine.replace(transmissions=[Transmission(delay=2.9)], gap=11.0)
    machine.teardown()


@pytest.mark.parametrize(
    "change_machine, message",
    [
        (DrainSkipped, "interrupted"),
        (MarkNotAwaited, "interrupted"),
        (NoLimit, "capacity|weight loads"),
    ],
)
def test_machine_finds_the_fault(change_machine, message):
    """The state machine detects a deliberately faulty implementation."""
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(with_changes(change_machine), settings=FAULT_SETTINGS)
