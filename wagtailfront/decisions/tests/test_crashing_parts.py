"""Tests of the detection of prompt parts that crash engines."""

import pytest

from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.decisions.tests.part_fleet import DEADLY, PartFleet

STABLE = 3.0  # seconds after which an instance counts as in touch
TOLERATED = 3  # requests with a crashing part that may reach engines later
SEEDS = (1, 2, 3)


def late_sends(fleet, *, since=0.0, without=()):
    """Return sends with the deadly part after its fifth crash is known."""
    crashes = sorted(fleet.crash_times)
    if len(crashes) < 5:
        return []
    start = max(since, crashes[4] + STABLE)
    return [
        time
        for time, name in fleet.deadly_sends
        if time > start and name not in without
    ]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("instances", "engines", "rate", "share"),
    [(6, 6, 40, 0.01), (6, 6, 40, 0.05), (6, 6, 40, 0.3), (84, 56, 200, 0.05)],
)
def test_a_part_that_crashes_engines_is_refused_by_all_instances(
    instances, engines, rate, share, seed
):
    """Guards engines against requests that have only one part in common."""
    fleet = PartFleet(
        instances=instances, engines=engines, rate=rate, share=share, seed=seed
    )
    fleet.run(25.0)
    assert len(late_sends(fleet)) <= TOLERATED
    assert all(
        parts.find_refused((DEADLY,), now=fleet.now) for parts in fleet.parts.values()
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_sound_requests_with_the_same_first_part_are_not_refused(seed):
    """Guards requests that share all parts but the crashing one."""
    fleet = PartFleet(seed=seed)
    fleet.run(25.0)
    assert fleet.refused_sound == []
    assert len([time for time in fleet.answered if time > 20.0]) > 100


@pytest.mark.parametrize("seed", SEEDS)
def test_instances_that_restart_or_lose_touch_learn_of_a_refused_part(seed):
    """Guards against each instance learning of a crashing part by itself."""
    fleet = PartFleet(seed=seed)
    fleet.cut = {4}
    fleet.run(12.0)
    fleet.restart(0)
    fleet.restart(1)
    fleet.cut = set()
    fleet.run(STABLE)
    since = fleet.now
    fleet.run(10.0)
    assert late_sends(fleet, since=since) == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("instances", [6, 84])
def test_engines_that_crash_together_do_not_taint_parts(instances, seed):
    """Guards against refused parts after crashes with another cause."""
    fleet = PartFleet(instances=instances, engines=12, rate=80, share=0.0, seed=seed)
    for _ in range(4):
        fleet.run(4.0)
        for engine in range(4):
            fleet.crash(engine)
    fleet.run(4.0)
    assert fleet.refused_sound == []


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_that_are_reset_do_not_taint_parts(seed):
    """Guards against refused parts while engines answer other requests."""
    fleet = PartFleet(share=0.0, seed=seed)
    for _ in range(60):
        fleet.run(0.3)
        fleet.reset_connections(0.3)
    fleet.run(2.0)
    assert fleet.refused_sound == []


def test_a_part_that_was_answered_after_its_crashes_is_allowed_again():
    """Guards against refusing a part although engines answer it."""
    parts = CrashingParts(source="a")
    for number in range(3):
        parts.record_crash(("p",), f"e{number}", sent=number, now=number + 0.5)
    changes = parts.update(now=3.0)
    assert parts.find_refused(("p",), now=3.0) == "p"
    parts.record_answer(("p",), now=3.5)
    assert parts.find_refused(("p",), now=3.5) is None
    changes += parts.update(now=3.5)
    assert [change.is_refused for change in changes] == [True, False]


def test_the_most_specific_part_is_refused():
    """Guards a shared first part that was in the same crashes."""
    parts = CrashingParts(source="a")
    for number in range(4):
        prompt = ("first", "second", "third")
        parts.record_crash(prompt, f"e{number}", sent=number, now=number + 0.5)
    parts.update(now=5.0)
    assert parts.find_refused(("first", "second"), now=5.0) is None
    assert parts.find_refused(("third",), now=5.0) == "third"


def test_parts_on_the_same_engines_as_the_crashing_one_are_not_refused():
    """Guards a first part that had no answer yet, and other requests."""
    parts = CrashingParts(source="a")
    for number in range(5):
        engine, times = f"e{number}", {"sent": number, "now": number + 0.5}
        parts.record_crash(("first", "deadly"), engine, **times)
        parts.record_crash(("first",), engine, **times)
        parts.record_crash(("other",), engine, **times)
    parts.update(now=6.0)
    assert set(parts.refused) == {"deadly"}


@pytest.mark.parametrize("was_answered", [False, True])
def test_a_part_that_crashes_all_engines_at_once_is_refused(was_answered):
    """Guards engines that are back at the same moment after such crashes."""
    parts = CrashingParts(source="a")
    if was_answered:
        parts.record_answer(("p",), now=0.0)
    for number in range(5):
        parts.record_crash(("p",), f"e{number}", sent=1.0, now=1.5)
    parts.update(now=2.5)
    assert parts.find_refused(("p",), now=2.5) == (None if was_answered else "p")


def test_a_refusal_expires():
    """Guards against refusing a part forever."""
    parts = CrashingParts(source="a", lifetime=60.0)
    for number in range(3):
        parts.record_crash(("p",), f"e{number}", sent=number, now=number + 0.5)
    parts.update(now=3.0)
    assert parts.find_refused(("p",), now=50.0) == "p"
    assert parts.find_refused(("p",), now=70.0) is None
