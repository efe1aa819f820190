"""Builders and fakes for the tests of forwarding."""

import heapq
import itertools
import random
from bisect import bisect_right
from types import SimpleNamespace

from wagtailfront.admission.control import AdmissionControl
from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.fleet_size.work_counts import OwnWork
from wagtailfront.forwarding.attempt_budget import SLACK_IN_USE
from wagtailfront.forwarding.begun_streams import StreamMemory
from wagtailfront.forwarding.endpoint_directory import (
    EndpointDirectory,
    EndpointRecord,
)
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.endpoint_notices import EndpointNotices
from wagtailfront.forwarding.endpoint_reach import EndpointReach
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.forward_context import ForwardContext
from wagtailfront.forwarding.forward_task import ForwardTask
from wagtailfront.forwarding.forwarder import AttemptBudgets, PrefixCachesByService
from wagtailfront.forwarding.interfaces import PromptPart, RequestFields
from wagtailfront.forwarding.peer_proxies import PeerProxies
from wagtailfront.forwarding.rate_limits import RateLimits
from wagtailfront.forwarding.routes import (
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from wagtailfront.freshness.confirmations import Confirmations
from wagtailfront.intake.body_memory import BodyMemory
from wagtailfront.observe.metrics import Metrics
from wagtailfront.platform.headers import PlatformDialect
from wagtailfront.room.room_control import RoomControl
from wagtailfront.serving.request_reader import Request

REQUEST_ID = "r1"
REPEAT_SHARE, REPEAT_WINDOW = 0.2, 10.0
SAFE, UNSAFE, STREAMING = RequestKind.SAFE, RequestKind.UNSAFE, RequestKind.STREAMING


def make_route(kind=SAFE, **changes):
    """Return a route; keywords replace its fields."""
    fields = {
        "name": "route",
        "host": "h",
        "prefix": "/",
        "kind": kind,
        "shares": (ServiceShare("s", 1.0),),
        "timeout": 5.0,
        "target_latency": 0.4,
        "priority": 0,
        "max_attempts": 2,
        "is_resumable": False,
    }
    return Route(**{**fields, **changes})


def make_service(*, is_model=False):
    """Return the service "s"."""
    return Service("s", 100, is_model, 1_000_000 if is_model else 0)


def make_record(endpoint_id="e1", **changes):
    """Return a registered endpoint; keywords replace its fields."""
    fields = {
        "endpoint_id": endpoint_id,
        "service": "s",
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": "dc",
        "slots": 4,
        "is_leaving": False,
        "stage": "",
        "started_ms": 1,
        "software_version": "v1",
    }
    return EndpointRecord(**{**fields, **changes})


def make_request(method=b"POST", target=b"/a", headers=(), body=b"x"):
    """Return a complete request of a caller."""
    return Request(method, target, list(headers), body, True, "1.1")


def make_confirmations(*tables, bound=2.0):
    """Return the Confirmations of an instance without peers."""
    return Confirmations(
        tables=tables, bound=bound, address="10.0.0.1:7", find_live=frozenset
    )


class VirtualTimers:
    """Timers whose clock the test advances."""

    def __init__(self):
        self.now = 100.0
        self.waiting = []
        self.numbers = itertools.count()

    def clock(self):
        return self.now

    def after(self, delay, callback):
        timer = SimpleNamespace(callback=callback)
        timer.cancel = lambda: setattr(timer, "callback", lambda: None)
        entry = (self.now + delay, next(self.numbers), timer)
        heapq.heappush(self.waiting, entry)
        return timer

    def advance(self, seconds):
        """Advance the clock and call timers that come due, in order."""
        end = self.now + seconds
        while self.waiting and self.waiting[0][0] <= end:
            due, _number, timer = heapq.heappop(self.waiting)
            self.now = max(self.now, due)
            timer.callback()
        self.now = end


class FakeExchange:
    """A request that was sent; the test supplies the response."""

    def __init__(self, record, payload, sink):
        self.record = record
        self.payload = payload
        self.sink = sink
        self.connection = object()
        self.is_first = True
        self.is_sent = True
        self.is_cancelled = False
        self.status = None

    def cancel(self):
        self.is_cancelled = True

    def respond(self, status, headers, body=b""):
        """Respond with a complete response."""
        self.status = status
        if self.sink.on_head(status, headers) and body:
            self.sink.on_data(body)
        self.sink.on_end()

    def fail(self, reason="reset", sent=True):
        """Fail the connection."""
        self.is_sent = sent
        self.sink.on_failure(reason, sent)


class FakePool:
    """Records all exchanges in the order in which they were sent.

    Attributes
    ----------
    is_connected : bool
        Whether requests are sent at once, or wait for their connection.
    """

    def __init__(self):
        self.exchanges = []
        self.is_connected = True

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        self.exchanges.append(FakeExchange(record, payload + body, sink))
        self.last.is_sent = self.is_connected
        return self.exchanges[-1]

    @property
    def last(self):
        return self.exchanges[-1]


def repeat_times(exchanges):
    """Return when endpoints got arrivals beyond the first of each request.

    The first prefill of a request that an engine accepts is not an arrival.
    """
    arrived, prefilled, times = set(), set(), []
    for exchange in exchanges:
        task = exchange.sink.task
        is_accepted = exchange.sink.is_prefill and exchange.status == 200
        if is_accepted and task not in prefilled:
            prefilled.add(task)
        elif exchange.is_sent:
            if task in arrived:
                times.append(exchange.sink.started)
            arrived.add(task)
    return times


def largest_repeat_excess(repeats, requests, *, share, window):
    """Return by how much repeats exceed a share of requests, at the most.

    The requests are those of the repeats' window, of the one before it, or
    of the one half a window earlier, whichever has most.

    Parameters
    ----------
    repeats, requests : list of float
        Times in seconds, in order.
    share : float
    window : float
        Seconds of a window that ends at a repeat.
    """

    def count(times, end):
        return bisect_right(times, end) - bisect_right(times, end - window)

    def excess(end):
        ends = (end, end - window / 2, end - window)
        return count(repeats, end) - share * max(count(requests, at) for at in ends)

    return max(map(excess, repeats), default=0.0)


class FakeReply:
    """Records the response that a caller would get."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.is_aborted = False

    def answer(self, status, headers, body):
        self.start(status, headers)
        self.body = body
        self.is_complete = True

    def start(self, status, headers):
        assert self.status is None, "response was started twice"
        self.status = status
        self.headers = headers

    def send(self, data):
        self.body += data

    def finish(self):
        self.is_complete = True

    def abort(self):
        self.is_aborted = True

    def header(self, name):
        """Return the value of a header, or None."""
        return dict(self.headers).get(name)


class LogLines(list):
    """Decision log that records its lines."""

    def decision(self, kind, *, outcome, request=None, **inputs):
        self.append((kind, outcome, inputs))

    def kinds(self):
        """Return the kinds of the lines in order."""
        return [kind for kind, _outcome, _inputs in self]


class Scene:
    """One instance's forwarding in virtual time.

    Parameters
    ----------
    records : list of EndpointRecord
    is_model : bool, optional
    slack : float, optional
        Repeated attempts that the instance may make beyond the share.
    crashing_parts : CrashingParts, optional
    timers, pool : optional
        Those that the instance shares with others.
    incarnation, address : str, optional
    confirm_registry : callable, optional
        As of a ForwardContext; by default the registry is confirmed at once.
    """

    def __init__(
        self,
        records,
        *,
        is_model=False,
        slack=2,
        crashing_parts=None,
        timers=None,
        pool=None,
        incarnation="i",
        address="i:7",
        confirm_registry=lambda reply: reply(True),
    ):
        self.timers = timers or VirtualTimers()
        self.pool = pool or FakePool()
        self.log = LogLines()
        self.service = make_service(is_model=is_model)
        self.directory = EndpointDirectory()
        self.directory.replace(records, now=self.timers.now)
        health = EndpointHealth()
        rng = random.Random(1)
        load = FleetLoad(incarnation=incarnation, address=address, health=health)
        prefix_caches = PrefixCachesByService()
        prefix_caches.add_services({"s": self.service})
        self.reach = EndpointReach(
            directory=self.directory,
            timers=self.timers,
            clock=self.timers.clock,
            log=self.log,
            rng=rng,
        )
        self.proxies = PeerProxies(
            pool=FakePool(), load=load, data_centre="dc", rng=rng
        )
        self.context = ForwardContext(
            data_centre="dc",
            dialect=PlatformDialect(),
            directory=self.directory,
            confirm_registry=confirm_registry,
            health=health,
            reach=self.reach,
            proxies=self.proxies,
            rate_limits=RateLimits(fleet=load, log=self.log),
            notices=EndpointNotices(log=self.log, rng=rng, clock=self.timers.clock),
            pool=self.pool,
            body_memory=BodyMemory(),
            timers=self.timers,
            budgets=AttemptBudgets(
                share=REPEAT_SHARE,
                slack=slack / SLACK_IN_USE,
                window=REPEAT_WINDOW,
            ),
            evidence=CrashEvidence(lifetime=60.0),
            crashing_parts=crashing_parts or CrashingParts(source="i"),
            prefix_caches=prefix_caches,
            load=load,
            streams=StreamMemory(),
            admission=AdmissionControl(),
            room=RoomControl(load=load, timers=self.timers, clock=self.timers.clock),
            log=self.log,
            metrics=Metrics(),
            work=OwnWork(),
            clock=self.timers.clock,
            rng=rng,
        )
        self.done = []
        self.request_times = []

    def start(self, route, request=None, request_id=REQUEST_ID, **fields):
        """Start a request; return its task and reply."""
        reply = FakeReply()
        task = ForwardTask(
            request=request or make_request(),
            fields=RequestFields(request_id=request_id, host="h", **fields),
            route=route,
            service=self.service,
            reply=reply,
            context=self.context,
            on_done=self.done.append,
        )
        self.request_times.append(self.timers.now)
        task.begin()
        return task, reply

    def repeat_excess(self):
        """Return by how much repeats in a window exceeded their share."""
        return largest_repeat_excess(
            repeat_times(self.pool.exchanges),
            self.request_times,
            share=REPEAT_SHARE,
            window=REPEAT_WINDOW,
        )


def make_parts(subject, shared_tokens, own_tokens):
    """Return a prompt of a shared part and one of its own."""
    own = PromptPart(f"own-{subject}-{own_tokens}", own_tokens)
    return (PromptPart(subject, shared_tokens), own)
