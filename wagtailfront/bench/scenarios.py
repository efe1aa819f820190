"""Scenarios of the target table, each one entry of SCENARIOS."""

import functools
from collections.abc import Callable
from typing import NamedTuple

from wagtailfront.bench.crash_resend import crash_resend
from wagtailfront.bench.decision_cost import MAX_LINES, decision_cost
from wagtailfront.bench.engine_model import SlowSpan
from wagtailfront.bench.mix_shift import mix_shift
from wagtailfront.bench.setup import (
    ENGINES,
    INSTANCES,
    Options,
    SimulationConfig,
    capacity,
    percentile,
    simulate,
    work_seconds,
)
from wagtailfront.bench.workload import MIXES, Workload

__all__ = ["Target", "Scenario", "SCENARIOS"]

# Time until the closed-loop clients, which start together, are out of step.
WARM_UP_SECONDS = 40.0
SHORT_RATE = 10.0
# Clients per instance that send long reads: enough that a prompt is always
# queued at each engine.
READERS = 6
DAY_LOAD = 0.5
SLOW_GRACE_SECONDS = 2.0
RISE_SECONDS = 3.0
PEAK_SECONDS = 30.0
MAX_REFUSAL_SECONDS = 0.1
# Long reads accepted at the end of the peak have their deadline after it.
AFTER_PEAK_SECONDS = 95.0


class Target(NamedTuple):
    """Bound of one measure: the highest value if `at_most`, else the lowest.

    `is_timed` marks a measure whose value depends on the machine.
    """

    measure: str
    bound: float
    at_most: bool = True
    is_timed: bool = False

    def is_met(self, value):
        """Return whether `value` is within the bound."""
        return value <= self.bound if self.at_most else value >= self.bound

    def worst(self, values):
        """Return the value that is furthest from meeting the bound."""
        return max(values) if self.at_most else min(values)


class Scenario(NamedTuple):
    """A row of the target table.

    Attributes
    ----------
    title : str
    run : callable
        Takes a policy's name, a seed and Options; returns the measures by
        name.
    targets : tuple of Target
    """

    title: str
    run: Callable[[str, int, Options], dict[str, float]]
    targets: tuple[Target, ...] = ()


def head_of_line(policy, seed, options):
    """Compare short requests beside long reads with short ones alone."""
    seconds = options.seconds or 300.0
    mixed_latencies, throughput = _short_and_long(policy, seed, options, seconds)
    alone, _ = _short_and_long(policy, seed, options, seconds, readers=0)
    _, baseline = _short_and_long("least-outstanding", seed, options, seconds)
    return {
        "p99_ratio": percentile(mixed_latencies, 0.99) / percentile(alone, 0.99),
        "long_throughput": throughput / baseline,
        "p99_alone_s": percentile(alone, 0.99),
    }


@functools.lru_cache(maxsize=64)
def _short_and_long(policy, seed, options, seconds, readers=READERS):
    """Return latencies of short requests and prompt tokens/s of long reads."""
    workload = Workload(seed=seed, instances=INSTANCES)
    short = workload.poisson(
        MIXES["short"], rate=lambda at: SHORT_RATE, until=seconds - 20.0
    )
    config = SimulationConfig(policy, seed, options, clients=readers)
    records = simulate(config, arrivals=short, until=seconds)
    latencies = [
        _latency(record, seconds)
        for record in records
        if not record.arrival.client and record.arrival.at > WARM_UP_SECONDS
    ]
    tokens = sum(
        record.arrival.work.prompt_tokens
        for record in records
        if record.arrival.client and record.finished is not None
        if record.finished > WARM_UP_SECONDS
    )
    return latencies, tokens / (seconds - WARM_UP_SECONDS)


def slow_engine(policy, seed, options):
    """Compare a fleet with one engine slow for a time with a normal one."""
    seconds = options.seconds or 60.0
    end = WARM_UP_SECONDS + seconds
    span = SlowSpan(WARM_UP_SECONDS, end, options.slow_factor)
    slowed = _steady_load(policy, seed, options, end, spans=(span,))
    normal = _steady_load(policy, seed, options, end)
    since = WARM_UP_SECONDS + SLOW_GRACE_SECONDS
    late_sends = sum(
        since <= at < end and engine == ENGINES[-1]
        for record in slowed
        for engine, at in zip(record.engines, record.sent_at, strict=True)
    ) - sum(since <= at < end for record in slowed for at in record.probes_at)
    ratio = percentile(_latencies(slowed, end), 0.99) / percentile(
        _latencies(normal, end), 0.99
    )
    return {
        "p99_ratio": ratio,
        "late_sends": late_sends,
        "probes": sum(len(record.probes_at) for record in slowed),
        "refused": sum(record.refused is not None for record in slowed),
    }


