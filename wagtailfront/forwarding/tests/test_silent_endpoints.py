"""Tests of requests whose endpoint sends nothing for a while and goes on."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.placement import DECODE_ENGINE_PREFILL_RATE
from wagtailfront.forwarding.silence_watch import SOUND_SILENCE
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.open_runs import (
    begin_stream,
    event,
    make_engines,
    resumable,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, NOT_RUN, SIGNED

RESUMABLE = resumable(2, timeout=5.0)

SILENCE = 1.3  # seconds; longer than the limit for a silent engine


def end_stream(run, *numbers):
    """Let the engine of an exchange send events and the end."""
    for number in numbers:
        run.sink.on_data(event(number))
    run.sink.on_end()


@pytest.mark.parametrize(("engines", "slack"), [(3, 0), (1, 5)])
def test_begun_stream_is_not_reset_when_it_cannot_be_resumed(engines, slack):
    """Guards a sound engine's stream without a repeat or another engine."""
    scene = Scene(make_engines(engines), is_model=True, slack=slack)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    assert not reply.is_aborted
    end_stream(run, 2)
    assert (reply.body, reply.is_complete) == (event(1) + event(2), True)


def test_begun_stream_is_not_reset_when_other_engines_refuse():
    """Guards a sound engine's stream against those that are full."""
    scene = Scene(make_engines(4), is_model=True, slack=9)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    while scene.pool.last is not run and not scene.pool.last.status:
        scene.pool.last.respond(503, NOT_RUN)
    assert not reply.is_aborted
    end_stream(run, 2)
    assert (reply.body, reply.is_complete) == (event(1) + event(2), True)


def test_call_at_a_silent_endpoint_is_not_failed_when_it_cannot_be_repeated():
    """Guards against 502 for a call that its endpoint would answer."""
    scene = Scene([make_record("e1"), make_record("e2")], slack=0)
    _task, reply = scene.start(make_route(SAFE))
    scene.timers.advance(SILENCE)
    assert reply.status is None
    scene.pool.last.respond(200, SIGNED, b"ok")
    assert (reply.status, reply.body) == (200, b"ok")


def test_silent_engine_that_goes_on_first_keeps_the_stream():
    """Guards against events of two engines in one stream."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    assert other is not run
    run.sink.on_data(event(2))
    assert other.is_cancelled
    end_stream(run, 3)
    assert reply.body == event(1) + event(2) + event(3)
    assert reply.is_complete


def test_engine_that_resumes_a_stream_ends_the_silent_run():
    """Guards against two engines that go on with one stream."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    other.sink.on_head(200, EVENT_STREAM)
    other.sink.on_data(event(2))
    assert run.is_cancelled
    end_stream(other, 3)
    assert reply.body == event(1) + event(2) + event(3)
    assert reply.is_complete


def test_silent_run_that_breaks_off_leaves_the_other_engine_the_stream():
    """Guards a resumed stream against the failure of the run before it."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    run.fail()
    other.sink.on_head(200, EVENT_STREAM)
    end_stream(other, 2)
    assert (reply.body, reply.is_complete) == (event(1) + event(2), True)


@pytest.mark.parametrize("ending", ["deadline", "caller"])
def test_end_of_a_request_cancels_both_of_its_runs(ending):
    """Guards against engines that work for a request that has ended."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, _reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    if ending == "caller":
        run.sink.task.cancel()
    else:
        scene.timers.advance(5.0)
    assert all(e.is_cancelled for e in scene.pool.exchanges if e.status != 200)
    assert scene.context.health.state(run.record.incarnation).outstanding == 0


AFTER_HEAD = {
    "nothing": [],
    "part of an event": [b"id: 2\n"],
    "an earlier event": [event(1)],
    "no event stream": [b"\x00" * 2_000_000],
}


