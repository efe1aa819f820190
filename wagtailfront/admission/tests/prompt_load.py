"""Simulation of prompts in a burst, for the tests of admission."""

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from wagtailfront.admission.control import AdmissionControl
from wagtailfront.admission.request_admission import RequestAdmission
from wagtailfront.forwarding.placement import (
    DECODE_ENGINE_PREFILL_RATE,
    PREFILL_RATE,
    EngineView,
    plan_model_request,
)
from wagtailfront.forwarding.prefix_cache import PrefixCacheEstimate
from wagtailfront.forwarding.tests.builders import make_parts

__all__ = ["KINDS", "Kind", "Outcome", "simulate"]

RATES = {"prefill": 150_000.0, "decode": 50_000.0}  # tokens per second
NOMINAL_RATES = {"prefill": PREFILL_RATE, "decode": DECODE_ENGINE_PREFILL_RATE}
CAPACITY_TOKENS = 1_000_000
SUBJECTS = 40  # shared parts of a kind
PATIENCE = 2.0  # seconds for which callers wait for a first event
OUTPUT_SECONDS = 0.005  # for each output token
TIME_AT_FIRST = (0.9, 1.0)  # shares of its time that a caller has at first
CALM_SECONDS, CALM_LOAD = 4.0, 0.6


class Kind(NamedTuple):
    """A kind of prompts; callers have `time` seconds."""

    name: str
    share: float
    priority: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    time: float


KINDS = (
    Kind("long", 0.36, 2, 13_300, 3_720, 12, 5.0),
    Kind("middle", 0.26, 1, 6_300, 2_890, 5, 3.0),
    Kind("short", 0.38, 0, 350, 1_110, 17, 6.0),
)


class Outcome(NamedTuple):
    """Shares of callers by outcome, and tokens that were prefilled.

    Attributes
    ----------
    served : float
        Share of callers that were there for their first event and the end.
    served_by_kind : dict of str to float
    refused : float
        Share that was refused and did not come back to be served.
    left : float
        Share that left without a first event.
    returned : int
        Callers that came back at the time that they were told.
    returned_served : float
        Share of these that were served.
    tokens, vain_tokens, shared_tokens : int
        Tokens prefilled: all, for callers that left, and of shared parts.
    served_by_workspace : dict of str to float
        Of the callers that came in the burst.
    """

    served: float
    served_by_kind: dict
    refused: float
    left: float
    returned: int
    returned_served: float
    tokens: int
    vain_tokens: int
    shared_tokens: int
    served_by_workspace: dict


@dataclass(eq=False)
class Caller:
    """A caller of one request; times in seconds."""

    kind: Kind
    parts: tuple
    deadline: float
    priority: int
    workspace: Any = None
    is_back: bool = False
    is_served: bool = False
    leaves_at: float = math.inf
    admission: Any = None


@dataclass(eq=False)
class Engine:
    """Prefills one prompt after another, the most urgent first."""

    record: Any
    rate: float
    cache: Any
    queue: list = field(default_factory=list)
    current: Any = None
    done_at: float = 0.0

    def free_after(self, now):
        """Return the seconds until all of its prompts are prefilled."""
        tokens = sum(need for _, _, _, need in self.queue)
        return max(0.0, self.done_at - now) + tokens / self.rate

    def waiting(self, priority, now):
        """Return the tokens of prompts at least as urgent, and of others."""
        tokens = sum(
            need for _, _, caller, need in self.queue if caller.priority <= priority
        )
        rest = max(0.0, self.done_at - now) * self.rate if self.current else 0.0
        is_urgent = self.current and self.current.priority <= priority
        return (tokens + rest, 0.0) if is_urgent else (tokens, rest)


