"""Tests of which runs of requests count as usage, and when they began."""

import pytest

from wagtailfront.forwarding.attempt import CALL_SECONDS
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.proxied_pair import ProxiedPair
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    HANDLE,
    NOT_RUN,
    OTHER_REQUEST,
    SIGNED,
    UNSIGNED,
)

EVENT = b"id: %d\ndata: x\n\n"
RECORDS = [make_record("e1"), make_record("e2")]


def watch_runs(scene):
    """Return a list to which the scene adds its runs."""
    runs = []
    scene.context = scene.context._replace(
        record_run=lambda workspace, *, age: runs.append((workspace, round(age, 3)))
    )
    return runs


def test_a_stream_counts_once_at_its_first_event():
    """Guards against streams counted by event, or before an engine began."""
    scene = Scene([make_record()])
    runs = watch_runs(scene)
    scene.start(make_route(STREAMING), workspace="w")
    sink = scene.pool.last.sink
    sink.on_head(200, EVENT_STREAM)
    sink.on_data(b"id: 1\n")
    assert runs == []
    sink.on_data(b"data: x\n\n")
    sink.on_data(EVENT % 2)
    sink.on_end()
    assert runs == [("w", 0.0)]


def test_a_stream_that_resumes_elsewhere_counts_there_too():
    """Guards against runs that engines began and nobody counts."""
    scene = Scene(RECORDS)
    runs = watch_runs(scene)
    route = make_route(STREAMING, is_resumable=True)
    scene.start(route, workspace="w")
    for number in (1, 2):
        scene.pool.last.sink.on_head(200, EVENT_STREAM)
        scene.pool.last.sink.on_data(EVENT % number)
        if number == 1:
            scene.pool.last.fail()
    assert runs == [("w", 0.0)] * 2


@pytest.mark.parametrize(
    ("status", "headers", "count"),
    [
        (200, SIGNED, 1),
        (500, SIGNED, 1),
        (503, NOT_RUN, 0),
        (421, SIGNED, 0),
        (200, UNSIGNED, 0),
        (200, OTHER_REQUEST, 0),
    ],
)
def test_a_call_counts_if_an_engine_answered_its_run(status, headers, count):
    """Guards against refusals that count, and answers that do not."""
    scene = Scene([make_record()])
    runs = watch_runs(scene)
    scene.start(make_route(SAFE, max_attempts=1), workspace="w")
    scene.pool.last.sink.on_head(status, headers)
    assert len(runs) == count


@pytest.mark.parametrize(("took", "age"), [(0.03, 0.03), (2.0, CALL_SECONDS)])
def test_a_call_began_at_its_send_or_shortly_before_its_answer(took, age):
    """Guards against calls that wait for a slot and count when sent."""
    scene = Scene([make_record()])
    runs = watch_runs(scene)
    scene.start(make_route(SAFE), workspace="w")
    exchange = scene.pool.last
    scene.timers.advance(took)
    exchange.respond(200, SIGNED, b"x")
    assert runs == [("w", age)]


def test_a_prefill_does_not_count():
    """Guards against requests that count at two engines."""
    records = [make_record("p", stage="prefill"), make_record("d", stage="decode")]
    scene = Scene(records, is_model=True)
    runs = watch_runs(scene)
    scene.start(make_route(STREAMING), workspace="w", prompt_tokens=20_000)
    assert scene.pool.last.sink.is_prefill
    scene.pool.last.respond(200, SIGNED, HANDLE)
    assert not scene.pool.last.sink.is_prefill
    assert runs == []


def test_a_request_through_a_peer_counts_at_the_peer():
    """Guards against requests that two instances count."""
    pair = ProxiedPair(make_route(SAFE))
    runs = []
    for number, scene in enumerate((pair.near, pair.far)):
        context = scene.context._replace(
            record_run=lambda workspace, *, age, number=number: runs.append(number)
        )
        scene.context = pair.forwarders[number].context = context
    _task, reply = pair.call()
    _task, reply_of_peer = pair.deliver()
    pair.at_endpoint.respond(200, SIGNED, b"x")
    pair.answer(reply_of_peer)
    assert reply.status == 200
    assert runs == [1]
