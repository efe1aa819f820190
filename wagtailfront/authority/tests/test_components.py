"""Tests of the lease and change components in virtual time."""

import threading

from circuits import BaseComponent, handler
from circuits.core.events import generate_events

from wagtailfront.authority.change_rows import ChangeLimits, Step
from wagtailfront.authority.change_runner import ChangeRunner, targets_wanted
from wagtailfront.authority.group_machine import GroupMachine
from wagtailfront.authority.lease_manager import LeaseManager, release_leases
from wagtailfront.authority.tests.builders import FakeEngine, build_target
from wagtailfront.authority.tests.world import World


class Ports:
    """Engine and drain mark ports that reply within the call."""

    def __init__(self, world):
        self.world = world

    def send_order(self, *, order, valid_until, reply):
        reply(self.world.engines[order.engine].receive(order))

    def read_engine(self, *, engine, reply):
        reply(self.world.engines[engine].state())

    def mark_draining(self, *, engine, revision, draining, reply):
        self.world.marks[engine] = (revision, not draining, self.world.now)
        reply(True)


class Instance(BaseComponent):
    """Root with a lease manager and a change runner; records events."""

    channel = "authority"

    def __init__(self, *, world, name):
        super().__init__()
        self.seen = []
        clock = self.clock = lambda: world.now
        self.lease_manager = LeaseManager(
            group="g", instance=name, store=world.table, clock=clock
        ).register(self)
        machine = GroupMachine(
            limits=ChangeLimits("desk-assist", 2, 1),
            engines={name: True for name in world.engines},
            new_id=world.new_id,
        )
        ports = Ports(world)
        self.runner = ChangeRunner(
            group="g",
            machine=machine,
            lease_manager=self.lease_manager,
            engines=ports,
            marks=ports,
            store=world.table,
            clock=clock,
        ).register(self)
        self.lease_manager.want(True)

    @handler(
        "lease_acquired", "lease_lost", "lease_released", "change_stepped", priority=1
    )
    def _record(self, event, *arguments):
        self.seen.append((event.name, *arguments))

    def turn(self):
        """Run one iteration of the event loop."""
        self.fire(generate_events(threading.RLock(), 0), "*")
        self.flush()


def build_world():
    """Return a world with two engines that check fencing numbers."""
    world = World()
    for name in ("e1", "e2"):
        world.engines[name] = FakeEngine(
            name=name, checks_fencing=True, schedule=world.schedule
        )
    return world


def run(world, instances, seconds):
    """Run the event loops of `instances` every 50 ms of virtual time."""
    for _ in range(round(seconds / 0.05)):
        world.run_for(0.05)
        for instance in instances:
            instance.turn()


def test_change_survives_a_killed_holder():
    """Guards takeover after a kill: the new holder resumes the change.

    It must resume in the drain, not order at once.
    """
    world = build_world()
    first = Instance(world=world, name="i1")
    run(world, [first], 1.0)
    assert first.seen[0] == ("lease_acquired", "g", 1)
    second = Instance(world=world, name="i2")
    targets = {name: build_target(1) for name in world.engines}
    world.engines["e1"].running = 1
    for instance in (first, second):
        instance.fire(targets_wanted(1, targets), "authority")
    run(world, [first, second], 3.0)
    assert ("change_stepped", "e1", 1, Step.DRAINING) in first.seen
    run(world, [second], 14.0)
    assert second.seen[0] == ("lease_acquired", "g", 2)
    assert world.engines["e1"].target == build_target(0), "drain was skipped"
    world.engines["e1"].running = 0
    run(world, [second], 20.0)
    assert [engine.target for engine in world.engines.values()] == [
        build_target(1),
        build_target(1),
    ]
    assert ("change_stepped", "e2", 1, Step.DONE) in second.seen


def test_release_hands_over_at_once():
    """Guards against a takeover that waits for a released lease to expire."""
    world = build_world()
    first = Instance(world=world, name="i1")
    run(world, [first], 1.0)
    second = Instance(world=world, name="i2")
    run(world, [first, second], 1.0)
    first.fire(release_leases(), "authority")
    run(world, [first, second], 3.5)
    assert [event[0] for event in first.seen] == [
        "lease_acquired",
        "lease_lost",
        "lease_released",
    ]
    assert second.seen == [("lease_acquired", "g", 2)]


def test_grant_ends_in_a_pause_before_any_event():
    """Guards against a `grant` after a pause that outlasted the lease."""
    world = build_world()
    instance = Instance(world=world, name="i1")
    run(world, [instance], 1.0)
    assert instance.lease_manager.grant() is not None
    world.run_for(8.0)
    assert instance.lease_manager.grant() is None
