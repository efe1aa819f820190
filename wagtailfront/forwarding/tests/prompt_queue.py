"""Simulation of engines that prefill prompts, for tests of decisions."""

import random
from typing import NamedTuple

from wagtailfront.forwarding.admission import admit
from wagtailfront.forwarding.placement import (
    DECODE_ENGINE_PREFILL_RATE,
    PREFILL_RATE,
    EngineView,
    plan_model_request,
)
from wagtailfront.forwarding.prefix_cache import PrefixCacheEstimate
from wagtailfront.forwarding.tests.builders import STREAMING, make_parts, make_route

CAPACITY_TOKENS = 1_000_000
SHARED_TOKENS = 13_000
OWN_TOKENS = 3_000
SUBJECTS = 40


class Outcome(NamedTuple):
    """Shares of requests by outcome, and shared tokens that were prefilled."""

    on_time: float
    abandoned: float
    rejected: float
    shared_tokens_prefilled: int


class Engine:
    """Prefills prompts one after another; it is idle at `free_at`."""

    def __init__(self, record):
        self.record = record
        self.rate = (
            PREFILL_RATE if record.stage == "prefill" else DECODE_ENGINE_PREFILL_RATE
        )
        self.free_at = 0.0
        self.cache = PrefixCacheEstimate(capacity_tokens=CAPACITY_TOKENS)

    def prefill(self, parts, now):
        """Queue a prompt; return when it is prefilled, and its tokens."""
        name = self.record.incarnation
        tokens = sum(p.tokens for p in parts) - self.cache.cached_tokens(name, parts)
        self.cache.record_prompt(name, parts)
        self.free_at = max(now, self.free_at) + tokens / self.rate
        return self.free_at, tokens


def simulate(records, *, load, seconds, limits, choose=None, seed=1):
    """Simulate prompts that arrive at `load` times the engines' capacity.

    Parameters
    ----------
    records : list of EndpointRecord
    load : float
        At 1.0 the engines are just busy while shared parts are cached.
    seconds : float
    limits : AdmissionLimits or None
        None admits every request.
    choose : callable, optional
        Returns an engine for (engines, parts, now); the plan's by default.
    seed : int, optional

    Returns
    -------
    Outcome
    """
    rng = random.Random(seed)
    route = make_route(STREAMING, target_latency=0.4, timeout=5.0)
    engines = {record.incarnation: Engine(record) for record in records}
    rate = load * sum(engine.rate for engine in engines.values()) / OWN_TOKENS
    now, count, on_time, abandoned, rejected, shared = 0.0, 0, 0, 0, 0, 0
    while now < seconds:
        now += rng.expovariate(rate)
        count += 1
        parts = make_parts(f"subject-{rng.randrange(SUBJECTS)}", SHARED_TOKENS, 0)
        parts = (parts[0], parts[1]._replace(part_id=str(count), tokens=OWN_TOKENS))
        if choose is not None:
            engine = choose(list(engines.values()), parts, now)
            expected = max(0.0, engine.free_at - now)
        else:
            plan = plan_model_request(
                [_view(engine, parts, now) for engine in engines.values()],
                SHARED_TOKENS + OWN_TOKENS,
                may_split=True,
                rng=rng,
            )
            engine = engines[(plan.prefill or plan.decode).incarnation]
            expected = plan.expected
            decode_engine = engines[plan.decode.incarnation]
        if limits is not None:
            admission = admit(
                expected=expected, route=route, time_left=5.0, limits=limits, rng=rng
            )
            if not admission.is_admitted:
                rejected += 1
                continue
        done, tokens = engine.prefill(parts, now)
        if choose is None:
            # A decode engine caches what it fetches from a prefill engine.
            decode_engine.cache.record_prompt(decode_engine.record.incarnation, parts)
        shared += max(0, tokens - OWN_TOKENS)
        on_time += done - now <= route.target_latency
        abandoned += done - now > route.max_first_event_wait
    return Outcome(on_time / count, abandoned / count, rejected / count, shared)


def _view(engine, parts, now):
    waiting = max(0.0, engine.free_at - now) * engine.rate
    cached = engine.cache.cached_tokens(engine.record.incarnation, parts)
    return EngineView(
        engine.record, 0, pending_tokens=int(waiting), cached_tokens=cached
    )
