"""Components that follow the store and the peers, in virtual time."""

from types import SimpleNamespace

import pytest

from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.forwarding.departure import NOTICE_SECONDS, Departure
from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.forwarder import Forwarder, KeptByService
from wagtailfront.forwarding.interfaces import InstanceRow, RoutingRead
from wagtailfront.forwarding.load_exchange import ROW_LIFETIME, LoadExchange
from wagtailfront.forwarding.registry_poller import RegistryPoller
from wagtailfront.forwarding.routes import CallerLimits, RoutingConfig
from wagtailfront.forwarding.routing_watcher import RoutingWatcher
from wagtailfront.forwarding.tests.builders import (
    FakeReply,
    LogLines,
    Scene,
    VirtualTimers,
    make_record,
    make_request,
    make_route,
    make_service,
)
from wagtailfront.platform.tests.wire import DEADLINE


def make_config(version, **changes):
    """Return a configuration with one route."""
    fields = {
        "version": version,
        "routes": (make_route(),),
        "services": {"s": make_service()},
        "limits": CallerLimits(),
    }
    return RoutingConfig(**{**fields, **changes})


class ScriptedSource:
    """Store that answers reads and watches as the test says."""

    def __init__(self):
        self.calls = []

    def read(self, reply):
        self.calls.append(("read", None, reply))

    def watch(self, cursor, wait, reply):
        self.calls.append(("watch", cursor, reply))

    def answer(self, result):
        """Answer the latest call."""
        self.calls[-1][2](result)

    def kinds(self):
        return [(kind, cursor) for kind, cursor, _reply in self.calls]


@pytest.fixture
def watcher():
    source, timers, log, seen = ScriptedSource(), VirtualTimers(), LogLines(), []
    watcher = RoutingWatcher(
        source=source, on_config=seen.append, timers=timers, log=log
    )
    watcher._on_started(None)
    return SimpleNamespace(source=source, timers=timers, log=log, seen=seen)


def test_changes_are_watched_from_where_the_last_read_ended(watcher):
    """Guards against a change that falls between two watches."""
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=7))
    watcher.timers.advance(0.0)
    watcher.source.answer(RoutingRead(True, config=make_config(2), cursor=9))
    watcher.timers.advance(0.0)
    assert watcher.source.kinds() == [("read", None), ("watch", 7), ("watch", 9)]
    assert [config.version for config in watcher.seen] == [1, 2]


@pytest.mark.parametrize(
    "result", [RoutingRead(False, reason="timed out"), RoutingRead(True)]
)
def test_an_unanswered_watch_or_lost_history_leads_to_a_whole_read(watcher, result):
    """Guards against a change that was missed for good."""
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=7))
    watcher.timers.advance(0.0)
    watcher.source.answer(result)
    watcher.timers.advance(1.0)
    assert watcher.source.kinds()[-1] == ("read", None)


def test_a_lost_and_regained_store_is_logged_once_each(watcher):
    """Guards the log against a line for each failed read."""
    for known in (False, False, True):
        watcher.source.answer(RoutingRead(known, cursor=1 if known else None))
        watcher.timers.advance(1.0)
    outcomes = [outcome for _kind, outcome, _inputs in watcher.log]
    assert outcomes == ["lost", "reached"]


def test_an_older_configuration_never_replaces_a_newer_one():
    """Guards against a configuration that goes back."""
    forwarder = Forwarder(tools=Scene([]).tools)
    assert forwarder.use_config(make_config(5))
    assert not forwarder.use_config(make_config(4))
    assert not forwarder.use_config(make_config(5))
    assert forwarder.config.version == 5


def test_without_a_configuration_callers_get_503():
    """Guards against 404 for a route that is not known yet."""
    scene = Scene([make_record()])
    forwarder = Forwarder(tools=scene.tools)
    replies = [FakeReply(), FakeReply()]
    request = make_request(headers=[(b"Host", b"other")])
    forwarder.accept(request, replies[0])
    forwarder.use_config(make_config(1))
    forwarder.accept(request, replies[1])
    assert [reply.status for reply in replies] == [503, 404]
    assert replies[0].header(b"Retry-After")


