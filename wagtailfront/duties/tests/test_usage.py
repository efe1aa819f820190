"""Tests of usage reports under faults, in virtual time."""

import random
from collections import Counter

import pytest

from wagtailfront.duties.tests.usage_world import UsageWorld
from wagtailfront.duties.true_time import TrueTime
from wagtailfront.duties.usage_counts import UsageCounts
from wagtailfront.duties.usage_reporter import UsageReporter

STEPS = ("read", "write", "written", "report", "reported")
TOLERANCE = 0.05


@pytest.mark.parametrize("rate", [0, 1])
def test_all_windows_are_reported_in_time_and_exactly(rate):
    """Guards against lost counts, and gaps where there were no requests."""
    world = UsageWorld()
    world.run(90.0, rate=rate)
    world.check(tolerance=0.0)
    assert len(world.rows) <= 14


@pytest.mark.parametrize("seed", range(6))
def test_digests_may_be_lost_repeated_or_out_of_order(seed):
    """Guards the sums against messages between instances."""
    world = UsageWorld(5, rng=random.Random(seed))
    world.run(60.0)
    world.check(tolerance=TOLERANCE / 2)


@pytest.mark.parametrize("number", [1, 2, 3])
@pytest.mark.parametrize("kind", STEPS)
@pytest.mark.parametrize("end", ["kill", "freeze"])
def test_a_holder_that_ends_at_any_step_has_a_successor(kind, number, end):
    """Guards against two reports of a window that differ, and against none."""
    world = UsageWorld(6)
    seen = Counter()

    def on_step(step, instance):
        seen[step] += 1
        if (step, seen[step]) != (kind, number):
            return
        if end == "kill":
            world.kill(instance)
        else:
            instance.frozen_until = world.now + 7.0
            world.succeed()

    world.on_step = on_step
    world.run(60.0)
    assert kind == "read" or seen[kind] >= number
    world.check(tolerance=TOLERANCE)


@pytest.mark.parametrize("offset", [0.3, 2.0, 4.9])
def test_an_instance_that_dies_in_a_window_leaves_its_counts(offset):
    """Guards against counts that only the instance itself knows."""
    world = UsageWorld(6)
    world.run(10.0 + offset)
    world.kill(world.instances[3])
    world.run(2.0)
    world.start("i3 again")
    world.run(30.0)
    world.check(tolerance=TOLERANCE)


def test_clocks_that_differ_or_jump_do_not_move_windows():
    """Guards against an instance's own time of day."""
    world = UsageWorld(5, wall_errors=[0.0, 0.05, -0.05, 100.0, 0.02])
    world.run(20.0)
    world.instances[0].wall_error = -3000.0
    world.run(20.0)
    world.start("new", wall_error=-500.0)
    world.run(30.0)
    world.check(tolerance=TOLERANCE)


@pytest.mark.parametrize(
    ("fault", "value"),
    [
        ("statuses", [200, 200, "slow", "slow", 200, "slow"]),
        ("statuses", [200, 200, None, None, 200, None]),
        ("statuses", [200, 429, 429, 200, 503]),
        ("lost_answers", [False, True, True, False, True]),
    ],
)
def test_reports_are_in_time_and_the_same_after(fault, value):
    """Guards against a repeat that differs from what was sent or written."""
    world = UsageWorld()
    setattr(world, fault, value)
    world.run(60.0)
    world.check(tolerance=0.0)


@pytest.mark.parametrize("fault", ["platform", "store"])
def test_windows_are_caught_up_in_order_after(fault):
    """Guards against windows that are skipped, and counts that are lost."""
    world = UsageWorld()
    world.run(11.0)
    world.statuses = ["down"] * 200 * (fault == "platform")
    world.is_store_away = fault == "store"
    world.run(45.0)
    assert len(world.reported()) <= 3
    world.statuses, world.is_store_away = [], False
    world.run(20.0)
    world.check(tolerance=0.0, late=True)


def test_a_report_that_is_refused_does_not_block_later_ones():
    """Guards against one window that ends all reports."""
    world = UsageWorld()
    world.statuses = [200, 400, 400, 400]
    world.run(40.0)
    assert len(world.reported()) >= 5


def kill_after_the_report():
    """Have a successor come after a report, one that counted less."""
    world = UsageWorld(6)
    world.run(32.0)
    world.instances[1].counts.peers.clear()
    world.kill(world.holder)
    return world


def restore_the_store(kept=0):
    world = kill_after_the_report()
    world.rows = dict(list(world.rows.items())[:kept])
    return world


@pytest.mark.parametrize("kept", [0, 1, 2])
def test_a_store_from_an_older_copy_leads_to_no_second_sum(kept):
    """Guards against a successor that does not find what was reported."""
    world = restore_the_store(kept)
    world.run(30.0)
    assert len(world.reported()) >= 9


def lose_digests():
    """Lose all digests of an instance around the end of a window."""
    world = UsageWorld()
    world.run(9.0)
    world.instances[2].is_cut = True
    world.run(1.2)
    world.instances[2].is_cut = False
    return world


def test_counts_that_are_lost_around_the_end_of_a_window_are_told_again():
    """Guards against a sum without the last counts of an instance."""
    world = lose_digests()
    world.run(30.0)
    world.check(tolerance=0.0)


def test_counts_that_come_too_late_are_logged_and_change_nothing():
    """Guards against counts that vanish without a line."""
    world = UsageWorld(3)
    world.run(8.0)
    world.instances[2].is_cut = True
    world.run(7.0)
    world.instances[2].is_cut = False
    world.run(25.0)
    world.reported()
    lines = [line for line in world.holder.log if line[0] == "usage_late"]
    assert sum(inputs["count"] for _kind, _outcome, inputs in lines) > 0


def set_a_clock():
    world = UsageWorld(3, wall_errors=[0.0, 0.0, 100.0])
    world.run(20.0)
    return world


def resum(self, window, counts):
    """Report what this instance counted, in place of the store's sum."""
    self.reporting = (window, self.counts.sum(window))


@pytest.mark.parametrize(
    ("owner", "name", "value", "play"),
    [
        (UsageReporter, "_start_report", resum, kill_after_the_report),
        (UsageCounts, "last_sum", lambda self: None, restore_the_store),
        (TrueTime, "at", lambda self, at: self.wall_clock(), set_a_clock),
        (UsageCounts, "_repeat", lambda self: None, lose_digests),
    ],
)
def test_world_finds_the_fault(monkeypatch, owner, name, value, play):
    """Guards against a world that passes whatever the reporter does."""
    monkeypatch.setattr(owner, name, value)
    with pytest.raises(AssertionError):
        world = play()
        world.run(30.0)
        world.check(tolerance=TOLERANCE)
