"""Fluid model of engines and queues, in virtual time, for sizing a fleet."""

import math
import random
from collections import Counter, defaultdict
from types import SimpleNamespace
from typing import NamedTuple

from wagtailfront.duties.interfaces import DutyAnswer
from wagtailfront.fleet_size.allocation import Place
from wagtailfront.fleet_size.fleet_sizer import FleetSizer
from wagtailfront.fleet_size.prefill_rates import PrefillRates
from wagtailfront.fleet_size.work_counts import WorkTotals
from wagtailfront.forwarding.placement import DECODE_ENGINE_PREFILL_RATE
from wagtailfront.forwarding.routes import Scaling, Service
from wagtailfront.forwarding.tests.builders import LogLines, make_record
from wagtailfront.observe.metrics import Metrics

STEP = 0.5  # seconds
DRAIN_SECONDS = 3.0
PROMPT_TOKENS, STREAM_TOKENS, RESIDENCE = 4000.0, 4400.0, 4.0
IN_TIME, PATIENCE = 0.5, 2.6  # seconds of waiting for a prefill
PRICES = {"a": 1.0, "b": 0.8, "c": 1.25}


def make_service(**changes):
    """Return a service with scaling; keywords replace fields of Scaling."""
    fields = {"minimum": 1, "maximum": 30, "boot": 4.0, "spot_price": 0.18}
    scaling = Scaling(**{**fields, "prices": PRICES, **changes})
    return Service("s", 700, True, 439_456, engine_slots=64, scaling=scaling)


class Load(NamedTuple):
    """Callers' requests per second over time.

    `shift` moves the demand of data centre "a" to "c" at that time.
    """

    rate: float = 60.0
    swing: float = 0.27
    burst_every: float = 60.0
    shift: float = math.inf

    def bursts(self, rng, seconds):
        """Return spans of bursts as (start, end, factor)."""
        spans, at = [], 20.0
        while self.burst_every and at < seconds:
            at += rng.expovariate(1 / self.burst_every)
            spans.append((at, at + rng.uniform(3, 10), rng.uniform(1.7, 1.9)))
            at = spans[-1][1]
        return spans


class Platform:
    """Engines by place, and the API that orders them.

    Attributes
    ----------
    delay : float
        Seconds until the API answers.
    is_away : bool
        Whether the API answers nothing at all.
    unavailable : dict of Place to float
        Until when a place gives no more engines.
    orders : list of (float, Place, int)
        Those that were accepted.
    """

    def __init__(self, *, service, start, seed):
        self.service = service
        self.rng = random.Random(seed)
        self.engines = []
        self.now = 0.0
        self.delay = 0.0
        self.is_away = False
        self.unavailable = {}
        self.orders = []
        self.waiting = []
        self.cost = 0.0
        self.created = 0
        for place, count in start.items():
            self._create(place, count, at=-self.service.scaling.boot)

    def _create(self, place, count, at):
        for _ in range(count):
            self.created += 1
            record = make_record(
                f"e{self.created}",
                stage="decode",
                data_centre=place.data_centre,
                is_spot=place.is_spot,
                slots=64,
            )
            engine = SimpleNamespace(
                record=record,
                place=place,
                serves_at=at + self.service.scaling.boot,
                ends_at=math.inf,
            )
            self.engines.append(engine)

    def order_engines(self, order, hold, reply):
        """Handle an order of DutyCalls, after the API's delay."""
        self.waiting.append((self.now + self.delay, order, reply))

    def apply(self, place, count):
        """Change the engines of a place; return whether they can be had."""
        staying = [
            e for e in self.engines if e.place == place and e.ends_at == math.inf
        ]
        missing = count - len(staying)
        if missing > 0 and self.now < self.unavailable.get(place, 0.0):
            return False
        self._create(place, max(0, missing), at=self.now)
        self._drain(self.rng.sample(staying, max(0, -missing)))
        return True

    def reclaim(self, data_centre, seconds):
        """Take back all engines of a data centre that may be reclaimed."""
        place = Place(data_centre, True)
        self.unavailable[place] = self.now + seconds
        self._drain([e for e in self.engines if e.place == place])

    def _drain(self, engines):
        for engine in engines:
            engine.ends_at = min(engine.ends_at, self.now + DRAIN_SECONDS)
            engine.record = engine.record._replace(is_leaving=True)

    def step(self):
        """Advance by one step."""
        self.now += STEP
        waiting, self.waiting = self.waiting, []
        for due, order, reply in waiting:
            if due > self.now:
                self.waiting.append((due, order, reply))
            elif self.is_away:
                reply(DutyAnswer(False, reason="no answer"))
            else:
                self._answer(order, reply)
        self.engines = [e for e in self.engines if e.ends_at > self.now]
        for place, count in Counter(e.place for e in self.engines).items():
            price = PRICES[place.data_centre]
            price *= self.service.scaling.spot_price if place.is_spot else 1.0
            self.cost += STEP * price * count

    def _answer(self, order, reply):
        place = Place(order.data_centre, order.is_spot)
        if self.apply(place, order.count):
            self.orders.append((self.now, place, order.count))
            reply(DutyAnswer(True))
        else:
            reply(DutyAnswer(False, is_unavailable=True, reason="none available"))

    def serving(self):
        """Return the engines that serve and stay."""
        return sum(
            e.serves_at <= self.now and e.ends_at == math.inf for e in self.engines
        )

    def records(self):
        """Return the registry: engines that have booted."""
        return {
            e.record.endpoint_id: e.record
            for e in self.engines
            if e.serves_at <= self.now
        }


