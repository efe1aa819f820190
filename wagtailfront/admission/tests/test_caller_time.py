"""Tests that admission follows from the time that the caller has."""

from hypothesis import given, settings, strategies as st

from wagtailfront.admission.tests.prompt_scene import (
    ask,
    complete,
    forget_prefills,
    make_scene,
    set_queue,
)
from wagtailfront.forwarding.tests.builders import Scene, make_record
from wagtailfront.platform.tests.wire import NOT_RUN

# Callers wait two seconds for a first event at targets of up to half a second.
TARGETS = st.floats(0.01, 0.5)
TIMEOUTS = st.floats(0.5, 60.0)


@settings(max_examples=200, deadline=None)
@given(
    queue=st.floats(0.0, 8.0),
    time_left=st.floats(0.1, 8.0),
    targets=st.tuples(TARGETS, TARGETS),
    timeouts=st.tuples(TIMEOUTS, TIMEOUTS),
    priority=st.integers(0, 3),
)
def test_equal_time_work_and_rank_get_equal_answers(
    queue, time_left, targets, timeouts, priority
):
    """Guards first tries against repeats, and either against the target.

    The share of its timeout that a caller has left tells one from the other.
    """
    answers = set()
    for target, timeout in zip(targets, timeouts, strict=True):
        scene = make_scene()
        set_queue(scene, queue, priority=priority)
        _task, answer = ask(
            scene,
            time_left=time_left,
            target_latency=target,
            timeout=max(timeout, time_left),
            priority=priority,
        )
        answers.add(answer)
    assert len(answers) == 1


def test_a_request_is_served_while_its_caller_waits():
    """Guards callers with two seconds against a refusal after the target."""
    scene = make_scene()
    set_queue(scene, 1.5)
    _task, answer = ask(scene, time_left=5.0, target_latency=0.25, timeout=5.0)
    assert answer.is_sent


def test_a_request_is_refused_if_its_caller_would_leave():
    """Guards engines against prompts that are prefilled in vain."""
    scene = make_scene()
    set_queue(scene, 2.2)
    _task, answer = ask(scene, time_left=6.0)
    assert not answer.is_sent
    assert 0.2 <= float(answer.retry_after) < 0.25


def test_a_refused_caller_that_returns_as_told_is_served():
    """Guards callers against a second refusal for the same queue."""
    scene = make_scene()
    set_queue(scene, 3.0)
    _task, answer = ask(scene, time_left=6.0)
    delay = float(answer.retry_after)
    assert delay <= 6.0 / 3
    set_queue(scene, 3.0 - delay)
    _task, answer = ask(scene, time_left=6.0 - delay)
    assert answer.is_sent


def test_a_caller_without_enough_time_is_not_told_to_return():
    """Guards callers against a return that ends in a second refusal."""
    scene = make_scene()
    set_queue(scene, 3.0)
    for time_left in (2.5, 2.9):
        _task, answer = ask(scene, time_left=time_left)
        assert answer == (False, None)


def test_the_output_must_end_before_the_deadline():
    """Guards engines against streams that are cut at the deadline."""
    scene = make_scene()
    ask(scene, time_left=5.0, output_tokens=100)
    complete(scene, first_event=0.0, output=1.0)
    assert ask(scene, time_left=1.5, output_tokens=100)[1].is_sent
    assert not ask(scene, time_left=1.5, output_tokens=200)[1].is_sent


def test_the_measured_error_of_forecasts_counts():
    """Guards callers where queues take longer than forecast."""
    scene = make_scene()
    for _ in range(20):
        set_queue(scene, 0.5)
        ask(scene, time_left=5.0)
        complete(scene, first_event=0.9, output=0.0)
        forget_prefills(scene)
    set_queue(scene, 1.8)
    assert not ask(scene, time_left=5.0)[1].is_sent
    scene.timers.advance(60.0)
    set_queue(scene, 1.8)
    assert ask(scene, time_left=5.0)[1].is_sent


def test_a_repeat_of_the_instance_is_refused_if_its_caller_would_leave():
    """Guards callers against waits after an endpoint that took no work."""
    scene = make_scene()
    task, answer = ask(scene, time_left=5.0)
    assert answer.is_sent
    scene.timers.advance(1.5)
    set_queue(scene, 1.0)
    scene.pool.last.respond(503, NOT_RUN)
    assert task.reply.status == 503


def test_a_caller_that_leaves_without_an_event_shows_the_error():
    """Guards against an error that only answered requests would show."""
    scene = make_scene()
    for _ in range(20):
        set_queue(scene, 0.5)
        task, _answer = ask(scene, time_left=5.0)
        scene.timers.advance(2.0)
        task.cancel()
    set_queue(scene, 1.2)
    assert not ask(scene, time_left=5.0)[1].is_sent


def test_nothing_is_refused_by_a_nominal_time():
    """Guards the first callers of engines whose speed is not known."""
    scene = Scene([make_record("e1", stage="decode")], is_model=True)
    set_queue(scene, 9.0)
    assert ask(scene, time_left=5.0)[1].is_sent
