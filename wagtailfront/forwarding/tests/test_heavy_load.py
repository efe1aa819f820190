"""Placement and admission while prompts arrive faster than engines prefill."""

import random

import pytest

from wagtailfront.forwarding.admission import AdmissionLimits, admit
from wagtailfront.forwarding.tests.builders import STREAMING, make_record, make_route
from wagtailfront.forwarding.tests.prompt_queue import simulate

LIMITS = AdmissionLimits()
ENGINES = [
    *(make_record(f"p{i}", stage="prefill") for i in range(3)),
    *(make_record(f"d{i}", stage="decode") for i in range(3)),
]
SEEDS = (1, 2, 3)


def round_robin(engines, parts, now):
    """Return the engines in turn, by the request's number."""
    return engines[int(parts[-1].part_id) % len(engines)]


def least_busy(engines, parts, now):
    """Return the engine that is free first."""
    return min(engines, key=lambda engine: engine.free_at)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("baseline", [round_robin, least_busy])
def test_shared_parts_are_prefilled_once_and_responses_are_on_time(baseline, seed):
    """Compares with two common placements at a high load in capacity."""
    ours = simulate(ENGINES, load=0.8, seconds=20, limits=None, seed=seed)
    other = simulate(
        ENGINES, load=0.8, seconds=20, limits=None, choose=baseline, seed=seed
    )
    assert ours.on_time > other.on_time
    assert ours.shared_tokens_prefilled < other.shared_tokens_prefilled


@pytest.mark.parametrize("seed", SEEDS)
def test_most_responses_are_on_time_under_overload(seed):
    """Simulates 1.5 times the capacity, with and without a limit."""
    limited = simulate(ENGINES, load=1.5, seconds=20, limits=LIMITS, seed=seed)
    unlimited = simulate(ENGINES, load=1.5, seconds=20, limits=None, seed=seed)
    assert limited.on_time > 2 * unlimited.on_time
    assert limited.abandoned == 0
    assert limited.rejected < 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_rejected_while_engines_keep_up(seed):
    """Guards against rejections at a load that engines can handle."""
    outcome = simulate(ENGINES, load=0.4, seconds=20, limits=LIMITS, seed=seed)
    assert outcome.rejected < 0.01


def test_a_retry_is_admitted_while_its_caller_still_waits():
    """Guards against rejecting a request twice for the same queue."""
    route = make_route(STREAMING, timeout=5.0, target_latency=0.4)
    options = {"expected": 1.0, "route": route, "limits": LIMITS}
    rng = random.Random(1)
    rejected = admit(time_left=5.0, rng=rng, **options)
    assert not rejected.is_admitted
    assert admit(time_left=5.0 - rejected.retry_after, rng=rng, **options).is_admitted


def test_a_request_that_cannot_be_served_is_rejected_at_once():
    """Guards against queueing a request that its caller will abandon."""
    route = make_route(STREAMING, timeout=5.0, target_latency=0.4)
    rejected = admit(
        expected=3.0, route=route, time_left=4.0, limits=LIMITS, rng=random.Random(1)
    )
    assert not rejected.is_admitted
    assert 0 < rejected.retry_after < 4.0 / 2
