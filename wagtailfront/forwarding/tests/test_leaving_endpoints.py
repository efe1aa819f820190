"""Tests that endpoints which say that they leave get no new work."""

import pytest

from wagtailfront.forwarding.interfaces import EndpointNotice
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    UNSAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    HANDLE,
    LEAVING,
    NOT_RUN,
    NOT_RUN_UNNAMED,
    SIGNED,
    UNSIGNED,
)

LEAVES = EndpointNotice(is_leaving=True)
EVENT = b"id: %d\ndata: x\n\n"
LEAVING_PLAIN = [*SIGNED, LEAVING]
PATIENT = make_route(STREAMING, target_latency=30.0, timeout=60.0)
RESUMABLE = make_route(STREAMING, is_resumable=True, max_attempts=4)


def targets(scene, count=20, route=None, **fields):
    """Start requests and return the endpoints that get them."""
    before = len(scene.pool.exchanges)
    for _ in range(count):
        scene.start(route or make_route(), **fields)
    return {e.record.endpoint_id for e in scene.pool.exchanges[before:]}


def make_plain_scene(answer):
    """Return a scene in which e1, sent a request alone, gave an answer."""
    scene = Scene([make_record("e1")])
    scene.start(make_route(UNSAFE))
    answer(scene.pool.last)
    # Longer than a refusal keeps work away from an endpoint.
    scene.timers.advance(0.3)
    scene.directory.replace([make_record("e1"), make_record("e2")], now=101.0)
    return scene


ANSWERS = {
    "plain": lambda e: e.respond(200, LEAVING_PLAIN, b"ok"),
    "own error": lambda e: e.respond(500, LEAVING_PLAIN),
    "missing": lambda e: e.respond(404, [*UNSIGNED, LEAVING]),
    "refusal": lambda e: e.respond(503, [*NOT_RUN, LEAVING]),
    "full": lambda e: e.respond(429, [*NOT_RUN, LEAVING]),
    "unnamed on a new connection": lambda e: e.respond(500, [LEAVING]),
    "unsigned success": lambda e: e.respond(200, [*UNSIGNED, LEAVING]),
    "head of a stream": lambda e: e.sink.on_head(200, [*EVENT_STREAM, LEAVING]),
    "head of a body": lambda e: e.sink.on_head(200, LEAVING_PLAIN),
}


@pytest.mark.parametrize("how", ANSWERS)
def test_an_endpoint_that_says_in_any_answer_that_it_leaves_gets_no_request(how):
    """Guards against work for an endpoint that the registry calls ready."""
    assert targets(make_plain_scene(ANSWERS[how])) == {"e2"}


REGISTRIES = {
    "silent": lambda scene: scene.timers.advance(60.0),
    "older copy": lambda scene: scene.directory.replace(
        [make_record("e1"), make_record("e2")], now=102.0, era=2
    ),
    "ready again": lambda scene: scene.directory.replace(
        [make_record("e1", slots=8), make_record("e2")], now=102.0
    ),
    "gone and back": lambda scene: gone_and_back(scene),
}


def gone_and_back(scene):
    """Remove the endpoint from the registry for a while."""
    for record in scene.directory.replace([make_record("e2")], now=102.0).gone:
        scene.context.notices.forget(record)
    scene.directory.replace([make_record("e1"), make_record("e2")], now=109.0)


@pytest.mark.parametrize("how", REGISTRIES)
def test_the_registry_does_not_undo_what_an_endpoint_said(how):
    """Guards against a registry that is behind the endpoint's own word."""
    scene = make_plain_scene(ANSWERS["plain"])
    REGISTRIES[how](scene)
    assert targets(scene) == {"e2"}


@pytest.mark.parametrize(
    "record", [make_record("e1", started_ms=2), make_record("e9", port=1)]
)
def test_a_new_incarnation_at_the_same_address_is_not_leaving(record):
    """Guards an endpoint against what the one before it said."""
    scene = make_plain_scene(ANSWERS["plain"])
    scene.directory.replace([record], now=102.0)
    assert targets(scene) == {record.endpoint_id}


COPIES = {
    "unnamed": [LEAVING, *NOT_RUN_UNNAMED],
    "of another request": [(b"X-Request-Id", b"other"), LEAVING],
}


@pytest.mark.parametrize("how", COPIES)
def test_a_copy_of_an_answer_on_a_kept_connection_proves_nothing(how):
    """Guards an endpoint against an answer to a request before."""
    scene = Scene([make_record("e1")])
    scene.start(make_route(UNSAFE))
    scene.pool.last.is_first = False
    scene.pool.last.sink.on_head(503, COPIES[how])
    assert targets(scene) == {"e1"}


def test_the_answer_of_another_endpoint_does_not_count():
    """Guards an endpoint against one that took over its address."""
    assert targets(
        make_plain_scene(lambda e: e.respond(421, [*UNSIGNED, LEAVING]))
    ) == {"e1", "e2"}


