"""Open-loop load generator for running instances."""

import itertools
import time

from circuits import BaseComponent, Event, Timer, handler

from wagtailfront.bench import load_exchange
from wagtailfront.bench.arrivals import make_arrivals
from wagtailfront.bench.load_exchange import CompletionReader, Outcome, build_request

__all__ = ["LoadRunner", "LoadTarget"]

TICK_INTERVAL = 0.005  # seconds between checks for due requests
MAX_SENDS = 6  # attempts at a booking whose outcome is unknown
RESEND_DELAY = 0.5  # seconds


class tick(Event):
    """Send the requests that are due."""


class resend(Event):
    """Send a booking again through another instance."""


class finished(Event):
    """All requests have ended."""


class LoadTarget:
    """Instances, model and service that the load is sent to.

    Parameters
    ----------
    instances : list of (str, int)
        Callers' addresses of the entry instances.
    model : str
    service : str
    secure : bool
    """

    def __init__(self, *, instances, model, service, secure=False):
        self.instances = instances
        self.model = model
        self.service = service
        self.secure = secure


class _PendingRequest:
    """One request, with the response to its current attempt."""

    def __init__(self, *, runner, arrival, request):
        self.runner = runner
        self.arrival = arrival
        self.request = request
        self.sends = 0
        self.failed_connects = 0
        self.results = []
        self.reset()

    def reset(self):
        """Discard the last response before the request is sent again."""
        self.status = None
        self.headers = {}
        self.body = []
        self.reader = None
        self.first = 0.0
        self.tokens = 0

    def on_head(self, status, headers):
        self.status = status
        self.headers = headers
        kind = headers.get("Content-Type", "")
        if kind.startswith("text/event-stream"):
            self.reader = CompletionReader()

    def on_data(self, data):
        now = self.runner.now()
        if self.reader is None:
            self.first = self.first or now
            self.body.append(data)
            return
        count = self.reader.feed(data)
        if count and not self.first:
            self.first = now
        self.tokens += count

    def on_end(self):
        self.runner.on_exchange_end(self, ended=True)

    def on_failure(self, reason, sent):
        if not sent and self.failed_connects < len(self.runner.target.instances):
            # Like a load balancer, tries the next instance after a refused
            # connection.
            self.failed_connects += 1
            self.runner.send_to_next(self)
            return
        self.runner.on_exchange_end(self, ended=False)


class LoadRunner(BaseComponent):
    """Sends the arrivals of a plan at their times and records the outcomes.

    Parameters
    ----------
    plan : LoadPlan
    target : LoadTarget
    pool : HttpPool
    seed : int
    deadline : float
        Seconds that each request allows for its answer.
    """

    channel = "load"

    def __init__(self, *, plan, target, pool, seed, deadline=30.0):
        super().__init__()
        self.plan = plan
        self.target = target
        self.pool = pool
        self.seed = seed
        self.deadline = deadline
        self.arrivals = make_arrivals(plan, seed=seed)
        self.upcoming = next(self.arrivals, None)
        self.addresses = itertools.cycle(target.instances)
        self.started_at = None
        self.open = 0
        self.outcomes = []
        self.lateness = []
        Timer(TICK_INTERVAL, tick(), self.channel, persist=True).register(self)

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    @handler("tick")
    def _on_tick(self):
        if self.started_at is None:
            self.started_at = time.monotonic()
        now = self.now()
        while self.upcoming is not None and self.upcoming.at <= now:
            self.lateness.append(now - self.upcoming.at)
            self._start(self.upcoming)
            self.upcoming = next(self.arrivals, None)
        if self.upcoming is None and self.open == 0:
            self.fire(finished(), "*")

    def _start(self, arrival):
        request = build_request(
            arrival,
            service=self.target.service,
            model=self.target.model,
            seed=self.seed,
            deadline=self.deadline,
        )
        self.open += 1
        self._send(_PendingRequest(runner=self, arrival=arrival, request=request))

    def _send(self, pending):
        pending.sends += 1
        self.send_to_next(pending)

    def send_to_next(self, pending):
        """Send a request to the next instance in turn."""
        host, port = next(self.addresses)
        self.pool.request(
            host=host,
            port=port,
            method=pending.request.method,
            path=pending.request.path,
            headers=pending.request.headers,
            body=pending.request.body,
            sink=pending,
            timeout=self.deadline + 5.0,
            secure=self.target.secure,
        )

    def on_exchange_end(self, pending, *, ended):
        """Record the outcome, or schedule a resend of an uncertain booking."""
        result = load_exchange.classify_exchange(
            pending.request,
            status=pending.status,
            headers=pending.headers,
            body=b"".join(pending.body),
            reader=pending.reader,
            ended=ended,
        )
        pending.results.append(result)
        is_unknown = result in (load_exchange.CUT, load_exchange.UNCERTAIN)
        is_booking = pending.arrival.kind.interface == "booking"
        if is_booking and is_unknown and pending.sends < MAX_SENDS:
            Timer(RESEND_DELAY, resend(pending), self.channel).register(self)
            return
        self.open -= 1
        now = self.now()
        self.outcomes.append(
            Outcome(
                number=pending.arrival.number,
                kind=pending.arrival.kind.name,
                at=pending.arrival.at,
                result=result,
                status=pending.status or 0,
                first=pending.first or now,
                ended=now,
                tokens=pending.tokens,
                sends=pending.sends,
                results=tuple(pending.results),
                code=load_exchange.error_code(b"".join(pending.body)),
            )
        )

    @handler("resend")
    def _on_resend(self, pending):
        pending.reset()
        self._send(pending)
