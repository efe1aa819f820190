"""Placement by many instances with outdated loads of each other."""

import random
from collections import deque
from typing import NamedTuple

import pytest

from wagtailfront.forwarding.placement import (
    PREFILL_RATE,
    EngineView,
    plan_model_request,
)
from wagtailfront.forwarding.tests.builders import make_record

ENGINES = [make_record(f"p{i}", stage="prefill") for i in range(18)]
DECODE_ENGINES = [make_record(f"d{i}", stage="decode") for i in range(3)]
INSTANCES = 84
PROMPT_TOKENS = 9_000
STREAMS = 100  # in progress at each engine that decodes
UTILISATION = 0.7  # of the engines' prefill capacity


class Placed(NamedTuple):
    """A prompt in an engine's queue; its prefill is complete at `end`."""

    at: float
    engine: str
    end: float
    instance: int


def simulate(*, lag, is_load_outdated, seed, seconds=30.0):
    """Return the share of prompts that were prefilled within 0.3 s.

    Each instance knows its own prompts at once and those of the others after
    `lag` seconds.
    """
    rng = random.Random(seed)
    rate = UTILISATION * len(ENGINES) * PREFILL_RATE / PROMPT_TOKENS
    free_at = dict.fromkeys((record.incarnation for record in ENGINES), 0.0)
    placed, now, count, in_time = deque(), 0.0, 0, 0
    while now < seconds:
        now += rng.expovariate(rate)
        instance = rng.randrange(INSTANCES)
        while placed and placed[0].end < now - lag and placed[0].at < now - lag:
            placed.popleft()
        known = dict.fromkeys(free_at, 0)
        for prompt in placed:
            seen_at = now if prompt.instance == instance else now - lag
            known[prompt.engine] += PROMPT_TOKENS * (prompt.at <= seen_at < prompt.end)
        views = [
            EngineView(record, 0, pending_tokens=known[record.incarnation])
            for record in ENGINES
        ]
        plan = plan_model_request(
            views + [EngineView(record, STREAMS) for record in DECODE_ENGINES],
            PROMPT_TOKENS,
            may_split=True,
            rng=rng,
            is_load_outdated=is_load_outdated,
        )
        engine = plan.prefill.incarnation
        end = max(now, free_at[engine]) + PROMPT_TOKENS / PREFILL_RATE
        free_at[engine] = end
        placed.append(Placed(now, engine, end, instance))
        count += 1
        in_time += end - now <= 0.3
    return in_time / count


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_outdated_loads_do_not_send_all_instances_to_one_engine(seed):
    """Simulates 84 instances whose digests take longer than a prefill."""
    in_full = simulate(lag=0.3, is_load_outdated=False, seed=seed)
    sampled = simulate(lag=0.3, is_load_outdated=True, seed=seed)
    assert 1 - sampled < 0.6 * (1 - in_full)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fresh_loads_are_compared_in_full(seed):
    """Guards small fleets, where all engines are to be compared."""
    in_full = simulate(lag=0.01, is_load_outdated=False, seed=seed)
    assert in_full > 0.97