class Queues:
    """Fluid model of the callers' requests at all engines together."""

    def __init__(self, *, load, seed, seconds):
        self.load = load
        self.rng = random.Random(seed)
        self.spans = load.bursts(self.rng, seconds)
        self.backlog = 0.0  # tokens
        self.streams = 0.0
        self.requests = self.in_time = 0.0
        self.sums = defaultdict(WorkTotals)

    def rates(self, now):
        """Return the requests per second by data centre."""
        rate = self.load.rate * (
            1 + self.load.swing * math.sin(2 * math.pi * now / 11.0)
        )
        for start, end, factor in self.spans:
            rate *= factor if start <= now < end else 1.0
        shares = {"a": 0.5, "b": 0.3, "c": 0.2}
        if now >= self.load.shift:
            shares = {"a": 0.2, "b": 0.3, "c": 0.5}
        return {name: rate * share for name, share in shares.items()}

    def step(self, now, engines):
        """Serve the requests of one step with so many engines."""
        arrived = {
            name: max(0.0, self.rng.gauss(rate * STEP, math.sqrt(rate * STEP)))
            for name, rate in self.rates(now).items()
        }
        total = sum(arrived.values())
        capacity = engines * DECODE_ENGINE_PREFILL_RATE
        most_streams = engines * min(64.0, 439_456 / STREAM_TOKENS)
        wait = self.backlog / capacity if capacity else math.inf
        room = max(0.0, PATIENCE * capacity - self.backlog) / PROMPT_TOKENS
        room = min(room, max(0.0, most_streams - self.streams))
        taken = min(1.0, room / total) if total else 1.0
        self.requests += total
        self.in_time += total * taken if wait <= IN_TIME else 0.0
        work = total * taken * PROMPT_TOKENS
        self.backlog = max(0.0, self.backlog + work - capacity * STEP)
        self.streams += total * taken - STEP * self.streams / RESIDENCE
        for name, count in arrived.items():
            part = count / total if total else 0.0
            self.sums["s", name] = self.sums["s", name].plus(
                WorkTotals(
                    requests=count,
                    prompt_tokens=count * taken * PROMPT_TOKENS,
                    stream_tokens=count * STREAM_TOKENS,
                    stream_ms=1000 * STEP * part * self.streams,
                    refused=count * (1 - taken),
                )
            )


class Outcome(NamedTuple):
    """What a run cost, and the share of callers in time."""

    in_time: float
    cost: float
    turns: int = 0
    orders: int = 0


