"""What callers get when prompts come faster than engines read them."""

import random

import pytest

from wagtailfront.forwarding.admission import AdmissionLimits, admit
from wagtailfront.forwarding.tests.builders import STREAMING, make_record, make_route
from wagtailfront.forwarding.tests.prompt_queue import play

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
def test_shared_parts_are_read_once_and_answers_come_on_time(baseline, seed):
    """Plays a full but bearable load against two usual placements."""
    ours = play(ENGINES, load=0.8, seconds=20, limits=None, seed=seed)
    other = play(ENGINES, load=0.8, seconds=20, limits=None, choose=baseline, seed=seed)
    assert ours.on_time > other.on_time
    assert ours.shared_tokens_read < other.shared_tokens_read


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_keeps_most_answers_on_time(seed):
    """Plays 1.5 times what can be served, with and without a limit."""
    limited = play(ENGINES, load=1.5, seconds=20, limits=LIMITS, seed=seed)
    unlimited = play(ENGINES, load=1.5, seconds=20, limits=None, seed=seed)
    assert limited.on_time > 2 * unlimited.on_time
    assert limited.left == 0
    assert limited.refused < 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_refused_while_engines_keep_up(seed):
    """Plays a light load: a refusal would be false."""
    outcome = play(ENGINES, load=0.4, seconds=20, limits=LIMITS, seed=seed)
    assert outcome.refused < 0.01


def test_a_returning_caller_is_taken_while_it_still_waits():
    """Guards against refusing a caller twice for the same queue."""
    route = make_route(STREAMING, timeout=5.0, target_latency=0.4)
    options = {"expected": 1.0, "route": route, "limits": LIMITS}
    rng = random.Random(1)
    refused = admit(time_left=5.0, rng=rng, **options)
    assert not refused.is_admitted
    assert admit(time_left=5.0 - refused.retry_after, rng=rng, **options).is_admitted


def test_a_request_that_cannot_be_served_is_refused_at_once():
    """Guards against holding a request whose caller will have left."""
    route = make_route(STREAMING, timeout=5.0, target_latency=0.4)
    refused = admit(
        expected=3.0, route=route, time_left=4.0, limits=LIMITS, rng=random.Random(1)
    )
    assert not refused.is_admitted
    assert 0 < refused.retry_after < 4.0 / 2
