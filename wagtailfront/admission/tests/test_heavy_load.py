"""What callers get while prompts arrive faster than engines prefill.

Guards a morning on which short drafts turn into long reads within minutes:
each caller waits two seconds for a first event and has three to six in all.
"""

import functools

import pytest

from wagtailfront.admission.tests.prompt_load import simulate
from wagtailfront.forwarding.tests.builders import make_record

ENGINES = [
    *(make_record(f"p{i}", stage="prefill") for i in range(3)),
    *(make_record(f"d{i}", stage="decode") for i in range(3)),
]
SEEDS = (1, 2, 3)
LOADS = (1.5, 2.0, 3.0, 5.0)  # multiples of the capacity
MAX_VAIN_SHARE = 0.02  # of the tokens that engines prefill
MAX_LEFT_SHARE = 0.05  # of callers that leave without having been answered


def round_robin(engines, caller, now):
    """Return the engines in turn, by the request's number."""
    return engines[int(caller.parts[-1].part_id.partition("-")[2]) % len(engines)]


def least_busy(engines, caller, now):
    """Return the engine that is free first."""
    return min(engines, key=lambda engine: engine.free_after(now))


BASELINES = (round_robin, least_busy)


@functools.cache
def play(load, seed, choose=None, is_limited=True):
    """Return the outcome of a burst, for all tests that ask for it."""
    return simulate(ENGINES, load=load, choose=choose, is_limited=is_limited, seed=seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("baseline", BASELINES)
def test_shared_parts_are_prefilled_once_and_callers_are_served(baseline, seed):
    """Compares with two common placements at a high load in capacity."""
    ours = play(0.8, seed, is_limited=False)
    other = play(0.8, seed, baseline, is_limited=False)
    assert ours.served > other.served
    assert ours.shared_tokens < other.shared_tokens


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_refused_while_engines_keep_up(seed):
    """Guards against refusals at a load that engines can handle."""
    assert play(0.4, seed).refused < 0.01


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("baseline", BASELINES)
def test_more_callers_are_served_in_a_burst(baseline, load, seed):
    """Compares with two common placements that refuse nothing."""
    ours, other = play(load, seed), play(load, seed, baseline, is_limited=False)
    assert ours.served > other.served
    assert ours.vain_tokens < other.vain_tokens


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
def test_engines_hardly_work_in_vain_in_a_burst(load, seed):
    """Guards against prompts whose callers have left."""
    ours = play(load, seed)
    assert ours.vain_tokens < MAX_VAIN_SHARE * ours.tokens
    assert ours.left < MAX_LEFT_SHARE


@pytest.mark.parametrize("load", LOADS)
def test_callers_that_return_as_told_are_mostly_served(load):
    """Guards callers against a Retry-After that ends in another refusal."""
    outcomes = [play(load, seed) for seed in SEEDS]
    returned = sum(each.returned for each in outcomes)
    served = sum(each.returned * each.returned_served for each in outcomes)
    assert returned > 0
    assert served / returned > 0.5


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
def test_no_kind_is_starved_in_a_burst(load, seed):
    """Guards the least urgent callers, and those with the longest prompts."""
    ours = play(load, seed)
    assert min(ours.served_by_kind.values()) > ours.served / 4
