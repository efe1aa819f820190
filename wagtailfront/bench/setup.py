"""Configuration of simulations, closed-loop clients and fleet capacity."""

import functools
import itertools
import random
from typing import NamedTuple

from wagtailfront.bench.engine_model import EngineModel, SlowSpan
from wagtailfront.bench.records import Network
from wagtailfront.bench.simulation import Simulation
from wagtailfront.bench.workload import MIXES, Workload
from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.routing import LeastOutstanding, RoundRobin

__all__ = [
    "ENGINES",
    "INSTANCES",
    "POLICIES",
    "Options",
    "SimulationConfig",
    "simulate",
    "capacity",
    "percentile",
    "work_seconds",
]

ENGINES = tuple(f"engine-{number}" for number in range(6))
INSTANCES = 6
# Clients per instance that `capacity` tries for the highest throughput.
CAPACITY_CLIENTS = (32, 48, 64)
CAPACITY_SECONDS = 180.0
CAPACITY_WARM_UP = 30.0
# Wait of a closed-loop client between a refusal and its next request.
REFUSED_PAUSE_SECONDS = 1.0
# Weights of tokens in work-weighted throughput: a prompt token's cost and an
# output token's share of a step with 16 sequences.
PROMPT_TOKEN_SECONDS = 0.00008
OUTPUT_TOKEN_SECONDS = 0.00165


class Options(NamedTuple):
    """Options of a scenario on the command line."""

    slow_factor: float = 10.0
    report_lag: float = 5.0
    peak: float = 5.0
    mix: str = "day"
    seconds: float = 0.0
    load: float = 0.7


class SimulationConfig(NamedTuple):
    """Policy, closed-loop clients and slow engine of one simulation.

    Attributes
    ----------
    policy : str
        Name in POLICIES.
    clients : int
        Closed-loop clients per instance.
    client_mix : str
        Name in MIXES of the requests that they send.
    slow_spans : tuple of SlowSpan
        Time spans in which the last engine is slow.
    """

    policy: str
    seed: int
    options: Options = Options()
    clients: int = 0
    client_mix: str = "long"
    slow_spans: tuple[SlowSpan, ...] = ()


def _make_expected_finish(rng):
    return ExpectedFinish(engines=ENGINES, instances=INSTANCES, rng=rng)


def _make_least_outstanding(rng):
    return LeastOutstanding(engines=ENGINES, rng=rng)


def _make_round_robin(rng):
    return RoundRobin(engines=ENGINES, rng=rng)


POLICIES = {
    "expected-finish": _make_expected_finish,
    "least-outstanding": _make_least_outstanding,
    "round-robin": _make_round_robin,
}


def simulate(config, *, arrivals=(), until):
    """Run one simulation and return its records in order of arrival.

    Parameters
    ----------
    config : SimulationConfig
    arrivals : iterable of Arrival
    until : float
        Virtual seconds.
    """
    engines = [EngineModel(name=name) for name in ENGINES]
    engines[-1].slow_spans = config.slow_spans
    closed_loop = Workload(seed=config.seed, instances=INSTANCES, name="c")
    mix = MIXES[config.client_mix]

    def next_arrival(record, now):
        before = record.arrival
        if not before.client:
            return None
        pause = REFUSED_PAUSE_SECONDS if record.refused else 0.0
        return closed_loop.draw(
            mix, at=now + pause, instance=before.instance, client=before.client
        )

    simulation = Simulation(
        engines=engines,
        policies=[
            POLICIES[config.policy](random.Random(f"{config.seed} {index}"))
            for index in range(INSTANCES)
        ],
        arrivals=arrivals,
        seed=config.seed,
        next_arrival=next_arrival,
        network=Network(report_lag=config.options.report_lag),
    )
    for instance, client in itertools.product(range(INSTANCES), range(config.clients)):
        at = closed_loop.rng.random()
        first = closed_loop.draw(mix, at=at, instance=instance, client=f"c{client}")
        simulation.schedule(at, simulation.handle_arrival, first)
    return list(simulation.run(until=until).values())


@functools.cache
def capacity(seed, mix):
    """Return the fleet's saturated throughput as (requests/s, work/s).

    The highest rates over several numbers of closed-loop clients count.
    """
    rates = []
    for clients in CAPACITY_CLIENTS:
        config = SimulationConfig(
            "least-outstanding", seed, clients=clients, client_mix=mix
        )
        records = simulate(config, until=CAPACITY_SECONDS)
        done = [
            work_seconds(record)
            for record in records
            if record.finished is not None and record.finished > CAPACITY_WARM_UP
        ]
        seconds = CAPACITY_SECONDS - CAPACITY_WARM_UP
        rates.append((len(done) / seconds, sum(done) / seconds))
    return max(rate for rate, _ in rates), max(work for _, work in rates)


def work_seconds(record):
    """Return a request's weight in work-weighted throughput, in seconds."""
    arrival = record.arrival
    return (
        arrival.work.prompt_tokens * PROMPT_TOKEN_SECONDS
        + arrival.output_tokens * OUTPUT_TOKEN_SECONDS
    )


def percentile(values, share):
    """Return the value that `share` of the values do not exceed.

    Examples
    --------
    >>> percentile([4, 1, 3, 2], 0.5)
    2
    """
    ordered = sorted(values)
    index = max(0, -(-int(len(ordered) * share * 1000) // 1000) - 1)
    return ordered[index]
