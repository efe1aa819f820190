"""Fleet before engines that name rate limits, for the tests of forwarding."""

import random
from bisect import bisect_left
from typing import NamedTuple

from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    FakeExchange,
    Scene,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.fleet import Fleet
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    HANDLE,
    NOT_RUN,
    SIGNED,
    rate_limit_header,
)

STEP = 0.02  # seconds
DISCOVERY = 0.4  # seconds from a start until an instance reads the others' rows
RESPONSE_SECONDS = 0.12
# An engine counts requests from SETTLING after it named its limit on, of
# instances that had its answer TOLD before and were calm for SETTLING.
SETTLING, TOLD, WINDOW = 3.0, 0.5, 4.0  # seconds
EXCESS_FACTOR, EXCESS = 1.5, 5
EVENT = b"id: 1\ndata: x\n\n"


class Arrival(NamedTuple):
    """A request that reached an engine."""

    at: float
    instance: str
    is_counted: bool


class LimitingEngine:
    """Answers each request after a while and counts what arrives.

    Attributes
    ----------
    limit : float or None
        Requests per second that it names in its answers.
    refuses : bool
        Whether it states that it does not run the requests.
    """

    def __init__(self, *, record, limit=None):
        self.record = record
        self.limit = limit
        self.refuses = False
        self.named_at = None
        self.arrivals = []

    def respond(self, exchange):
        """Answer a request unless its sender has abandoned it."""
        if exchange.is_cancelled:
            return False
        limit = [] if self.limit is None else [rate_limit_header(self.limit)]
        if self.refuses:
            exchange.respond(503, NOT_RUN + limit)
        elif exchange.sink.is_prefill:
            exchange.respond(200, limit, HANDLE)
        elif exchange.sink.task.service.is_model:
            exchange.respond(200, EVENT_STREAM + limit, EVENT)
        else:
            exchange.respond(200, SIGNED + limit, b"ok")
        return bool(limit)

    def excess(self, limit, until=float("inf")):
        """Return by how many requests a window exceeds what is allowed."""
        start = self.named_at + SETTLING
        times = [a.at for a in self.arrivals if a.is_counted and start <= a.at < until]
        counts = (
            bisect_left(times, at + WINDOW) - number for number, at in enumerate(times)
        )
        return max(counts, default=0) - (EXCESS_FACTOR * limit * WINDOW + EXCESS)

    def rate(self, start, end):
        """Return the requests per second from `start` to `end`."""
        return sum(start <= a.at < end for a in self.arrivals) / (end - start)


class _Pool:
    """An instance's connections to the engines of a LimitedFleet."""

    def __init__(self, *, fleet, name):
        self.fleet = fleet
        self.name = name
        self.told_at = {}

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        exchange = FakeExchange(record, payload + body, sink)
        engine = self.fleet.engines[record.endpoint_id]
        now = self.fleet.timers.now
        told_at = self.told_at.get(record.endpoint_id, now)
        is_calm = now >= self.fleet.excused_until.get(self.name, 0.0)
        is_counted = is_calm and now - told_at >= TOLD
        engine.arrivals.append(Arrival(now, self.name, is_counted))
        self.fleet.timers.after(RESPONSE_SECONDS, lambda: self._respond(exchange))
        return exchange

    def _respond(self, exchange):
        now, engine_id = self.fleet.timers.now, exchange.record.endpoint_id
        engine = self.fleet.engines[engine_id]
        if engine.respond(exchange):
            engine.named_at = engine.named_at or now
            self.told_at.setdefault(engine_id, now)


class LimitedFleet(Fleet):
    """Instances that serve requests, before engines that all of them share.

    Parameters
    ----------
    size : int
    engines : list of LimitingEngine
    requests : float
        Requests per second of all callers together.
    seed : int
    is_model : bool, optional
    """

    def __init__(self, size, *, engines, requests, seed, is_model=True):
        self.engines = {engine.record.endpoint_id: engine for engine in engines}
        self.requests = requests
        self.rng = random.Random(seed)
        self.is_model = is_model
        self.scenes = {}
        self.absent = set()
        self.excused_until = {}
        self.route = make_route(STREAMING) if is_model else make_route()
        self.replies = []
        super().__init__(size)
        self.discover_peers()

    def _make_state(self, row, incarnation):
        name = row.instance
        scene = Scene(
            [engine.record for engine in self.engines.values()],
            is_model=self.is_model,
            slack=1,
            timers=self.timers,
            pool=_Pool(fleet=self, name=name),
            incarnation=incarnation,
            address=row.address,
        )
        scene.context.rng.seed(incarnation)
        self.scenes[name] = scene
        context = scene.context
        return (
            context.load,
            context.rate_limits,
            context.streams,
            context.directory.versions,
        )

    def serve(self, seconds):
        """Let callers send requests for some seconds."""
        for _ in range(round(seconds / STEP)):
            present = [name for name in self.scenes if name not in self.absent]
            while self.rng.random() < self.requests * STEP / (1 + self.requests * STEP):
                self._start_request(self.scenes[self.rng.choice(present)])
            self.timers.advance(STEP)
            for name in present:
                self.instances[f"{name}:7"]._on_send_digest()

    def _start_request(self, scene):
        subject = f"subject-{self.rng.randrange(40)}"
        parts = make_parts(subject, 4000, self.rng.randrange(200, 2000))
        tokens = sum(part.tokens for part in parts)
        _task, reply = scene.start(self.route, prompt_tokens=tokens, parts=parts)
        self.replies.append((self.timers.now, reply))

    def restart(self, name):
        """Start an instance again; it knows the others a little later."""
        self.excused_until[name] = self.timers.now + SETTLING
        self.lost.discard(f"{name}:7")
        self.absent.discard(name)
        exchange = self.add(name)
        self.timers.after(DISCOVERY, lambda: exchange._handle_rows(self.rows))

    def join(self, name):
        """Add an instance."""
        self.restart(name)
        self.excused_until.pop(name)

    def isolate(self, names, *, freeze):
        """Cut instances off from all others, or stop them as well."""
        self.lost |= {f"{name}:7" for name in names}
        if freeze:
            self.absent |= set(names)
        self.excused_until.update(dict.fromkeys(names, float("inf")))

    def reconnect(self, names):
        """Reconnect instances that were cut off or stopped."""
        self.lost -= {f"{name}:7" for name in names}
        self.absent -= set(names)
        end = self.timers.now + SETTLING
        self.excused_until.update(dict.fromkeys(names, end))


def make_engines(prefill, decode, *, limited=0, limit=None):
    """Return model engines, of which the first to decode name a limit."""
    return [
        *(
            LimitingEngine(record=make_record(f"p{i}", stage="prefill"))
            for i in range(prefill)
        ),
        *(
            LimitingEngine(
                record=make_record(f"d{i}", stage="decode"),
                limit=limit if i < limited else None,
            )
            for i in range(decode)
        ),
    ]
