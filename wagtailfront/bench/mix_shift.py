"""Scenario in which the prompt-to-output mix shifts and shifts back."""

import functools
import itertools
import random
from typing import NamedTuple

from wagtailfront.bench.engine_model import EngineModel
from wagtailfront.bench.records import Network
from wagtailfront.bench.setup import ENGINES, INSTANCES, POLICIES
from wagtailfront.bench.simulation import Simulation
from wagtailfront.bench.workload import MIXES, Workload
from wagtailfront.decisions.role_planning import (
    Capacity,
    Demand,
    DemandEstimate,
    EngineRole,
    RolePlanner,
    best_prefill_count,
)
from wagtailfront.decisions.work import Role

__all__ = ["RoleSimulation", "mix_shift"]

FIRST_TOKEN_SECONDS = 0.77
TOKEN_GAP_SECONDS = 0.078
# Phase lengths in seconds: steady, shift, steady, shift back, steady.
STEADY_SECONDS = 60.0
SHIFT_SECONDS = 120.0
# Time after the last arrival in which the remaining requests end.
TAIL_SECONDS = 60.0
STEADY_RUN_SECONDS = 240.0
WARM_UP_SECONDS = 20.0
# Requests/s of either mix that saturate the best split of six engines.
DECODE_HEAVY_RATE = 7.7
PREFILL_HEAVY_RATE = 11.0
# Tokens/s of an engine in one role, from its step costs: a step decodes 48
# sequences in 0.039 s or prefills 2,048 prompt tokens in 0.184 s. The prefill
# speed is 0.8 of the latter, because at a higher utilisation the mean wait
# (M/D/1) of a prompt of two chunks alone exceeds the first-token target.
CAPACITY = Capacity(prefill_speed=8_900.0, decode_speed=1_220.0)
CHANGE_SECONDS = 5.0
SAMPLES = 500
DIGEST_SECONDS = 5.0
PLAN_SECONDS = 1.0
DRAIN_CHECK_SECONDS = 0.25


class _Phases(NamedTuple):
    """Mix and load over time.

    Attributes
    ----------
    parts : tuple of (float, float, float)
        End of each phase and the shares of prefill-heavy requests at its
        beginning and end.
    load : float
        Demand as a share of what the best split can serve.
    """

    parts: tuple[tuple[float, float, float], ...]
    load: float

    def share(self, at):
        """Return the share of prefill-heavy requests at `at`."""
        begin = 0.0
        for end, first, last in self.parts:
            if at < end:
                return first + (last - first) * (at - begin) / (end - begin)
            begin = end
        return self.parts[-1][2]

    def rate(self, at):
        """Return the requests/s at `at`."""
        more = self.share(at) * (PREFILL_HEAVY_RATE - DECODE_HEAVY_RATE)
        return self.load * (DECODE_HEAVY_RATE + more)

    @property
    def end(self):
        """Return the end of the last phase."""
        return self.parts[-1][0]


def _shift_and_back(load):
    ends = itertools.accumulate(
        [STEADY_SECONDS, SHIFT_SECONDS, STEADY_SECONDS, SHIFT_SECONDS, STEADY_SECONDS]
    )
    shares = [(0.0, 0.0), (0.0, 1.0), (1.0, 1.0), (1.0, 0.0), (0.0, 0.0)]
    parts = tuple((end, *pair) for end, pair in zip(ends, shares, strict=True))
    return _Phases(parts, load)


def _steady(share, load):
    return _Phases(((STEADY_RUN_SECONDS, share, share),), load)


class RoleSimulation(Simulation):
    """Simulation whose engines have roles that a planner may change.

    Instances learn roles and draining from the configuration, which takes
    effect long before a load report shows them.

    Parameters
    ----------
    planner : RolePlanner or None
        None leaves the roles unchanged.
    **settings
        Parameters of Simulation.
    """

    def __init__(self, *, planner, **settings):
        super().__init__(**settings)
        self.planner = planner
        self.roles = {
            name: EngineRole(engine.role) for name, engine in self.engines.items()
        }
        self.estimate = DemandEstimate()
        self.changes = []
        for name in self.engines:
            self._configure(name)
        if planner is not None:
            self.schedule(PLAN_SECONDS, self._plan)

    def handle_arrival(self, arrival):
        """Place a request; a later digest reports it to the planner."""
        work = arrival.work
        lengths = getattr(self.policies[arrival.instance], "lengths", None)
        if lengths is not None:
            output = lengths.predict(work.workspace, work.kind, work.max_tokens)
            self.schedule(
                self.now + DIGEST_SECONDS,
                self._observe,
                work.prompt_tokens,
                output.expected,
            )
        super().handle_arrival(arrival)

    def _observe(self, prompt, output):
        self.estimate.observe(prompt=prompt, output=output, now=self.now)

    def _plan(self):
        demand = self.estimate.demand(now=self.now)
        engines = {
            name: role._replace(load=len(self.engines[name].jobs))
            for name, role in self.roles.items()
        }
        for name, role in self.planner.plan(engines, demand, now=self.now):
            self.changes.append((self.now, name))
            self.roles[name] = EngineRole(role, self.now, changing=True)
            self._configure(name)
            self._drain(name)
        self.schedule(self.now + PLAN_SECONDS, self._plan)

    def _drain(self, name):
        if self.engines[name].jobs:
            self.schedule(self.now + DRAIN_CHECK_SECONDS, self._drain, name)
            return
        self.change_role(name, self.roles[name].role, CHANGE_SECONDS)
        self.schedule(self.now + CHANGE_SECONDS, self._end_role_change, name)

    def _end_role_change(self, name):
        self.roles[name] = self.roles[name]._replace(changing=False)
        self._configure(name)

    def _configure(self, name):
        for view in self._views(name):
            view.role = self.roles[name].role
            view.available = not self.roles[name].changing

    def _views(self, name):
        """Return the instances' views of an engine; baselines have none."""
        fleets = [getattr(policy, "fleet", None) for policy in self.policies]
        return [fleet.views[name] for fleet in fleets if fleet is not None]

    def _deliver_report(self, name, report):
        super()._deliver_report(name, report)
        self._configure(name)


