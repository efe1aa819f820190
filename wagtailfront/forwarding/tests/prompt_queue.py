"""A small model of engines that read prompts, for tests of decisions."""

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
    """What callers got, as shares of the requests, and tokens read again."""

    on_time: float
    left: float
    refused: float
    shared_tokens_read: int


class Engine:
    """Reads prompts one after another; `free_at` is when it is idle."""

    def __init__(self, record):
        self.record = record
        self.rate = (
            PREFILL_RATE if record.stage == "prefill" else DECODE_ENGINE_PREFILL_RATE
        )
        self.free_at = 0.0
        self.kept = PrefixCacheEstimate(capacity_tokens=CAPACITY_TOKENS)

    def read(self, parts, now):
        """Queue a prompt; return when it has been read, and its tokens."""
        name = self.record.incarnation
        tokens = sum(p.tokens for p in parts) - self.kept.cached_tokens(name, parts)
        self.kept.record_prompt(name, parts)
        self.free_at = max(now, self.free_at) + tokens / self.rate
        return self.free_at, tokens


def play(records, *, load, seconds, limits, choose=None, seed=1):
    """Send prompts at `load` times what the engines can read.

    Parameters
    ----------
    records : list of EndpointRecord
    load : float
        1.0 keeps the engines just busy while shared parts are kept.
    seconds : float
    limits : AdmissionLimits or None
        None takes every request.
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
    now, count, on_time, left, refused, shared = 0.0, 0, 0, 0, 0, 0
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
            generator = engines[plan.decode.incarnation]
        if limits is not None:
            admission = admit(
                expected=expected, route=route, time_left=5.0, limits=limits, rng=rng
            )
            if not admission.is_admitted:
                refused += 1
                continue
        done, tokens = engine.read(parts, now)
        if choose is None:
            # An engine keeps what it fetches for a prompt read elsewhere.
            generator.kept.record_prompt(generator.record.incarnation, parts)
        shared += max(0, tokens - OWN_TOKENS)
        on_time += done - now <= route.target_latency
        left += done - now > route.max_first_event_wait
    return Outcome(on_time / count, left / count, refused / count, shared)


def _view(engine, parts, now):
    waiting = max(0.0, engine.free_at - now) * engine.rate
    kept = engine.kept.cached_tokens(engine.record.incarnation, parts)
    return EngineView(engine.record, 0, pending_tokens=int(waiting), cached_tokens=kept)