def count_turns(orders, *, within=30.0):
    """Return how often the engines of a place change direction.

    A turn is an order for more engines of a place after one for fewer, or the
    other way, within some seconds.
    """
    known, latest, turns = {}, {}, 0
    for at, place, count in orders:
        change = count - known.get(place, count)
        known[place] = count
        if not change:
            continue
        before, before_at = latest.get(place, (change, -math.inf))
        turns += before * change < 0 and at - before_at < within
        latest[place] = (change, at)
    return turns


class Run:
    """One run of virtual time, with a FleetSizer or a fixed fleet.

    Parameters
    ----------
    load : Load
    start : dict of Place to int
    seconds : float
    seed : int
    service : Service, optional
    is_sized : bool, optional
        Whether a FleetSizer orders engines.
    actions : list of (float, callable), optional
        Called with the run at these times.
    """

    def __init__(
        self,
        *,
        load,
        start,
        seconds,
        seed=1,
        service=None,
        is_sized=True,
        actions=(),
    ):
        self.service = service or make_service()
        self.seconds = seconds
        self.actions = sorted(actions, key=lambda action: action[0])
        self.platform = Platform(service=self.service, start=start, seed=seed)
        self.queues = Queues(load=load, seed=seed, seconds=seconds)
        self.fencing = 1
        self.log = LogLines()
        self.sizer = self.make_sizer() if is_sized else None
        self.wanted = dict(start)

    def make_sizer(self, *, is_enabled=True):
        """Return the FleetSizer of an instance that holds the duty."""
        platform, queues = self.platform, self.queues
        return FleetSizer(
            is_enabled=is_enabled,
            find_services=lambda: {"s": self.service},
            directory=SimpleNamespace(records={}),
            notices=SimpleNamespace(is_leaving=lambda incarnation: False),
            health=SimpleNamespace(slowness=lambda record, now: 1.0),
            work=SimpleNamespace(
                update=lambda now: None,
                sums=queues.sums,
                own=SimpleNamespace(prefill_rates=PrefillRates()),
            ),
            hold=SimpleNamespace(
                grant=lambda: SimpleNamespace(fencing=self.fencing),
                want=lambda wanted: None,
            ),
            calls=platform,
            log=self.log,
            metrics=Metrics(),
            clock=lambda: platform.now,
        )

    def play(self):
        """Play the run; return its Outcome."""
        waiting = list(self.actions)
        for number in range(int(self.seconds / STEP)):
            while waiting and waiting[0][0] <= self.platform.now:
                waiting.pop(0)[1](self)
            self.platform.step()
            self.queues.step(self.platform.now, self.platform.serving())
            if number % 2:
                continue
            if self.sizer is not None:
                self.sizer.directory.records = self.platform.records()
                self.sizer.check()
            else:
                for place, count in self.wanted.items():
                    self.platform.apply(place, count)
        queues, platform = self.queues, self.platform
        return Outcome(
            queues.in_time / queues.requests,
            platform.cost,
            count_turns(platform.orders),
            len(platform.orders),
        )


def others(*counts):
    """Return engines that can't be reclaimed, in "a", "b" and "c"."""
    return {Place(name, False): n for name, n in zip("abc", counts, strict=True)}


def best_fixed(in_time, *, spots=(0,), **options):
    """Return the Outcome of the cheapest fixed fleet with this share in time.

    Parameters
    ----------
    in_time : float
    spots : iterable of int, optional
        Numbers in each data centre of engines that may be reclaimed; they are
        ordered again as soon as there are any.
    **options
        Of a Run.
    """
    found = []
    for spot in spots:
        low, high = 0, 90
        while low < high:
            number = (low + high) // 2
            outcome = _play_fixed(number, spot, options)
            if outcome.in_time >= in_time:
                high = number
            else:
                low = number + 1
        found.append(_play_fixed(low, spot, options))
    return min(found, key=lambda outcome: outcome.cost)


def _play_fixed(number, spot, options):
    start = {
        **others(*((number + shift) // 3 for shift in (1, 2, 0))),
        **{Place(name, True): spot for name in "abc" if spot},
    }
    return Run(start=start, is_sized=False, **options).play()
