"""Tests of the bounds in the target table, which the design sets."""

import functools

import pytest

from wagtailfront.bench.report import worst_results
from wagtailfront.bench.scenarios import SCENARIOS
from wagtailfront.bench.setup import Options

TARGETS = [
    (name, target.measure)
    for name, scenario in SCENARIOS.items()
    for target in scenario.targets
    # Times depend on the machine and are checked by `wagtailfront-load bench`
    # only; the test checks the count of lines instead.
    if not target.is_timed
]


@functools.cache
def results(name):
    """Return the worst values of a scenario over the fixed seeds."""
    return {
        target.measure: (value, met, target.bound)
        for target, value, met in worst_results(name, "expected-finish")
    }


@pytest.mark.parametrize(("name", "measure"), TARGETS)
def test_policy_meets_target(name, measure):
    """Guards against a change that worsens a decision below its target."""
    value, met, bound = results(name)[measure]
    assert met, f"{name} {measure} is {value}, target {bound}"


def test_slow_engine_scenario_detects_sends():
    """Guards against measures that cannot fail: round robin must miss them."""
    worst = worst_results("slow-engine", "round-robin", seeds=(1,))
    assert not any(met for _, _, met in worst)


def test_mix_shift_near_capacity():
    """Guards against roles that lag behind the mix without spare capacity."""
    options = Options(load=0.95)
    worst = worst_results("mix-shift", "expected-finish", options=options, seeds=(2,))
    assert all(met for _, _, met in worst), worst


def test_fleet_scenarios_detect_faults():
    """Guards against measures that cannot fail: a baseline must miss them."""
    crash = worst_results("crash-resend", "round-robin", seeds=(1,))
    assert not any(met for _, _, met in crash)
    cost = worst_results("decision-cost", "least-outstanding", seeds=(1,))
    assert not any(met for target, _, met in cost if not target.is_timed)
