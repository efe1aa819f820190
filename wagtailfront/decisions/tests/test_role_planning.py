"""Tests of the planning of prefill and decode roles."""

import collections
import random

from hypothesis import given, strategies as st

from wagtailfront.decisions.role_planning import (
    Capacity,
    Demand,
    EngineRole,
    RolePlanner,
    best_prefill_count,
)
from wagtailfront.decisions.work import Role

CAPACITY = Capacity(prefill_speed=10_000.0, decode_speed=1_000.0)
CHANGE_SECONDS = 5.0


def run(shares, *, total, busy, noise, seed, down=0):
    """Plan once per second for these prefill shares of the demand.

    Returns the changes as (time, engine), and the final prefill count.
    """
    rng = random.Random(seed)
    planner = RolePlanner(capacity=CAPACITY)

    def demand(share):
        return Demand(
            busy * total * share * CAPACITY.prefill_speed * rng.uniform(*noise),
            busy * total * (1 - share) * CAPACITY.decode_speed * rng.uniform(*noise),
        )

    split = best_prefill_count(demand(shares[0]), CAPACITY, engines=total)
    engines = {
        f"e{number}": EngineRole(Role.PREFILL if number < split else Role.DECODE)
        for number in range(total)
    }
    changes = []
    for now, share in enumerate(shares):
        for name, engine in engines.items():
            is_changing = now - engine.since < CHANGE_SECONDS
            is_up = int(name[1:]) >= down
            engines[name] = engine._replace(changing=is_changing, available=is_up)
        for name, role in planner.plan(engines, demand(share), now=float(now)):
            engines[name] = EngineRole(role, float(now), changing=True)
            changes.append((now, name))
        serving = sum(each.available > each.changing for each in engines.values())
        assert serving >= min(total - down, max(2, (total + 1) // 2))
    roles = collections.Counter(engine.role for engine in engines.values())
    return changes, roles[Role.PREFILL]


@given(
    total=st.integers(2, 16),
    low=st.floats(0.05, 0.5),
    high=st.floats(0.5, 0.95),
    busy=st.floats(0.2, 1.5),
    seed=st.integers(0, 99),
)
def test_a_shift_changes_an_engine_once_and_a_steady_mix_none(
    total, low, high, busy, seed
):
    """Guards against engines that oscillate between roles on a noisy mix."""
    noise = (0.96, 1.04)
    half = total // 2
    run([low, *[high] * 60], total=total, busy=busy, noise=noise, seed=seed, down=half)
    steady, _ = run([low] * 300, total=total, busy=busy, noise=(1, 1), seed=seed)
    assert steady == []
    ramp = [low + (high - low) * second / 120 for second in range(121)]
    there, _ = run(ramp + [high] * 120, total=total, busy=busy, noise=noise, seed=seed)
    names = [name for _, name in there]
    assert len(names) == len(set(names))
    assert not [at for at, _ in there if at > 180]
    back = [*ramp, *[high] * 120, *reversed(ramp), *[low] * 120]
    assert there or total < 4 or high - low < 0.6 or busy < 0.9
    changes, split = run(back, total=total, busy=busy, noise=(1, 1), seed=seed)
    assert (
        max(collections.Counter(name for _, name in changes).values(), default=0) <= 2
    )

    def use(split):
        return max(low / split, (1 - low) / (total - split))

    best = min(range(1, total), key=use)
    assert use(split) <= use(best) / (1 - 0.1) + 1e-9 or busy < 0.5 or total < 4
