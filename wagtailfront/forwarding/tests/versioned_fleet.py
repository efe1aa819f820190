"""Fleet before engines of several software versions, for the tests."""

import re

from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    FakeExchange,
    FakeReply,
    Scene,
    make_record,
    make_request,
    make_route,
    make_service,
)
from wagtailfront.forwarding.tests.fleet import Fleet
from wagtailfront.platform.tests.wire import (
    HANDLE,
    caller_headers,
    event_stream_headers,
    refusal_headers,
    resumed_event,
)
from wagtailfront.serving.caller_limits import CallerLimits

STEP = 0.08  # seconds
STORE_DELAY = 0.01  # seconds
DISCOVERY = 0.4  # seconds from a start until an instance reads the others' rows
FIRST_EVENT, EVENT_GAP, EVENTS = 0.03, 0.1, 25  # seconds, seconds, a stream's
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)")


class Caller:
    """A caller that resumes its stream after each break.

    Attributes
    ----------
    replies : list of FakeReply
        One for each attempt.
    """

    def __init__(self, fleet, label, *, tokens=0):
        self.fleet = fleet
        self.label = label
        self.tokens = tokens
        self.started = fleet.timers.now
        self.replies = []
        self.begun_by = None

    @property
    def events(self):
        """Return the (id, software version) of each event received."""
        return [
            (int(number), version.decode())
            for reply in self.replies
            for number, version in EVENT.findall(reply.body)
        ]

    @property
    def versions(self):
        """Return the software versions of all events."""
        return {version for _number, version in self.events}

    @property
    def is_ended(self):
        """Return whether no attempt is in progress."""
        reply = self.replies[-1]
        return reply.is_complete or reply.is_aborted

    def break_off(self):
        """Close the connection of the attempt in progress."""
        self.replies[-1].is_aborted = True
        for forwarder in self.fleet.forwarders.values():
            for task in list(forwarder.tasks):
                if task.reply is self.replies[-1]:
                    task.cancel()

    def ask(self, name, *, seconds=5.0):
        """Send an attempt to an instance; return its reply."""
        attempt, events = b"%b-%d" % (self.label, len(self.replies)), self.events
        if events and self.begun_by is None:
            self.begun_by = b"%b-%d" % (self.label, len(self.replies) - 1)
        headers = caller_headers(
            attempt,
            seconds=seconds - (self.fleet.timers.now - self.started),
            resumes=self.begun_by,
            after=events[-1][0] if events else None,
            tokens=self.tokens,
        )
        reply = FakeReply()
        self.replies.append(reply)
        self.fleet.accept(name, make_request(headers=headers), reply, attempt)
        return reply