@pytest.mark.parametrize("data", AFTER_HEAD.values(), ids=AFTER_HEAD)
@pytest.mark.parametrize("end", ["silence", "reset"])
def test_sound_engine_keeps_its_stream_until_another_sends_an_event(data, end):
    """Guards against a sound engine given up for the head of another one."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    assert other is not run
    other.sink.on_head(200, EVENT_STREAM)
    for each in data:
        other.sink.on_data(each)
    scene.timers.advance(SOUND_SILENCE - SILENCE)
    if not other.is_cancelled and end == "reset":
        other.fail()
    assert not run.is_cancelled
    end_stream(run, 2, 3)
    assert reply.body == event(1) + event(2) + event(3)
    assert reply.is_complete


@pytest.mark.parametrize("is_model", [True, False])
@pytest.mark.parametrize("has_head", [True, False])
def test_two_engines_work_on_a_stream_for_a_bounded_time(has_head, is_model):
    """Guards against two engines at work on a stream for over 400 ms."""
    records = make_engines(3) if is_model else [make_record("e1"), make_record("e2")]
    scene = Scene(records, is_model=is_model, slack=5)
    begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    while scene.pool.last is run:
        scene.timers.advance(0.01)
    other = scene.pool.last
    if has_head:
        other.sink.on_head(200, EVENT_STREAM)
    prefill = other.sink.uncached_tokens / DECODE_ENGINE_PREFILL_RATE
    scene.timers.advance(0.4 + prefill)
    # Silent for that long, the first engine is not a sound one.
    is_replaced = scene.timers.now - run.sink.last_progress_at > SOUND_SILENCE
    assert (run.is_cancelled, other.is_cancelled) == (is_replaced, not is_replaced)


def test_stream_of_a_dead_engine_goes_on_at_a_slow_one():
    """Guards against a stream that waits for an engine that is gone."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    scene.timers.advance(1.0)
    assert (run.is_cancelled, other.is_cancelled) == (True, False)
    other.sink.on_head(200, EVENT_STREAM)
    end_stream(other, 2)
    assert (reply.body, reply.is_complete) == (event(1) + event(2), True)


def test_silent_engine_that_sends_elsewhere_keeps_its_run():
    """Guards a sound engine that goes on with its other streams first."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    assert scene.pool.last is not run
    run.sink.health.last_response_at = scene.timers.now
    scene.timers.advance(1.0)
    assert not run.is_cancelled


def test_silent_run_is_kept_while_another_engine_is_connected_to():
    """Guards a sound engine's stream against one that cannot be reached."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.pool.is_connected = False
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    assert other is not run
    scene.timers.advance(1.0)
    assert not run.is_cancelled
    other.is_sent = True
    scene.timers.advance(1.0)
    assert run.is_cancelled


def stand_still(scene, seconds):
    """Let time pass in which the instance neither reads nor calls timers."""
    scene.timers.now += seconds
    scene.timers.advance(0.0)


def test_engine_is_not_silent_while_the_instance_stands_still():
    """Guards the repeat budget against a second run of each open stream."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    stand_still(scene, 2.0)
    run.sink.on_data(event(2))
    scene.timers.advance(0.5)
    assert scene.pool.last is run


def test_event_that_arrives_while_the_instance_stands_still_is_in_time():
    """Guards a stream whose first engine never goes on."""
    scene = Scene(make_engines(3), is_model=True, slack=5)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    other = scene.pool.last
    stand_still(scene, 1.0)
    other.sink.on_head(200, EVENT_STREAM)
    other.sink.on_data(event(2))
    assert (run.is_cancelled, other.is_cancelled) == (True, False)
    end_stream(other, 3)
    assert reply.is_complete


OUTCOMES = st.sampled_from(["refuse", "cut", "unsent", "error", "head"])


@settings(max_examples=200)
@given(
    engines=st.integers(1, 5),
    slack=st.integers(0, 6),
    outcomes=st.lists(OUTCOMES, max_size=6),
)
def test_sound_engine_ends_its_stream_whatever_other_engines_do(
    engines, slack, outcomes
):
    """Guards a stream that pauses against any failure at other engines."""
    scene = Scene(make_engines(engines), is_model=True, slack=slack)
    _task, reply = begin_stream(scene, RESUMABLE)
    run = scene.pool.last
    scene.timers.advance(SILENCE)
    for outcome in outcomes:
        other = scene.pool.last
        if other is run or other.is_cancelled or other.status:
            break
        if outcome == "refuse":
            other.respond(503, NOT_RUN)
        elif outcome == "error":
            other.respond(500, SIGNED)
        elif outcome == "head":
            other.sink.on_head(200, EVENT_STREAM)
            other.fail()
        else:
            other.fail(sent=outcome == "cut")
    assert not run.is_cancelled
    end_stream(run, 2, 3)
    assert reply.body == event(1) + event(2) + event(3)
    assert reply.is_complete


def test_flowing_stream_of_a_plain_service_is_not_taken_for_silent():
    """Guards against a second run of a stream that lasts longer than usual."""
    scene = Scene([make_record("e1"), make_record("e2")], slack=5)
    _task, reply = scene.start(RESUMABLE)
    run = scene.pool.last
    run.sink.on_head(200, EVENT_STREAM)
    for number in range(1, 20):
        run.sink.on_data(event(number))
        scene.timers.advance(0.2)
    run.sink.on_end()
    assert reply.is_complete
    assert scene.pool.exchanges == [run]
