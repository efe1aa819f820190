"""Tests of crash evidence where several callers send the same request."""

import itertools

import pytest

from wagtailfront.decisions.crash_evidence import request_fingerprint
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    UNSAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import SIGNED

ORDER = make_route(UNSAFE)
LOOKUP = make_route(SAFE, max_attempts=2)
NAMES = ("", "a", "b")


@pytest.fixture
def scene():
    """Return an instance with as many endpoints as a test may lose."""
    return Scene([make_record(f"e{number}") for number in range(8)], slack=8)


def send(scene, caller, route=ORDER):
    """Send the order of a caller; return its exchange."""
    scene.start(route, caller=caller)
    return scene.pool.last


def is_refused(scene, caller):
    """Return whether the order of a caller is refused."""
    sends = len(scene.pool.exchanges)
    _task, reply = scene.start(ORDER, caller=caller)
    is_sent = len(scene.pool.exchanges) > sends
    if is_sent:
        scene.pool.last.respond(200, SIGNED, b"done")
    assert reply.status == (200 if is_sent else 503)
    return not is_sent


def test_sound_orders_of_others_do_not_clear_the_crashes_of_one(scene):
    """Guards against a crasher that is served between the orders of others."""
    for _ in range(2):
        sound = send(scene, "b")
        send(scene, "a").fail()
        sound.respond(200, SIGNED, b"done")
        assert not is_refused(scene, "b")
    assert is_refused(scene, "a")
    assert not is_refused(scene, "b")


def test_one_lookup_that_crashes_its_endpoints_is_not_that_of_others(scene):
    """Guards the lookups of all callers against the two attempts of one."""
    send(scene, "a", LOOKUP).fail()
    scene.pool.last.fail()
    assert is_refused(scene, "a")
    assert not is_refused(scene, "b")


def test_an_answer_clears_only_the_crashes_before_its_run(scene):
    """Guards against an answer that says nothing of a later crash."""
    before = [send(scene, "a") for _ in range(2)]
    send(scene, "a").fail()
    before[0].respond(200, SIGNED, b"done")
    after = send(scene, "a")
    send(scene, "a").fail()
    assert is_refused(scene, "a")
    before[1].respond(200, SIGNED, b"done")
    assert is_refused(scene, "a")
    after.respond(200, SIGNED, b"done")
    assert not is_refused(scene, "a")


def test_any_answer_clears_the_crashes_of_callers_without_a_name(scene):
    """Guards all callers against a refusal that no run could end."""
    sound = send(scene, "")
    send(scene, "", LOOKUP).fail()
    scene.pool.last.fail()
    assert is_refused(scene, "")
    sound.respond(200, SIGNED, b"done")
    assert not is_refused(scene, "")


def test_fingerprints_of_callers_differ():
    """Guards against a caller's name that passes for a path or a body."""
    bodies = (b"", b"a", b"a\0", b"b\0a", b"a\0b\0")
    keys = list(itertools.product(NAMES, ("a", "b"), bodies))
    fingerprints = {
        request_fingerprint(path, body, caller=name) for name, path, body in keys
    }
    assert len(fingerprints) == len(keys)
