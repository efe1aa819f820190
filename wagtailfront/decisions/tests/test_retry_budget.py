"""Tests of the retry budget."""

import random

import pytest
from hypothesis import given, strategies as st

from wagtailfront.decisions.retry_budget import (
    FLOOR_BURST,
    FLOOR_RATE,
    RetryAllowance,
    RetryBudget,
    retry_delay,
)


@given(
    failures=st.lists(st.integers(0, 120), max_size=60),
    healthy=st.integers(0, 500),
    seed=st.integers(0, 2**32),
)
def test_total_outage_never_amplifies_load(failures, healthy, seed):
    """Guards against a retry storm while no attempt succeeds.

    `failures` holds the number of new requests in each round; every attempt
    fails, and each failed request asks for a retry.
    """
    budget = RetryBudget()
    rng = random.Random(seed)
    sent = [0] * healthy
    for _ in range(healthy):
        budget.record_request()
    for arrivals in failures:
        for attempt in range(1, arrivals + 1):
            budget.record_request()
            sent.append(0)
            if rng.random() < 0.5:
                sent[-1] += budget.spend()
            assert 0 <= retry_delay(attempt, rng=rng, retry_after=1.0) - 1.0 <= 2.0
        if sent:
            sent[-1] += sum(budget.spend() for _ in range(arrivals + 5))
        assert 10 * sum(sent) <= len(sent)
    retries_since = [0]
    for retries in sent:
        retries_since.append(retries_since[-1] + retries)
    # Any 100 consecutive requests cause at most 10 retries.
    assert all(
        later - earlier <= 10
        for earlier, later in zip(retries_since, retries_since[100:], strict=False)
    )
    # Once the outage is over, the budget returns.
    for _ in range(100):
        budget.record_request()
    assert budget.spend()


@pytest.mark.parametrize("lifetime", [0.5, 2.0, 7.0, 60.0])
def test_restarts_do_not_renew_the_minimum_of_retries(lifetime):
    """Guards an outage against instances that restart again and again."""
    seconds, made = 60.0, 0
    starts = [number * lifetime for number in range(int(seconds / lifetime))]
    for started in starts:
        allowance = RetryAllowance(started=started)
        for step in range(int(lifetime * 10)):
            made += allowance.spend(now=started + step / 10)
    assert made <= FLOOR_RATE * seconds + FLOOR_BURST
