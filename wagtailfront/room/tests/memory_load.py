"""Simulation of engines whose memory is short, for the tests of room."""

import heapq
import itertools
import random
from typing import NamedTuple
from unittest import mock

from wagtailfront.forwarding.endpoint_choice import EndpointChoice
from wagtailfront.forwarding.placement import Plan
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    Scene,
    VirtualTimers,
    make_parts,
    make_record,
    make_route,
    make_service,
)
from wagtailfront.platform.tests.wire import SIGNATURE, read_priority
from wagtailfront.room.engine_use import EngineUse
from wagtailfront.room.request_size import request_size

__all__ = ["KINDS", "Kind", "Outcome", "Simulation", "full_rate", "simulate"]

LONGEST = 17_020  # prompt tokens
CAPACITY = 26 * LONGEST
SLOTS = 64
PREFILL_RATE = 300_000.0  # tokens per second
TOKEN_SECONDS = 0.012
RESTART_SECONDS = 3.0
SECONDS = 12.0
INSTANCES, ENGINES = 3, 3
REPORT_SECONDS = 0.08
SUBJECTS = 400


class Kind(NamedTuple):
    """A kind of requests; outputs have at most `named` tokens."""

    name: str
    share: float
    priority: int
    shared_tokens: int
    own_tokens: int
    output: int
    named: int


KINDS = (
    Kind("long", 0.45, 2, 13_300, 3_720, 220, 500),
    Kind("middle", 0.25, 1, 6_300, 2_890, 150, 300),
    Kind("short", 0.30, 0, 350, 1_110, 80, 200),
)


class Outcome(NamedTuple):
    """Shares of requests, and what happened at engines for lack of memory.

    Attributes
    ----------
    served, refused : float
    served_by : dict
        Share of the served requests by kind and by workspace.
    crashed : int
    fullest : float
        Largest share of an engine's memory that requests took.
    """

    served: float
    refused: float
    served_by: dict
    crashed: int
    fullest: float


class Engine:
    """Prefills one prompt after another and decodes all at the same pace.

    It crashes if the requests that it holds exceed its memory, queued ones
    included, which is before it would preempt one that runs.
    """

    def __init__(self, record, timers):
        self.record, self.timers = record, timers
        self.numbers = itertools.count()
        self.queue = []
        self.held = EngineUse()
        self.exchanges = {}
        self.is_prefilling = False
        self.restarts_at = self.fullest = 0.0
        self.crashed = 0

    def accept(self, exchange, prompt, output):
        """Take a request; prompt and output are those of its task."""
        if self.timers.now < self.restarts_at:
            self.timers.after(0.001, lambda: exchange.is_cancelled or exchange.fail())
            return
        held = request_size(*prompt, output_tokens=output)
        exchange.size, exchange.output = held, output
        self.exchanges[exchange] = held
        self.held.add(held)
        self.fullest = max(self.fullest, self.held.tokens / CAPACITY)
        if self.held.tokens > CAPACITY:
            self._crash()
            return
        priority = read_priority(exchange.payload)
        heapq.heappush(self.queue, (priority, next(self.numbers), exchange))
        self._next()

    def _crash(self):
        self.crashed += 1
        self.restarts_at = self.timers.now + RESTART_SECONDS
        exchanges, self.exchanges, self.queue = list(self.exchanges), {}, []
        self.held = EngineUse()
        self.is_prefilling = False
        for exchange in exchanges:
            if not exchange.is_cancelled:
                exchange.fail()

    def release(self, exchange):
        """End a request that was answered or dropped."""
        held = self.exchanges.pop(exchange, None)
        if held is not None:
            self.held.remove(held)

    def _next(self):
        if self.is_prefilling or not self.queue:
            return
        exchange = heapq.heappop(self.queue)[2]
        if exchange not in self.exchanges:
            self._next()
            return
        self.is_prefilling = True
        seconds = exchange.prompt_tokens / PREFILL_RATE
        crashes = self.crashed
        self.timers.after(seconds, lambda: self._prefilled(exchange, crashes))

    def _prefilled(self, exchange, crashes):
        if crashes != self.crashed:
            return
        self.is_prefilling = False
        if exchange in self.exchanges:
            request_id = exchange.sink.task.fields.request_id.encode()
            headers = [(b"X-Request-Id", request_id), (SIGNATURE, b"s")]
            exchange.sink.on_head(
                200, [*headers, (b"Content-Type", b"text/event-stream")]
            )
            exchange.sink.on_data(b"id: 1\ndata: x\n\n")
            seconds = TOKEN_SECONDS * exchange.output
            self.timers.after(seconds, lambda: self._finish(exchange))
        self._next()

    def _finish(self, exchange):
        if exchange in self.exchanges:
            self.release(exchange)
            exchange.sink.on_data(b"id: %d\ndata: x\n\n" % exchange.output)
            exchange.sink.on_end()


