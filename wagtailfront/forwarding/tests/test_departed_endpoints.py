"""Tests of requests in progress at endpoints that left the registry."""

from wagtailfront.forwarding.tests.builders import (
    UNSAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.membership.messages import decode_message, encode_message
from wagtailfront.platform.tests.wire import SIGNED


def test_peers_can_read_the_loads_after_an_endpoint_has_gone():
    """Guards against a load below zero, for which peers drop the message."""
    scene = Scene([make_record("e1")])
    _task, reply = scene.start(make_route(UNSAFE))
    for record in scene.directory.replace([], now=scene.timers.now).gone:
        scene.context.health.forget(record)
    scene.pool.last.respond(200, SIGNED, b"ok")
    assert reply.status == 200
    digest = scene.context.load.make_digest(full=True)
    assert decode_message(encode_message(digest)) is not None
    assert scene.context.load.outstanding("e1/1", now=scene.timers.now) == 0


def test_an_endpoint_that_came_back_with_another_version_is_another_one():
    """Guards a stream whose endpoint restarts under its id, with another."""
    record = make_record("e1", started_ms=0)
    directory = Scene([record]).directory
    assert directory.is_current(record)
    directory.replace([record._replace(software_version="v2")], now=101.0)
    assert not directory.is_current(record)
