"""Costs of a running instance under open-loop load of token streams."""

import http.client
import time
from typing import NamedTuple

from circuits import BaseComponent, handler

from wagtailfront.bench.arrivals import KINDS, LoadPlan
from wagtailfront.bench.load_exchange import ANSWERED
from wagtailfront.bench.load_runner import LoadRunner, LoadTarget
from wagtailfront.bench.slopes import fit, parse_metrics
from wagtailfront.transport.http_client import HttpPool
from wagtailfront.transport.supervisor import make_root

__all__ = [
    "LiveTarget",
    "Phase",
    "Idle",
    "TOKEN_RATES",
    "measure_live",
    "fit_processor_time",
]

TOKEN_RATES = (400.0, 765.0, 2295.0)  # per second; 765 is the share of one instance
REQUEST_RATES = (10.0, 20.0, 40.0)  # per second, of streams of two tokens
LONG_MIX, BRIEF_MIX = "long_draft", "brief_draft"
METRICS_TIMEOUT = 5.0  # seconds
WARM_UP = LoadPlan(mix=LONG_MIX, rate=8.0, duration=2.0)


class LiveTarget(NamedTuple):
    """Addresses of the measured instance and of engines to compare it with."""

    instance: tuple[str, int]
    metrics: tuple[str, int]
    engines: list
    model: str


class Phase(NamedTuple):
    """One load through the instance, or directly to the engines.

    Attributes
    ----------
    way : str
        "instance" or "direct".
    cores : float
        Processor time of the instance per second; 0 for a direct load.
    first_p50, first_p99 : float
        Seconds from the planned arrival to the first token.
    late_p99 : float
        Seconds by which requests were sent after their planned arrival.
    """

    way: str
    mix: str
    requests_per_s: float
    requests: int
    answered: int
    tokens: int
    seconds: float
    cores: float
    first_p50: float
    first_p99: float
    late_p99: float


class Idle(NamedTuple):
    """Costs of the control traffic per second without load."""

    seconds: float
    cores: float
    peer_bytes_per_s: float
    peer_messages_per_s: float
    store_requests_per_s: float
    memory_bytes: float


class _Stopper(BaseComponent):
    @handler("finished", channel="*")
    def _on_finished(self):
        self.root.stop()


def read_metrics(address):
    """Return the time and the samples of an instance's metrics page."""
    connection = http.client.HTTPConnection(*address, timeout=METRICS_TIMEOUT)
    try:
        connection.request("GET", "/metrics")
        page = connection.getresponse().read().decode()
    finally:
        connection.close()
    return time.monotonic(), parse_metrics(page)


def measure_idle(address, seconds):
    """Return the `Idle` costs of an instance over some seconds."""
    before_at, before = read_metrics(address)
    time.sleep(seconds)
    after_at, after = read_metrics(address)
    span = after_at - before_at

    def rate(name):
        name = f"wagtailfront_{name}"
        return (after.get(name, 0.0) - before.get(name, 0.0)) / span

    return Idle(
        seconds=span,
        cores=rate("process_cpu_seconds"),
        peer_bytes_per_s=rate("peer_bytes_total"),
        peer_messages_per_s=rate("peer_messages_total"),
        store_requests_per_s=rate("store_requests_total"),
        memory_bytes=after["wagtailfront_process_memory_bytes"],
    )


def _run_load(plan, addresses, model, seed):
    root = make_root(BaseComponent())
    _Stopper().register(root)
    pool = HttpPool(max_idle=64).register(root)
    target = LoadTarget(instances=addresses, model=model, service="")
    runner = LoadRunner(plan=plan, target=target, pool=pool, seed=seed).register(root)
    root.run()
    return runner


def _measure_phase(target, plan, *, way, seed):
    """Run one load and return its `Phase`."""
    is_direct = way == "direct"
    addresses = target.engines if is_direct else [target.instance]
    before_at, before = read_metrics(target.metrics)
    runner = _run_load(plan, addresses, target.model, seed)
    after_at, after = read_metrics(target.metrics)
    answered = [o for o in runner.outcomes if o.result == ANSWERED]
    firsts = sorted(o.first - o.at for o in answered)
    name = "wagtailfront_process_cpu_seconds"
    cores = (after[name] - before[name]) / (after_at - before_at)
    return Phase(
        way=way,
        mix=plan.mix,
        requests_per_s=plan.rate,
        requests=len(runner.outcomes),
        answered=len(answered),
        tokens=sum(o.tokens for o in answered),
        seconds=after_at - before_at,
        cores=0.0 if is_direct else cores,
        first_p50=percentile(firsts, 0.50),
        first_p99=percentile(firsts, 0.99),
        late_p99=percentile(sorted(runner.lateness), 0.99),
    )


def percentile(values, share):
    """Return the quantile `share` of sorted values, 0 if there are none.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    return values[max(0, -int(-share * len(values) // 1) - 1)]


def measure_live(target, *, duration, seed):
    """Yield a `Phase` per way and rate.

    Parameters
    ----------
    target : LiveTarget
    duration : float
        Seconds of offered load per phase.
    seed : int
    """
    _run_load(WARM_UP, [target.instance], target.model, seed + 1000)
    tokens = KINDS[LONG_MIX].output_tokens[0]
    plans = [LoadPlan(mix=LONG_MIX, rate=r / tokens) for r in TOKEN_RATES]
    plans += [LoadPlan(mix=BRIEF_MIX, rate=rate) for rate in REQUEST_RATES]
    for number, plan in enumerate(plans):
        plan = plan._replace(duration=duration)
        ways = ("direct", "instance") if target.engines else ("instance",)
        for way in ways:
            yield _measure_phase(target, plan, way=way, seed=seed + number)


def fit_processor_time(phases, mix):
    """Fit the processor time of the instance to the request rates of a mix."""
    chosen = [p for p in phases if p.mix == mix and p.way == "instance"]
    return fit(
        f"processor time, {mix}",
        "us/s",
        "request/s",
        [phase.answered / phase.seconds for phase in chosen],
        [phase.cores * 1e6 for phase in chosen],
    )


def split_costs(long, brief):
    """Return microseconds per token and per request from two fits."""
    many, few = KINDS[LONG_MIX].output_tokens[0], KINDS[BRIEF_MIX].output_tokens[0]
    per_token = (long.slope - brief.slope) / (many - few)
    return per_token, brief.slope - few * per_token


def added_first_token(phases):
    """Return what the instance adds to the time to first token.

    Returns
    -------
    dict of float to (float, float)
        Seconds added at p50 and p99, by offered tokens/s.
    """
    added = {}
    for rate in sorted({p.requests_per_s for p in phases if p.mix == LONG_MIX}):
        pair = {
            p.way: p for p in phases if p.mix == LONG_MIX and p.requests_per_s == rate
        }
        if len(pair) == 2:
            tokens = rate * KINDS[LONG_MIX].output_tokens[0]
            added[tokens] = tuple(
                getattr(pair["instance"], name) - getattr(pair["direct"], name)
                for name in ("first_p50", "first_p99")
            )
    return added