class _Pool:
    """Sends what instances send to the engines."""

    def __init__(self, timers, rng):
        self.timers, self.rng = timers, rng
        self.engines, self.outputs = {}, {}

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        exchange = _Exchange(self, record, payload, sink)
        fields = sink.task.fields
        # The instance's estimate of the engine's cache is taken as exact.
        exchange.prompt_tokens = sink.uncached_tokens
        prompt = (fields.prompt_tokens, fields.parts)
        output = self.outputs[fields.request_id]
        engine = self.engines[record.incarnation]
        self.timers.after(0.001, lambda: engine.accept(exchange, prompt, output))
        return exchange


class _Exchange:
    is_first = is_sent = True
    is_cancelled = False

    def __init__(self, pool, record, payload, sink):
        self.pool, self.record, self.payload, self.sink = pool, record, payload, sink
        self.connection = object()

    def cancel(self):
        self.is_cancelled = True
        self.pool.engines[self.record.incarnation].release(self)

    def fail(self):
        self.sink.on_failure("reset", True)


class Simulation:
    """Instances in front of engines; see `simulate`.

    Parameters
    ----------
    seed : int
    capacity : int, optional
        Memory of an engine that instances know of; 0 if unknown.
    """

    def __init__(self, *, seed, capacity=CAPACITY):
        self.rng = random.Random(seed)
        self.timers = VirtualTimers()
        pool = _Pool(self.timers, self.rng)
        records = [
            make_record(f"e{i}", stage="decode", slots=SLOTS) for i in range(ENGINES)
        ]
        pool.engines = {r.incarnation: Engine(r, self.timers) for r in records}
        self.pool, self.results = pool, []
        self.scenes = [self._make_scene(records, i, capacity) for i in range(INSTANCES)]
        self.numbers = itertools.count()

    def _make_scene(self, records, number, capacity):
        scene = Scene(
            records,
            is_model=True,
            timers=self.timers,
            pool=self.pool,
            incarnation=f"i{number}",
            address=f"i{number}:7",
        )
        scene.context.load.instances = INSTANCES
        scene.context.admission.count_instances = lambda: INSTANCES
        scene.service = make_service(is_model=True)._replace(
            kv_capacity_tokens=capacity
        )
        self.timers.after(
            self.rng.uniform(0, REPORT_SECONDS), lambda: self._report(scene)
        )
        return scene

    def _report(self, scene):
        context = scene.context
        digest = context.load.make_digest(full=True)
        parts = (context.room.waiting, context.admission.workspaces)
        fields = {}
        for part in parts:
            fields |= part.fields(now=self.timers.now, full=True)
        digest = type(digest)(
            **{n: getattr(digest, n) for n in digest.__struct_fields__} | fields
        )
        for other in self.scenes:
            if other is not scene:
                other.context.load.merge(digest, now=self.timers.now)
                other.context.room.waiting.merge(digest, now=self.timers.now)
                other.context.admission.workspaces.merge(digest, now=self.timers.now)
        self.timers.after(REPORT_SECONDS, lambda: self._report(scene))

    def arrive(self, kind, workspace=None):
        """Send a request of a kind to an instance."""
        number = next(self.numbers)
        request_id = f"r{number}"
        output = min(
            kind.named, max(1, round(kind.output * self.rng.lognormvariate(0, 0.4)))
        )
        self.pool.outputs[request_id] = output
        subject = f"{kind.name}-{self.rng.randrange(SUBJECTS)}"
        shared, own = make_parts(subject, kind.shared_tokens, kind.own_tokens)
        parts = (shared, own._replace(part_id=f"own-{number}"))
        route = make_route(
            STREAMING, name=kind.name, priority=kind.priority, timeout=12.0
        )
        scene = self.rng.choice(self.scenes)
        task, reply = scene.start(
            route,
            request_id=request_id,
            prompt_tokens=kind.shared_tokens + kind.own_tokens,
            max_output_tokens=kind.named,
            parts=parts,
            workspace=workspace,
        )
        self.results.append((kind.name, workspace, reply))
        # A caller leaves without a first event.
        patience = route.max_first_event_wait
        self.timers.after(patience, lambda: reply.status or task.cancel())

    def run(self, rates, seconds):
        """Let requests arrive at some rates for some seconds.

        Parameters
        ----------
        rates : list of (Kind, str or None, float)
            Kinds, workspaces and requests per second.
        seconds : float
        """
        end = self.timers.now + seconds
        total = sum(rate for *_request, rate in rates)
        while (delay := self.rng.expovariate(total)) + self.timers.now < end:
            self.timers.advance(delay)
            weights = [rate for *_request, rate in rates]
            kind, workspace, _rate = self.rng.choices(rates, weights)[0]
            self.arrive(kind, workspace)

    def outcome(self):
        """Wait for all requests; return the Outcome."""
        self.timers.advance(15.0)
        by = {}
        for kind, workspace, reply in self.results:
            for key in {kind, workspace}:
                by.setdefault(key, []).append(reply.is_complete and reply.status == 200)
        done = [reply for *_names, reply in self.results]
        engines = self.pool.engines.values()
        return Outcome(
            served=sum(r.is_complete and r.status == 200 for r in done) / len(done),
            refused=sum(r.status == 503 for r in done) / len(done),
            served_by={key: sum(each) / len(each) for key, each in by.items()},
            crashed=sum(engine.crashed for engine in engines),
            fullest=max(engine.fullest for engine in engines),
        )