class _Run(NamedTuple):
    """Records of a run, and its role changes as (time, engine)."""

    records: tuple
    changes: tuple


@functools.lru_cache(maxsize=64)
def _run(policy, seed, phases, split, planned=False):
    """Run the phases with `split` prefill engines; 0 means all are mixed."""
    roles = [Role.PREFILL] * split + [Role.DECODE] * (len(ENGINES) - split)
    simulation = RoleSimulation(
        planner=RolePlanner(capacity=CAPACITY) if planned else None,
        engines=[
            EngineModel(name=name, role=role if split else Role.MIXED)
            for name, role in zip(ENGINES, roles, strict=True)
        ],
        policies=[
            POLICIES[policy](random.Random(f"{seed} {index}"))
            for index in range(INSTANCES)
        ],
        arrivals=_draw_arrivals(seed, phases),
        seed=seed,
        network=Network(),
    )
    records = simulation.run(until=phases.end + TAIL_SECONDS)
    return _Run(tuple(records.values()), tuple(simulation.changes))


def _draw_arrivals(seed, phases):
    """Yield arrivals whose kind follows the share of the phases."""
    chooser = random.Random(f"mix {seed}")
    workload = Workload(seed=seed, instances=INSTANCES)
    at = 0.0
    while (at := at + chooser.expovariate(phases.rate(at))) < phases.end:
        is_prefill_heavy = chooser.random() < phases.share(at)
        mix = "prefill-heavy" if is_prefill_heavy else "decode-heavy"
        yield workload.draw(MIXES[mix], at=at)


def _meets_targets(record):
    """Return whether a request met both latency targets."""
    if record.finished is None or record.first_token is None:
        return False
    gaps = record.arrival.output_tokens - 1
    first = record.first_token - record.arrival.at
    decode = record.finished - record.first_token
    return first <= FIRST_TOKEN_SECONDS and decode <= TOKEN_GAP_SECONDS * gaps


def _goodput(run, begin, end):
    """Return the share of a phase's requests that met both targets."""
    phase = [each for each in run.records if begin <= each.arrival.at < end]
    return sum(map(_meets_targets, phase)) / len(phase)


@functools.cache
def _best_fixed_goodput(seed, part, seconds, load):
    """Return the best goodput of any fixed split on this phase alone.

    Engines that are all mixed count as a split too.
    """
    _, first, last = part
    end = WARM_UP_SECONDS + seconds
    phases = _Phases(((WARM_UP_SECONDS, first, first), (end, first, last)), load)
    return max(
        _goodput(_run("expected-finish", seed, phases, split), WARM_UP_SECONDS, end)
        for split in range(len(ENGINES))
    )


def mix_shift(policy, seed, options):
    """Goodput against the best fixed split per phase, and role changes.

    The baselines run on engines that are all mixed.
    """
    phases = _shift_and_back(options.load)
    is_planned = policy == "expected-finish"
    split = _planned_split(0.0) if is_planned else 0
    run = _run(policy, seed, phases, split, is_planned)
    begins = [0.0, *(part[0] for part in phases.parts)]
    ratios = []
    for begin, part in zip(begins, phases.parts, strict=False):
        begin = max(begin, WARM_UP_SECONDS)
        best = _best_fixed_goodput(seed, part, part[0] - begin, options.load)
        ratios.append(_goodput(run, begin, part[0]) / best)
    midpoint = phases.parts[2][0] - STEADY_SECONDS / 2
    directions = [(name, at < midpoint) for at, name in run.changes]
    return {
        "goodput_ratio": min(ratios),
        "changes_per_shift": max(map(directions.count, directions), default=0),
        "steady_changes": _steady_changes(seed, options.load) if is_planned else 0,
        "role_changes": len(directions),
    } | {f"phase_{number}": ratio for number, ratio in enumerate(ratios, 1)}


def _steady_changes(seed, load):
    """Return the number of role changes on two steady mixes.

    Each run starts with the planned split of its mix.
    """
    runs = [
        _run("expected-finish", seed, _steady(share, load), _planned_split(share), True)
        for share in (0.0, 1.0)
    ]
    return sum(len(run.changes) for run in runs)


def _planned_split(share):
    """Return the planner's split for the mean demand of a steady mix."""
    workload = Workload(seed=0, instances=INSTANCES)
    kind, rate = (
        ("prefill-heavy", PREFILL_HEAVY_RATE)
        if share
        else ("decode-heavy", DECODE_HEAVY_RATE)
    )
    drawn = [workload.draw(MIXES[kind], at=0.0) for _ in range(SAMPLES)]
    demand = Demand(
        prompt=rate * sum(each.work.prompt_tokens for each in drawn) / SAMPLES,
        output=rate * sum(each.output_tokens for each in drawn) / SAMPLES,
    )
    return best_prefill_count(demand, CAPACITY, engines=len(ENGINES))