def test_if_all_endpoints_leave_a_request_is_refused_at_once_as_not_run():
    """Guards against waits for endpoints that do not come back."""
    scene = Scene([make_record("e1")])
    scene.start(make_route())
    scene.pool.last.respond(200, LEAVING_PLAIN, b"ok")
    _task, reply = scene.start(make_route(UNSAFE))
    assert (reply.status, len(scene.pool.exchanges)) == (503, 1)
    assert ("refused", "all endpoints leave") in [line[:2] for line in scene.log]


def test_what_runs_at_a_leaving_endpoint_goes_on():
    """Guards requests in progress while the notice arrives."""
    scene = Scene([make_record("e1")])
    _task, running = scene.start(make_route(UNSAFE))
    first = scene.pool.last
    _task, _reply = scene.start(make_route(), request_id="r2")
    scene.pool.last.respond(200, [(b"X-Request-Id", b"r2"), *LEAVING_PLAIN[1:]])
    assert not first.is_cancelled
    first.respond(200, LEAVING_PLAIN, b"ok")
    assert (running.status, running.body) == (200, b"ok")


@pytest.mark.parametrize("kind", [SAFE, UNSAFE])
def test_a_refusal_of_a_leaving_endpoint_is_tried_elsewhere(kind):
    """Guards a request that has not run against its first choice."""
    scene = Scene([make_record("e1"), make_record("e2")])
    _task, reply = scene.start(make_route(kind))
    first = scene.pool.last
    first.respond(503, [*NOT_RUN, LEAVING])
    scene.pool.last.respond(200, SIGNED, b"ok")
    assert scene.pool.last.record != first.record
    assert reply.status == 200


def test_a_stream_does_not_resume_at_a_leaving_engine():
    """Guards a broken stream against an engine that is about to end."""
    engines = [make_record(f"d{n}", stage="decode") for n in range(2)]
    scene = Scene(engines, is_model=True)
    _task, reply = scene.start(RESUMABLE, prompt_tokens=100)
    broken = scene.pool.last
    broken.sink.on_head(200, [*EVENT_STREAM, LEAVING])
    broken.sink.on_data(EVENT % 1)
    _task, _reply = scene.start(RESUMABLE, prompt_tokens=100, request_id="r2")
    other = scene.pool.last
    assert other.record != broken.record
    other.sink.on_head(200, [(b"X-Request-Id", b"r2"), LEAVING, *EVENT_STREAM[1:]])
    broken.fail()
    assert len(scene.pool.exchanges) == 2
    assert reply.is_aborted


def test_a_prefill_says_that_its_engine_leaves_and_is_still_used():
    """Guards the next prompts, and the KV cache that is already there."""
    engines = [make_record("p1", stage="prefill"), make_record("d1", stage="decode")]
    scene = Scene(engines, is_model=True)
    scene.start(RESUMABLE, prompt_tokens=20_000)
    scene.pool.last.respond(200, [*UNSIGNED, LEAVING], HANDLE)
    assert b"k7" in scene.pool.last.payload
    assert targets(scene, route=PATIENT, prompt_tokens=20_000) == {"d1"}


def test_a_prefilled_prompt_is_not_handed_to_a_leaving_engine():
    """Guards a plan whose second engine said that it leaves meanwhile."""
    engines = [
        make_record("p1", stage="prefill"),
        *(make_record(f"d{n}", stage="decode") for n in range(2)),
    ]
    scene = Scene(engines, is_model=True)
    task, _reply = scene.start(RESUMABLE, prompt_tokens=20_000)
    prefill = scene.pool.last
    decode = task.dispatcher.plan.decode
    scene.context.notices.record_answer(decode, LEAVES, status=200)
    prefill.respond(200, UNSIGNED, HANDLE)
    assert scene.pool.last.record.stage == "decode"
    assert scene.pool.last.record != decode


def test_a_request_that_waits_for_its_place_is_placed_again():
    """Guards against a send that was arranged before the notice."""
    scene = Scene([make_record("e1")])
    scene.context.load.instances = 1
    limits = scene.context.rate_limits
    limits.record_answer("e1/1", 4.0, sent=100.0, now=100.0)
    _task, reply = scene.start(make_route(target_latency=2.0))
    assert scene.pool.exchanges == []
    scene.context.notices.record_answer(make_record("e1"), LEAVES, status=200)
    scene.timers.advance(1.0)
    assert (scene.pool.exchanges, reply.status) == ([], 503)


def test_what_is_remembered_of_endpoints_that_are_gone_is_bounded():
    """Guards the memory of an instance that runs for months."""
    notices = Scene([]).context.notices
    for number in range(3000):
        record = make_record(f"e{number}")
        notices.record_answer(record, LEAVES, status=200)
        notices.forget(record)
    assert len(notices.leaving) <= 1024
    assert notices.is_leaving("e2999/1")