def test_an_unreadable_request_gets_400():
    """Guards against a crash by a header that cannot be read."""
    reply = FakeReply()
    forwarder = Forwarder(tools=Scene([]).tools)
    headers = [(b"Host", b"h"), (DEADLINE, b"soon")]
    forwarder.accept(make_request(headers=headers), reply)
    assert reply.status == 400


def test_the_registry_is_read_once_at_a_time_and_loss_is_logged():
    """Guards the store against reads that pile up while it is slow."""
    source, log, changes = ScriptedSource(), LogLines(), []
    poller = RegistryPoller(
        source=source,
        directory=EndpointDirectory(),
        interval=1.0,
        on_change=changes.append,
        log=log,
    )
    for _ in range(3):
        poller._on_poll()
    assert len(source.calls) == 1
    source.answer([make_record()])
    poller._on_poll()
    source.answer(None)
    assert log.kinds() == ["registry", "endpoint_added", "registry"]
    assert len(changes) == 1


class FakeMembership:
    """Table of instances that the test fills."""

    def __init__(self):
        self.rows = []
        self.announced = 0
        self.is_up = True

    def announce(self, row, reply):
        self.announced += 1
        reply(self.is_up)

    def read(self, reply):
        reply(list(self.rows) if self.is_up else None)


def make_exchange(store, timers):
    """Return the load exchange of instance "a"."""
    return LoadExchange(
        row=InstanceRow("a", "10.0.0.1:1"),
        store=store,
        load=FleetLoad(incarnation="a", health=EndpointHealth()),
        kept=KeptByService(),
        evidence=CrashEvidence(),
        find_service=lambda endpoint: None,
        timers=timers,
        log=LogLines(),
        clock=timers.clock,
    )


def test_peers_are_those_that_announced_themselves_lately():
    """Guards against messages to instances that are gone for good."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    store.rows = [
        InstanceRow("a", "10.0.0.1:1", 1),
        InstanceRow("b", "10.0.0.2:1", 2),
        InstanceRow("c", "10.0.0.3:1", 3),
    ]
    exchange._on_started(None)
    timers.advance(1.0)
    assert exchange.addresses == ("10.0.0.2:1", "10.0.0.3:1")
    for step in range(int(ROW_LIFETIME) + 2):
        store.rows[2] = store.rows[2]._replace(version=10 + step)
        timers.advance(1.0)
    assert exchange.addresses == ("10.0.0.3:1",)


def test_an_instance_announces_itself_again_until_the_store_takes_it():
    """Guards against an instance that nobody knows after an outage."""
    store, timers = FakeMembership(), VirtualTimers()
    store.is_up = False
    make_exchange(store, timers)._on_started(None)
    timers.advance(3.5)
    store.is_up = True
    timers.advance(5.0)
    assert store.announced == 5


class FakeServer:
    """Callers' server with some open connections."""

    def __init__(self):
        self.connections = {1: "idle", 2: "busy"}
        self.is_leaving = False

    def leave(self):
        self.is_leaving = True

    def close_idle(self):
        self.connections.pop(1, None)


def test_departure_waits_for_requests_but_not_beyond_the_grace():
    """Guards requests at a planned stop, and the stop itself."""
    timers, server, log = VirtualTimers(), FakeServer(), LogLines()
    stopped = []
    departure = Departure(
        server=server,
        forwarder=SimpleNamespace(tasks={"one"}),
        timers=timers,
        grace=8.0,
        log=log,
    )
    departure.stop = stopped.append
    departure._on_signal(SimpleNamespace(stop=lambda: None), 15, None)
    assert server.is_leaving
    timers.advance(NOTICE_SECONDS - 0.1)
    assert 1 in server.connections
    timers.advance(1.0)
    assert server.connections == {2: "busy"}
    assert not stopped
    timers.advance(8.0)
    assert stopped
    assert log.kinds()[0] == "stop"