class _Pool:
    """An instance's connections to the engines of a VersionedFleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.exchanges = []

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        exchange = FakeExchange(record, payload + body, sink)
        self.exchanges.append(exchange)
        self.fleet.timers.after(FIRST_EVENT, lambda: self._begin(exchange))
        return exchange

    def in_progress(self, endpoint_id):
        return [
            exchange
            for exchange in self.exchanges
            if exchange.record.endpoint_id == endpoint_id
            and exchange.status is None
            and not exchange.is_cancelled
        ]

    def _begin(self, exchange):
        if exchange.is_cancelled:
            return
        record = exchange.record
        request_id = exchange.sink.task.fields.request_id.encode()
        if record.endpoint_id not in self.fleet.alive:
            exchange.fail("connect: refused", sent=False)
        elif exchange.sink.is_prefill:
            exchange.respond(200, [], HANDLE)
        elif self.fleet.is_full(record.endpoint_id, exchange):
            exchange.respond(503, refusal_headers(request_id))
        else:
            exchange.is_running = True
            exchange.sink.on_head(200, event_stream_headers(request_id))
            self._send_event(exchange, resumed_event(exchange.payload) + 1)

    def _send_event(self, exchange, number):
        if exchange.is_cancelled or exchange.status is not None:
            return
        if number > EVENTS:
            exchange.status = 200
            exchange.sink.on_end()
            return
        version = exchange.record.software_version.encode()
        exchange.sink.on_data(b"id: %d\ndata: %b\n\n" % (number, version))
        self.fleet.timers.after(
            EVENT_GAP, lambda: self._send_event(exchange, number + 1)
        )


class VersionedFleet(Fleet):
    """Instances that forward streams of engines of several versions.

    Parameters
    ----------
    size : int
    engines : list of EndpointRecord
    is_model : bool, optional
    route : Route, optional

    Attributes
    ----------
    out_of_step : set of str
        Instances that do not hear of changes of the registry unless they ask.
    is_store_away : bool
        Whether the store answers no question.
    """

    def __init__(self, size, engines, *, is_model=False, **route):
        self.engines = list(engines)
        self.alive = {engine.endpoint_id for engine in engines}
        self.is_model = is_model
        self.out_of_step = set()
        self.is_store_away = False
        self.route = make_route(
            STREAMING, **{"is_resumable": True, "target_latency": 2.0, **route}
        )
        self.scenes, self.forwarders, self.replies = {}, {}, {}
        super().__init__(size)
        self.discover_peers()
        self.serve(1.0)

    @property
    def names(self):
        """Return the names of the instances that run."""
        return [name for name in self.scenes if f"{name}:7" not in self.lost]

    @property
    def sends(self):
        """Return all exchanges with engines."""
        return [each for scene in self.scenes.values() for each in scene.pool.exchanges]

    def _make_state(self, row, incarnation):
        scene = Scene(
            self.engines,
            is_model=self.is_model,
            slack=1000,
            timers=self.timers,
            pool=_Pool(self),
            incarnation=incarnation,
            address=row.address,
            confirm_registry=lambda reply: self.timers.after(
                STORE_DELAY, lambda: self._confirm(row.instance, reply)
            ),
        )
        scene.context.rng.seed(incarnation)
        forwarder = Forwarder(context=scene.context)
        services = {"s": make_service(is_model=self.is_model)}
        forwarder.apply_config(
            RoutingConfig(1, (self.route,), services, CallerLimits())
        )
        self.scenes[row.instance] = scene
        self.forwarders[row.instance] = forwarder
        self.replies[row.instance] = []
        context = scene.context
        return (
            context.load,
            context.rate_limits,
            context.streams,
            context.directory.versions,
        )

    def accept(self, name, request, reply, attempt):
        """Give a request to an instance."""
        self.replies[name].append(reply)
        self.forwarders[name].accept(request, reply)

    def serve(self, seconds):
        """Let the instances serve and exchange digests for some seconds."""
        for _ in range(round(seconds / STEP)):
            self.timers.advance(STEP)
            for name in self.names:
                self.instances[f"{name}:7"]._on_send_digest()

    # Engines

    def is_full(self, endpoint_id, exchange):
        """Return whether an engine's slots are all in use."""
        running = sum(
            getattr(each, "is_running", False)
            for scene in self.scenes.values()
            for each in scene.pool.in_progress(endpoint_id)
        )
        return running >= exchange.record.slots

    def register(self, engines):
        """Replace the engines in the registry; those that left still serve."""
        self.engines = list(engines)
        self.alive |= {engine.endpoint_id for engine in engines}
        for name in self.names:
            if name not in self.out_of_step:
                self._read_registry(name)

    def _read_registry(self, name):
        directory = self.scenes[name].directory
        directory.replace(self.engines, now=self.timers.now)

    def _confirm(self, name, reply):
        """Answer an instance's question for the present registry."""
        if not self.is_store_away:
            self._read_registry(name)
        reply(not self.is_store_away)

    def crash(self, endpoint_id, *, is_listed=False):
        """End an engine in the middle of its streams."""
        self.alive.discard(endpoint_id)
        if not is_listed:
            left = [e for e in self.engines if e.endpoint_id != endpoint_id]
            self.register(left)
        for scene in self.scenes.values():
            for exchange in scene.pool.in_progress(endpoint_id):
                exchange.status = 0
                exchange.fail("reset")

    # Instances

    def kill(self, name):
        """End an instance's process and break its callers' connections."""
        self.lost.add(f"{name}:7")
        for reply in self.replies[name]:
            if not reply.is_complete:
                reply.is_aborted = True
        for task in list(self.forwarders[name].tasks):
            task.cancel()

    def restart(self, name):
        """Start an instance again; it knows the others a little later."""
        self.lost.discard(f"{name}:7")
        exchange = self.add(name)
        self.timers.after(DISCOVERY, lambda: exchange._handle_rows(self.rows))


def make_engine(endpoint_id, software_version, **changes):
    """Return an engine with many slots."""
    return make_record(
        endpoint_id, **{"software_version": software_version, "slots": 64, **changes}
    )


def make_versions(*, slots=64, **counts):
    """Return engines, some of each software version.

    Examples
    --------
    >>> [engine.endpoint_id for engine in make_versions(v1=2, v2=1)]
    ['v1-0', 'v1-1', 'v2-0']
    """
    return [
        make_engine(f"{version}-{number}", version, slots=slots)
        for version, count in counts.items()
        for number in range(count)
    ]