def _steady_load(policy, seed, options, end, *, spans=()):
    rate = DAY_LOAD * capacity(seed, options.mix)[0]
    workload = Workload(seed=seed, instances=INSTANCES)
    arrivals = workload.poisson(MIXES[options.mix], rate=lambda at: rate, until=end)
    config = SimulationConfig(policy, seed, options, slow_spans=spans)
    return simulate(config, arrivals=arrivals, until=end + AFTER_PEAK_SECONDS)


def _latencies(records, end):
    """Return the latencies of requests between the warm-up and `end`."""
    return [
        _latency(record, end + AFTER_PEAK_SECONDS)
        for record in records
        if WARM_UP_SECONDS <= record.arrival.at < end
    ]


def _latency(record, end):
    """Return the latency in seconds.

    So that they count as very late, a refused request has the latency `end`,
    an unfinished one the time from its arrival to `end`.
    """
    if record.finished is not None:
        return record.latency
    return end - record.arrival.at if not record.refused else end


def demand_peak(policy, seed, options):
    """Raise the demand within 3 s to a multiple for 30 s."""
    seconds = options.seconds or PEAK_SECONDS
    peak_begin = WARM_UP_SECONDS + RISE_SECONDS
    end = peak_begin + seconds
    requests, work = capacity(seed, options.mix)
    usual = DAY_LOAD * requests

    def rate(at):
        if at >= end:
            return usual
        risen = min(max((at - WARM_UP_SECONDS) / RISE_SECONDS, 0.0), 1.0)
        return usual * (1 + risen * (options.peak - 1))

    arrivals = Workload(seed=seed, instances=INSTANCES).poisson(
        MIXES[options.mix], rate=rate, until=end + AFTER_PEAK_SECONDS
    )
    config = SimulationConfig(policy, seed, options)
    records = simulate(config, arrivals=arrivals, until=end + AFTER_PEAK_SECONDS)
    in_time = [
        work_seconds(record)
        for record in records
        if record.met_deadline and peak_begin <= record.finished < end
    ]
    peak_records = [
        each for each in records if WARM_UP_SECONDS <= each.arrival.at < end
    ]
    accepted = [each for each in peak_records if each.refused is None]
    refused = [each for each in peak_records if each.refused is not None]
    quick = [
        each
        for each in refused
        if each.refused_at - each.arrival.at <= MAX_REFUSAL_SECONDS
    ]
    by_count = len(in_time) / seconds / requests
    by_work = sum(in_time) / seconds / work
    return {
        "goodput": min(by_count, by_work),
        "goodput_requests": by_count,
        "goodput_work": by_work,
        "deadlines_met": sum(each.met_deadline for each in accepted) / len(accepted),
        "quick_refusals": len(quick) / len(refused) if refused else 1.0,
        "refused": len(refused) / len(peak_records),
    }


def calm(policy, seed, options):
    """Compare latencies with those of least-outstanding without any fault."""
    end = WARM_UP_SECONDS + (options.seconds or 120.0)
    records = _steady_load(policy, seed, options, end)
    baseline = _steady_load("least-outstanding", seed, options, end)
    return {
        f"p{round(share * 100)}_vs_least_outstanding": percentile(
            _latencies(records, end), share
        )
        / percentile(_latencies(baseline, end), share)
        for share in (0.5, 0.95, 0.99)
    } | {"refused": sum(record.refused is not None for record in records)}


SCENARIOS = {
    "head-of-line": Scenario(
        "short work beside long reads",
        head_of_line,
        (Target("p99_ratio", 1.5), Target("long_throughput", 0.9, at_most=False)),
    ),
    "slow-engine": Scenario(
        "one of six engines slow",
        slow_engine,
        (Target("p99_ratio", 1.5), Target("late_sends", 0)),
    ),
    "demand-peak": Scenario(
        "demand peak",
        demand_peak,
        (
            Target("goodput", 0.95, at_most=False),
            Target("deadlines_met", 0.99, at_most=False),
            Target("quick_refusals", 0.99, at_most=False),
        ),
    ),
    "mix-shift": Scenario(
        "prompt-to-output mix from 1:4 to 20:1 and back",
        mix_shift,
        (
            Target("goodput_ratio", 0.9, at_most=False),
            Target("changes_per_shift", 1),
            Target("steady_changes", 0),
        ),
    ),
    "crash-resend": Scenario(
        "crashing request resent through all instances",
        crash_resend,
        (Target("endpoints_lost", 2),),
    ),
    "decision-cost": Scenario(
        "routing decision with 1,100 engines known",
        decision_cost,
        (
            Target("microseconds", 200.0, is_timed=True),
            Target("lines", MAX_LINES),
            Target("relative_growth", 1.0),
        ),
    ),
    "calm": Scenario("nothing wrong", calm),
}