class _Simulation:
    """State of one simulation; see `simulate`."""

    def __init__(
        self, *, records, load, seconds, choose, is_limited, seed, kinds, workspaces
    ):
        self.workspaces = workspaces
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.now = 0.0
        self.events = []
        self.choose = choose
        self.is_limited = is_limited
        self.control = AdmissionControl()
        self.control.ranks = {"s": sorted({kind.priority for kind in kinds})}
        self.kinds = kinds
        self.engines = {
            record.incarnation: Engine(
                record,
                RATES[record.stage],
                PrefixCacheEstimate(capacity_tokens=CAPACITY_TOKENS),
            )
            for record in records
        }
        self.callers = []
        self.counts = Counter()
        mean_tokens = sum(kind.share * kind.own_tokens for kind in kinds)
        capacity = sum(engine.rate for engine in self.engines.values()) / mean_tokens
        phases = [(CALM_SECONDS, CALM_LOAD), (seconds, load), (CALM_SECONDS, CALM_LOAD)]
        begin = 0.0
        for length, factor in phases:
            self._arrive(begin, begin + length, factor * capacity)
            begin += length

    def _arrive(self, begin, end, rate):
        at = begin + self.rng.expovariate(rate)
        while at < end:
            kind = self.rng.choices(self.kinds, [kind.share for kind in self.kinds])[0]
            subject = f"{kind.name}-{self.rng.randrange(SUBJECTS)}"
            own = f"own-{next(self.numbers)}"
            shared_part, own_part = make_parts(subject, kind.shared_tokens, 0)
            own_part = own_part._replace(part_id=own, tokens=kind.own_tokens)
            time = kind.time * self.rng.uniform(*TIME_AT_FIRST)
            workspace = None
            if self.workspaces and begin == CALM_SECONDS:
                workspace = self.rng.choices(
                    list(self.workspaces), list(self.workspaces.values())
                )[0]
            caller = Caller(
                kind, (shared_part, own_part), at + time, kind.priority, workspace
            )
            self.callers.append(caller)
            self._at(at, self._ask, caller)
            at += self.rng.expovariate(rate)

    def _at(self, at, step, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), step, arguments))

    def run(self):
        while self.events:
            self.now, _number, step, arguments = heapq.heappop(self.events)
            step(*arguments)

    def _ask(self, caller):
        caller.leaves_at = min(self.now + PATIENCE, caller.deadline)
        caller.priority = caller.kind.priority
        if self.is_limited:
            caller.admission = RequestAdmission(
                control=self.control,
                service="s",
                rank=caller.kind.priority,
                patience=PATIENCE,
                output_tokens=caller.kind.output_tokens,
                received=self.now,
                deadline=caller.deadline,
                clock=lambda: self.now,
                workspace=caller.workspace,
                rng=self.rng,
            )
        self._admit(caller)

    def _admit(self, caller):
        engine, decode, plan = self._place(caller)
        level = caller.priority
        if self.is_limited:
            admission = caller.admission.admit(
                plan.expected, prefill=plan.work, engines=plan.engines
            )
            if not admission.is_admitted:
                if caller.admission.raise_rank(self.rng):
                    caller.priority = caller.admission.priority
                    self._admit(caller)
                else:
                    self._refuse(caller, admission.retry_after)
                return
            level = caller.admission.engine_level(plan.work)
        self._queue(caller, engine, decode, level)

    def _refuse(self, caller, retry_after):
        if retry_after is not None and not caller.is_back:
            caller.is_back = True
            self._at(self.now + retry_after, self._ask, caller)
        else:
            self.counts["refused"] += 1

    def _place(self, caller):
        if self.choose is not None:
            engine = self.choose(list(self.engines.values()), caller, self.now)
            return engine, engine, None
        plan = plan_model_request(
            [self._view(engine, caller) for engine in self.engines.values()],
            sum(part.tokens for part in caller.parts),
            may_split=True,
            rng=self.rng,
            residence=caller.kind.output_tokens * OUTPUT_SECONDS,
        )
        engine = self.engines[(plan.prefill or plan.decode).incarnation]
        return engine, self.engines[plan.decode.incarnation], plan

    def _view(self, engine, caller):
        urgent, rest = engine.waiting(caller.priority, self.now)
        return EngineView(
            engine.record,
            len(engine.queue) + (engine.current is not None),
            pending_tokens=int(urgent + rest),
            slowness=NOMINAL_RATES[engine.record.stage] / engine.rate,
            cached_tokens=engine.cache.cached_tokens(
                engine.record.incarnation, caller.parts
            ),
        )

    def _queue(self, caller, engine, decode, level):
        name = engine.record.incarnation
        total = sum(part.tokens for part in caller.parts)
        need = total - engine.cache.cached_tokens(name, caller.parts)
        engine.cache.record_prompt(name, caller.parts)
        # A decode engine caches what it fetches from a prefill engine.
        decode.cache.record_prompt(decode.record.incarnation, caller.parts)
        entry = (level, next(self.numbers), caller, need)
        heapq.heappush(engine.queue, entry)
        self._next(engine)

    def _next(self, engine):
        if engine.current is not None:
            return
        while engine.queue:
            _level, _number, caller, need = heapq.heappop(engine.queue)
            if caller.leaves_at <= self.now:
                self._leave(caller)
                continue
            engine.current = caller
            engine.done_at = self.now + need / engine.rate
            self._at(engine.done_at, self._prefilled, engine, caller, need)
            return

    def _prefilled(self, engine, caller, need):
        engine.current = None
        self.counts["tokens"] += need
        self.counts["shared"] += max(0, need - caller.kind.own_tokens)
        if caller.leaves_at < self.now:
            self.counts["vain"] += need
            self._leave(caller)
        else:
            output = caller.kind.output_tokens * OUTPUT_SECONDS
            caller.is_served = self.now + output <= caller.deadline
            if caller.admission is not None:
                caller.admission.record_first_event()
                self._at(self.now + output, caller.admission.record_complete)
        self._next(engine)

    def _leave(self, caller):
        self.counts["left"] += 1
        if caller.admission is not None:
            caller.admission.record_end()

    def outcome(self):
        served = [caller.is_served for caller in self.callers]
        back = [caller for caller in self.callers if caller.is_back]
        return Outcome(
            served=_share(served),
            served_by_kind={
                kind.name: _share([c.is_served for c in self.callers if c.kind is kind])
                for kind in self.kinds
            },
            refused=self.counts["refused"] / len(served),
            left=self.counts["left"] / len(served),
            returned=len(back),
            returned_served=_share([caller.is_served for caller in back]),
            tokens=self.counts["tokens"],
            vain_tokens=self.counts["vain"],
            shared_tokens=self.counts["shared"],
            served_by_workspace={
                name: _share([c.is_served for c in self.callers if c.workspace == name])
                for name in self.workspaces or ()
            },
        )


def _share(outcomes):
    return sum(outcomes) / len(outcomes) if outcomes else 0.0


def simulate(
    records,
    *,
    load,
    seconds=8.0,
    choose=None,
    is_limited=True,
    seed=1,
    kinds=KINDS,
    workspaces=None,
):
    """Simulate a burst of prompts between two calm phases.

    Parameters
    ----------
    records : list of EndpointRecord
    load : float
        Of the burst; at 1.0 the engines are just busy while shared parts are
        cached.
    seconds : float, optional
        Length of the burst.
    choose : callable, optional
        Returns an engine for (engines, caller, now); the plan's by default.
    is_limited : bool, optional
        Whether requests may be refused.
    seed : int, optional
    kinds : sequence of Kind, optional
    workspaces : dict of str to float, optional
        Workspaces of the callers in the burst, by their share of them.

    Returns
    -------
    Outcome
    """
    simulation = _Simulation(
        records=records,
        load=load,
        seconds=seconds,
        choose=choose,
        is_limited=is_limited,
        seed=seed,
        kinds=kinds,
        workspaces=workspaces,
    )
    simulation.run()
    return simulation.outcome()
