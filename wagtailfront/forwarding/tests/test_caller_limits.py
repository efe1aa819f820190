"""Tests of callers' limits around a change of the configuration."""

import time

import pytest

from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import Scene, make_route
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.intake.shares import divide_memory
from wagtailfront.serving.caller_limits import CallerLimits

WIDE = CallerLimits(max_body=1000, max_head=2000, head_timeout=5.0, idle_timeout=5.0)
NARROW = CallerLimits(max_body=10, max_head=100, head_timeout=0.1, idle_timeout=0.1)
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
def instance():
    """Return a running instance whose endpoint echoes requests."""
    with start_instances() as begin:
        yield begin(echo)


def change_limits(instance, *versions):
    """Apply one configuration after the other."""
    for limits in versions:
        version = instance.forwarder.config.version + 1
        config = make_config(make_route(), version=version, limits=limits)
        instance.forwarder.apply_config(config)


def test_an_idle_connection_keeps_the_limit_it_was_used_under(instance):
    """Guards a caller that does not know of a shorter limit yet."""
    change_limits(instance, WIDE)
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        read_until(caller, [b"r1/"])
        change_limits(instance, NARROW)
        time.sleep(1.2)
        caller.sendall(GET % b"r2")
        assert b"r2/" in read_until(caller, [b"r2/"])


def test_a_body_on_its_way_keeps_the_limits_it_began_under(instance):
    """Guards a request that spans two versions of the limits."""
    change_limits(instance, WIDE)
    with instance.connect() as caller:
        caller.sendall(HEAD % 100 + b"x" * 50)
        wait_for(lambda: instance.server.connections)
        change_limits(instance, NARROW)
        time.sleep(1.2)
        caller.sendall(b"x" * 50)
        assert b"r1/" + b"x" * 100 in read_until(caller, [b"x" * 100])


def test_a_kept_connection_may_use_a_wider_limit(instance):
    """Guards a proper request against status 413 on an older connection."""
    change_limits(instance, NARROW._replace(idle_timeout=5.0, max_head=2000))
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        read_until(caller, [b"r1/"])
        change_limits(instance, WIDE)
        caller.sendall(HEAD % 100 + b"x" * 100)
        assert b"r1/" + b"x" * 100 in read_until(caller, [b"x" * 100])


def test_a_new_connection_may_use_the_limits_of_the_version_before(instance):
    """Guards a caller that does not know of the change yet."""
    change_limits(instance, WIDE, NARROW)
    with instance.connect() as caller:
        caller.sendall(HEAD % 100 + b"x" * 100)
        assert b"r1/" + b"x" * 100 in read_until(caller, [b"x" * 100])


def test_a_body_limit_beyond_the_memory_is_lowered_and_logged():
    """Guards against a configuration that permits more than fits."""
    scene = Scene([])
    forwarder = Forwarder(context=scene.context, shares=divide_memory(160_000_000))
    config = RoutingConfig(1, (), {}, CallerLimits(max_body=400_000_000))
    assert forwarder.apply_config(config)
    largest = forwarder.limits.at(0.0).max_body
    assert 64 * 1024 * 1024 <= largest < 112_000_000
    (line,) = (line for line in scene.context.log if line[0] == "limits")
    assert line[2] == {"max_body": 400_000_000, "used": largest}
