"""Tests of the shutdown of a forwarding instance, in virtual time."""

from types import SimpleNamespace

import pytest

from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.shutdown import BALANCER_DELAY, STOP_MARGIN, Shutdown
from wagtailfront.forwarding.tests.builders import (
    UNSAFE,
    FakeReply,
    Scene,
    make_record,
    make_request,
    make_route,
    make_service,
)
from wagtailfront.platform.tests.wire import DEADLINE, NOT_RUN_UNNAMED
from wagtailfront.serving.caller_limits import CallerLimits

GRACE = 8.0


class FakeServer:
    """Callers' server with some open connections."""

    def __init__(self):
        self.connections = {1: "idle", 2: "busy"}
        self.is_draining = False
        self.is_reading = True

    def end_reading(self):
        self.is_reading = False

    def start_draining(self):
        self.is_draining = True

    def close_idle(self):
        self.connections.pop(1, None)


class StoppingInstance:
    """Instance that has got SIGTERM."""

    def __init__(self):
        self.scene = Scene([make_record()])
        self.timers = self.scene.timers
        self.log = self.scene.log
        self.server = FakeServer()
        self.forwarder = Forwarder(context=self.scene.context)
        self.forwarder.apply_config(
            RoutingConfig(
                version=1,
                routes=(make_route(UNSAFE),),
                services={"s": make_service()},
                limits=CallerLimits(),
            )
        )
        self.stopped = []
        self.shutdown = Shutdown(
            servers=[self.server],
            forwarder=self.forwarder,
            timers=self.timers,
            grace=GRACE,
            log=self.log,
        )
        self.shutdown.stop = self.stopped.append

    def begin(self):
        self.shutdown._on_signal(SimpleNamespace(stop=lambda: None), 15, None)

    def request(self, milliseconds):
        """Take a request with a deadline; return its reply."""
        reply = FakeReply()
        headers = [(b"Host", b"h"), (DEADLINE, b"%d" % milliseconds)]
        self.forwarder.accept(make_request(headers=headers), reply)
        return reply


def test_departure_waits_for_requests_but_not_beyond_the_grace():
    """Guards requests in progress against a stop, and the stop itself."""
    instance = StoppingInstance()
    instance.begin()
    assert instance.server.is_draining
    instance.timers.advance(BALANCER_DELAY - 0.1)
    assert 1 in instance.server.connections
    instance.timers.advance(1.0)
    assert instance.server.connections == {2: "busy"}
    assert not instance.stopped
    instance.timers.advance(GRACE - BALANCER_DELAY - 0.9)
    assert instance.stopped
    assert instance.log.kinds()[0] == "stop"


@pytest.mark.parametrize("waited", [3.1, 5.0, 7.0, 7.4, 7.55])
def test_a_request_that_may_outlast_the_instance_is_refused_at_once(waited):
    """Guards against a request that is cut because it came during the stop."""
    instance = StoppingInstance()
    instance.begin()
    instance.timers.advance(waited)
    left = GRACE - STOP_MARGIN - waited
    reply = instance.request(1000 * (left + 0.1) + 10)
    assert reply.status == 503
    assert float(reply.header(b"Retry-After")) <= 0.1
    assert not instance.scene.pool.exchanges


@pytest.mark.parametrize("waited", [2.96, 3.0, 3.02, 3.2])
def test_a_late_timer_lets_no_request_outlast_the_instance(waited):
    """Guards requests that come while the instance is late with its timers."""
    instance = StoppingInstance()
    instance.begin()
    # No timer is called in this time.
    instance.timers.now += waited
    reply = instance.request(1000 * GRACE)
    assert reply.status == 503
    assert not instance.scene.pool.exchanges


def test_a_request_that_ends_before_the_instance_is_served():
    """Guards callers whose data centre has no other instance."""
    instance = StoppingInstance()
    instance.begin()
    instance.timers.advance(5.0)
    reply = instance.request(2000)
    instance.timers.advance(2.2)
    assert reply.status == 504
    assert not instance.stopped


@pytest.mark.parametrize(("is_sent", "status"), [(True, 502), (False, 503)])
def test_what_is_in_progress_at_the_end_gets_an_answer(is_sent, status):
    """Guards requests of the first seconds against a cut at the end."""
    instance = StoppingInstance()
    instance.begin()
    instance.timers.advance(BALANCER_DELAY - 0.1)
    reply = instance.request(5000)
    instance.scene.pool.last.is_sent = is_sent
    instance.timers.advance(GRACE - STOP_MARGIN - BALANCER_DELAY + 0.05)
    assert reply.status is None
    instance.timers.advance(0.1)
    assert reply.status == status
    assert not instance.stopped
    instance.timers.advance(0.2)
    assert instance.stopped


def test_a_request_that_was_refused_in_the_first_seconds_goes_on():
    """Guards against ending a request that another endpoint may take."""
    instance = StoppingInstance()
    instance.begin()
    reply = instance.request(1000)
    instance.scene.pool.last.respond(503, NOT_RUN_UNNAMED)
    assert len(instance.scene.pool.exchanges) == 2
    assert reply.status is None
