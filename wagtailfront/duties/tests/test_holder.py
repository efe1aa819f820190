"""Tests of the holder of duties under faults, in virtual time."""

import itertools

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from wagtailfront.duties import holder
from wagtailfront.duties.tests.duty_world import DutyWorld
from wagtailfront.freshness import store_clock

WAIT = st.sampled_from([0.0, 0.1, 1.0, 4.0, 6.0])
FAULTS = ["lost request", "lost answer", "late request"]


class HolderMachine(RuleBasedStateMachine):
    """Faults, mostly of the holder; after a wait of 0 they coincide."""

    def __init__(self):
        super().__init__()
        self.world = DutyWorld()
        self.world.run(1.0)

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=4), wait=WAIT)
    def disturb_store(self, faults, wait):
        for machine in self.world.machines:
            machine.link.faults.extend(faults)
        self.world.run(wait)

    @rule(seconds=st.sampled_from([0.5, 3.7, 5.0, 9.0]), wait=WAIT)
    def freeze(self, seconds, wait):
        self.world.active.frozen_until = self.world.now + seconds
        self.world.run(wait)

    @rule(seconds=st.sampled_from([2.0, 6.0]), wait=WAIT)
    def cut(self, seconds, wait):
        link = self.world.active.link
        link.is_cut = True
        self.world.after(seconds, lambda: setattr(link, "is_cut", False))
        self.world.run(wait)

    @rule(wait=WAIT)
    def restart(self, wait):
        machine = self.world.active
        machine.start()
        machine.holder.want(True)
        self.world.run(wait)

    @rule(pause=WAIT, wait=WAIT)
    def release(self, pause, wait):
        machine = self.world.active
        machine.holder.want(False)
        self.world.run(pause)
        machine.holder.want(True)
        self.world.run(wait)

    @rule(age=st.integers(0, 6), wait=WAIT)
    def restore(self, age, wait):
        self.world.row.restore(age)
        self.world.run(wait)

    @rule(is_late=st.booleans())
    def delay_calls(self, is_late):
        self.world.is_late = is_late

    def teardown(self):
        world = self.world
        for machine in world.machines:
            machine.link.faults.clear()
        world.run(25.0)
        last = world.calls[-1][0] if world.calls else 0.0
        assert world.now - last < 1.0, "nobody carries out the duties"


HolderMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=8,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestHolders = HolderMachine.TestCase


def play(steps):
    """Carry out steps one directly after the other, then let time pass."""
    machine = HolderMachine()
    machine.world.run(5.2)
    # Late calls of a holder must not come after its successor's.
    machine.delay_calls(True)
    for step in steps:
        step(machine)
    machine.delay_calls(False)
    machine.world.run(14.0)


STEPS = {
    "restart": lambda m: m.restart(0.2),
    "release": lambda m: m.release(0.5, 0.0),
    "long release": lambda m: m.release(1.7, 0.0),
    "freeze": lambda m: m.freeze(5.0, 6.0),
    "cut": lambda m: m.cut(6.0, 6.0),
    "restore": lambda m: m.restore(3, 0.1),
    "lost answer": lambda m: m.disturb_store(["lost answer"], 0.0),
}


@pytest.mark.parametrize("first", STEPS)
def test_every_order_of_faults_keeps_the_rules(first):
    """Guards against A, B, A and falling numbers in orders never drawn."""
    for others in itertools.product(STEPS, repeat=2):
        play([STEPS[name] for name in (first, *others)])


@pytest.mark.parametrize(
    ("name", "value", "steps"),
    [
        ("_wait", lambda self, grant: 0.0, ["release", "long release"]),
        ("grant", lambda self: self.seen_grant(), ["freeze"]),
    ],
)
def test_machine_finds_the_fault(monkeypatch, name, value, steps):
    """Guards against a machine that passes without the wait or the check."""

    def seen_grant(self):
        grant = self.lease.grant()
        if grant is None and self.lease.machine.is_own():
            return self.last_grant
        self.last_grant = grant
        return grant

    monkeypatch.setattr(holder.DutyHolder, "seen_grant", seen_grant, raising=False)
    monkeypatch.setattr(holder.DutyHolder, name, value)
    with pytest.raises(AssertionError):
        for order in itertools.product(steps, repeat=2):
            play([STEPS[step] for step in order])


def test_a_late_write_of_an_earlier_era_takes_no_number_again():
    """Guards against a number that a holder lost to such a write."""
    machine = HolderMachine()
    machine.cut(2.0, 0.0)
    machine.cut(2.0, 4.0)
    machine.freeze(9.0, 0.0)
    machine.restore(2, 0.0)
    machine.world.run(25.0)
    assert len({entry.fencing for _at, entry in machine.world.calls}) == 3


def test_a_sleep_of_the_machine_ends_the_hold():
    """Guards against the monotonic clock, which stops while it sleeps."""
    assert store_clock.boot_clock() >= 0.0
    assert holder.DutyHolder.__init__.__kwdefaults__["clock"] is store_clock.boot_clock
