"""Hours of virtual time beside fixed fleets, against the stated targets."""

import pytest

from wagtailfront.fleet_size.allocation import Place
from wagtailfront.fleet_size.tests.fluid_fleet import Load, Run, best_fixed, others

# The stated targets: never loosen them.
MAX_LOSS, MAX_COST = 0.01, 1.15
MAX_TURNS_PER_HOUR = 12  # one in five minutes, of six places
SECONDS = 1200.0
START = others(6, 5, 5)


def reclaim(run):
    """Take back the engines of each data centre, three times."""
    name = "abc"[int(run.platform.now) // 300 % 3]
    run.platform.reclaim(name, 90.0)


def have_no_spots(run):
    """Refuse all orders for engines that may be reclaimed."""
    for name in "abc":
        run.platform.unavailable[Place(name, True)] = 1e9


def be_slow(run):
    """Answer orders 2.5 s late, which is 50 times as long as usual."""
    run.platform.delay = 2.5


def be_away(run):
    """Answer no orders, or again, every other time."""
    run.platform.is_away = not run.platform.is_away


SCENARIOS = {
    "waves": (Load(burst_every=0.0), []),
    "bursts": (Load(), []),
    "shift": (Load(shift=400.0), []),
    "reclaimed": (Load(), [(200.0 + 300 * i, reclaim) for i in range(4)]),
    "no spots": (Load(), [(0.0, have_no_spots)]),
    "slow": (Load(), [(0.0, be_slow)]),
    "away": (Load(), [(200.0 + 100 * i, be_away) for i in range(6)]),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_callers_are_in_time_at_the_cost_of_the_best_fixed_fleet(name):
    """Guards against late callers, cost beyond the targets, and flapping."""
    load, actions = SCENARIOS[name]
    options = {"load": load, "seconds": SECONDS, "seed": 1}
    sized = Run(start=START, actions=actions, **options).play()
    fixed = Run(start=START, is_sized=False, **options).play()
    best = best_fixed(fixed.in_time - MAX_LOSS, **options)
    assert sized.in_time >= fixed.in_time - MAX_LOSS
    assert sized.cost <= MAX_COST * best.cost
    assert sized.turns <= MAX_TURNS_PER_HOUR * SECONDS / 3600


def test_growth_after_a_reduction_is_not_answered_by_flapping():
    """Guards against bursts that each take back the reduction before."""
    load = Load(burst_every=100.0)
    run = Run(load=load, start=START, seconds=1200.0, seed=5)
    outcome = run.play()
    assert outcome.turns <= MAX_TURNS_PER_HOUR * 1200 / 3600
    assert run.sizer.services["s"].memory.hold <= 64.0
