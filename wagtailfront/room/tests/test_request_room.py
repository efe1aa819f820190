"""What a request takes at engines, and its wait for room."""

import pytest

from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    Scene,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.membership.messages import (
    EndpointPending,
    WaitingTokens,
    decode_message,
    encode_message,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, HANDLE, SIGNED

PREFILL, DECODE = make_record("p", stage="prefill"), make_record("d", stage="decode")
NEEDED = 1008  # tokens of the prompts below


def make_scene(*records, capacity=1_000_000, **service):
    """Return a scene whose engines have some memory."""
    scene = Scene(list(records), is_model=True)
    scene.service = scene.service._replace(kv_capacity_tokens=capacity, **service)
    return scene


def ask(scene, request_id="r1", *, subject="a", priority=0, time_left=4.0):
    """Send a request with a shared part; return its reply."""
    _task, reply = scene.start(
        make_route(STREAMING, priority=priority),
        request_id=request_id,
        prompt_tokens=1_000,
        parts=make_parts(subject, 800, 200),
        time_left=time_left,
    )
    return reply


def committed(scene, record):
    return scene.context.load.use.committed(record.incarnation)


def answer(exchange):
    """Let an engine answer a request with one event."""
    name = exchange.sink.task.fields.request_id.encode()
    exchange.sink.on_head(200, [(b"X-Request-Id", name), *EVENT_STREAM[1:]])
    exchange.sink.on_data(b"id: 1\ndata: x\n\n")
    exchange.sink.on_end()


def fill(scene, record, tokens, waiting=()):
    """Let a peer report what its requests take at an engine."""
    scene.context.health.state(record.incarnation)
    digest = scene.context.load.make_digest(full=True)
    load = type(digest)(
        incarnation="peer",
        loads=(_pending(record, tokens),) if tokens else (),
        prompts=(),
        is_whole=True,
        waiting=waiting,
    )
    message = decode_message(encode_message(load))
    scene.context.load.merge(message, now=scene.timers.now)
    scene.context.room.waiting.merge(message, now=scene.timers.now)


def _pending(record, tokens):
    return EndpointPending(record.incarnation, 1, (), tokens)


def test_requests_take_memory_until_they_end():
    """Guards against counts that grow, and shared parts that count twice."""
    scene = make_scene(DECODE)
    ask(scene, "r1")
    ask(scene, "r2")
    assert committed(scene, DECODE) == NEEDED + 208
    for exchange in list(scene.pool.exchanges):
        answer(exchange)
    assert committed(scene, DECODE) == 0
    assert not scene.context.load.use.total


@pytest.mark.parametrize("ends", ["taken", "lost"])
def test_a_prefill_engine_holds_the_prompt_until_it_is_taken(ends):
    """Guards against prompts that are forgotten while an engine holds them."""
    scene = make_scene(PREFILL, DECODE, handle_lifetime=5.0)
    scene.context.health.state(DECODE.incarnation)
    scene.context.health.record_prefill_time(
        DECODE, expected=0.1, took=0.8, now=scene.timers.now
    )
    ask(scene)
    assert scene.pool.last.sink.is_prefill
    scene.pool.last.respond(200, SIGNED, HANDLE)
    assert committed(scene, PREFILL) == committed(scene, DECODE) == NEEDED
    if ends == "taken":
        answer(scene.pool.last)
    else:
        scene.timers.advance(4.9)
        assert committed(scene, PREFILL) == NEEDED
        scene.timers.advance(0.2)
    assert committed(scene, PREFILL) == committed(scene, DECODE) == 0


def test_engines_without_room_are_passed_over_while_others_have_it():
    """Guards against a less busy engine that has no memory left."""
    busy = make_record("busy", stage="decode")
    scene = make_scene(DECODE, busy, capacity=2_000)
    scene.context.health.state(busy.incarnation).outstanding = 3
    fill(scene, DECODE, 1_500)
    ask(scene)
    assert scene.pool.last.record == busy


def test_a_request_waits_for_room_and_is_refused_when_its_time_is_up():
    """Guards against requests that engines would preempt or that hang."""
    scene = make_scene(DECODE, capacity=2_000)
    fill(scene, DECODE, 1_500)
    first, second = ask(scene, "r1"), ask(scene, "r2", subject="b", priority=1)
    scene.timers.advance(0.5)
    assert not scene.pool.exchanges
    fill(scene, DECODE, 0)
    scene.timers.advance(0.1)
    assert scene.pool.last.sink.task.fields.request_id == "r1"
    assert first.status is None and second.status is None
    fill(scene, DECODE, 1_500)
    scene.timers.advance(2.5)
    assert second.status == 503
    assert "no_room" in scene.log.kinds()


def test_a_request_is_refused_at_once_if_room_comes_too_late():
    """Guards against callers that wait in vain and are told nothing."""
    scene = make_scene(DECODE, capacity=2_000)
    control = scene.context.room
    control.record_hold("s", tokens=100, seconds=6.0)
    fill(scene, DECODE, 1_500)
    reply = ask(scene, time_left=60.0)
    assert reply.status == 503
    assert float(reply.header(b"Retry-After")) > 0.0


def test_more_urgent_requests_of_peers_come_first():
    """Guards the order over all instances where room is short."""
    scene = make_scene(DECODE, capacity=2_000)
    fill(scene, DECODE, 500, waiting=(WaitingTokens("s", ((3, 1_000),)),))
    ask(scene, "r1", priority=1)
    assert not scene.pool.exchanges
    fill(scene, DECODE, 500)
    scene.timers.advance(0.1)
    assert scene.pool.exchanges


def test_unknown_memory_is_not_checked():
    """Guards deployments that do not name the memory of their engines."""
    scene = make_scene(DECODE, capacity=0)
    for number in range(50):
        ask(scene, f"r{number}")
    assert len(scene.pool.exchanges) == 50
    assert committed(scene, DECODE) == 0