def full_rate():
    """Return the requests per second that fill the engines' memory."""
    taken = sum(
        kind.share
        * (kind.shared_tokens + kind.own_tokens + kind.output)
        * kind.output
        * TOKEN_SECONDS
        for kind in KINDS
    )
    return ENGINES * CAPACITY / taken


def least_busy(choice, views, *, may_split):
    """Plan a request at the engine with the fewest requests."""
    best = choice.least_loaded(views)
    return Plan(None, best.record, choice.fields.prompt_tokens, 0.0, is_measured=False)


def limited(choice, views, *, may_split):
    """Plan a request at an engine with fewer than 26 of them, if any."""
    free = [view for view in views if view.outstanding < CAPACITY // LONGEST]
    return least_busy(choice, free, may_split=may_split) if free else None


BASELINES = {"least busy": least_busy, "limit": limited}


def simulate(*, load, seed, policy="room", seconds=SECONDS):
    """Simulate requests at a load of the engines' memory.

    Parameters
    ----------
    load : float
        At 1.0 the memory is just full if no parts are shared.
    seed : int
    policy : str, optional
        "room", or one of the `BASELINES`.
    seconds : float, optional

    Returns
    -------
    Outcome
    """
    capacity = CAPACITY if policy == "room" else 0
    simulation = Simulation(seed=seed, capacity=capacity)
    rates = [(kind, None, load * full_rate() * kind.share) for kind in KINDS]
    plan = BASELINES.get(policy, EndpointChoice.plan)
    with mock.patch.object(EndpointChoice, "plan", plan):
        simulation.run(rates, seconds)
        return simulation.outcome()
