"""Tests of two open runs of one request, in any order of what happens."""

import re

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.silence_watch import ENGINE_SILENCE
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    UNSAFE,
    Scene,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.open_runs import (
    LAST,
    Engine,
    begin_stream,
    count_spent,
    event,
    make_engines,
    open_exchanges,
    resumable,
)
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    NOT_RUN,
    SIGNED,
    SIGNED_ONLY,
)

ENDS = ("answered", "cancelled", "cut", "failed", "refused")
SILENCE = 1.3  # seconds; longer than the limit for a silent engine


def test_third_engine_does_not_join_two_open_runs():
    """Guards against pieces of two runs in one stream."""
    scene = Scene(make_engines(4), is_model=True, slack=9)
    task, reply = begin_stream(scene, resumable(3))
    first = scene.pool.last
    scene.timers.advance(SILENCE)
    second = scene.pool.last
    assert second is not first
    scene.timers.advance(ENGINE_SILENCE + 2 * second.sink.expected)
    assert len(open_exchanges(scene)) == 2
    earlier = open_exchanges(scene)[0]
    earlier is first or earlier.sink.on_head(200, EVENT_STREAM)
    earlier.sink.on_data(event(2))
    assert reply.body == event(1) + event(2)
    assert open_exchanges(scene) == [earlier]
    task.cancel()
    assert not open_exchanges(scene)
    assert first.is_cancelled


def test_run_given_up_for_a_silent_one_is_charged():
    """Guards the budget: every run beyond the first is a repeat."""
    scene = Scene(make_engines(4), is_model=True, slack=9)
    _task, _reply = begin_stream(scene, resumable(4))
    first, number = scene.pool.last, 2
    for _ in range(3):
        scene.timers.advance(SILENCE)
        first.sink.on_data(event(number))
        number += 1
    runs = [e for e in scene.pool.exchanges if not e.sink.is_prefill]
    assert len(runs) > 2
    assert len(scene.context.budgets["s"].repeats) == len(runs) - 1


def test_updated_entry_of_a_silent_engine_gets_no_second_run():
    """Guards against a second run at the engine that has the first."""
    scene = Scene([make_record("d0", stage="decode")], is_model=True, slack=9)
    begin_stream(scene, resumable(3))
    scene.directory.replace(
        [make_record("d0", stage="decode", is_leaving=False, slots=5)],
        now=scene.timers.now,
    )
    scene.timers.advance(1.0 + 2 * scene.pool.last.sink.expected)
    assert len(scene.pool.exchanges) == 1


@pytest.mark.parametrize("kind", [SAFE, UNSAFE])
def test_slow_call_counts_as_one_failure_of_its_endpoint(kind):
    """Guards sound endpoints against calls that take long."""
    scene = Scene([make_record("e1")], slack=9)
    scene.start(make_route(kind, timeout=20.0, target_latency=0.4))
    scene.timers.advance(10.0)
    state = scene.context.health.state(scene.pool.last.record.incarnation)
    assert state.failures_in_row <= 1


def test_budget_is_not_spent_if_no_engine_can_decode():
    """Guards the budget against repeats that are never sent."""
    scene = Scene(make_engines(1), is_model=True, slack=9)
    begin_stream(scene, resumable(3))
    scene.timers.advance(5.0)
    assert not scene.context.budgets["s"].repeats


def test_silent_prefill_is_waited_for_if_it_cannot_be_repeated():
    """Guards a sound engine's prefill against an empty budget."""
    scene = Scene(make_engines(2), is_model=True, slack=0)
    _task, reply = scene.start(
        resumable(3), prompt_tokens=20_000, parts=make_parts("a", 19_000, 1000)
    )
    prefill = scene.pool.last
    assert prefill.sink.is_prefill
    expected = prefill.sink.expected
    scene.timers.advance(ENGINE_SILENCE + 0.05 + 2 * expected)
    assert (reply.status, prefill.is_cancelled) == (None, False)


@pytest.mark.parametrize("slack", [0, 9])
@pytest.mark.parametrize("gone_at", range(20))
def test_engine_that_left_the_registry_is_not_silent_at_once(gone_at, slack):
    """Guards a stream that flows from an engine whose entry is gone."""
    scene = Scene(make_engines(3), is_model=True, slack=slack)
    _task, reply = begin_stream(scene, resumable(3))
    run = scene.pool.last
    before = len(scene.pool.exchanges)
    for step in range(20):
        scene.timers.advance(0.1)
        run.sink.on_data(event(2 + step))
        if step == gone_at:
            scene.directory.replace(
                [r for r in make_engines(3) if r != run.record], now=scene.timers.now
            )
            scene.context.health.forget(run.record)
    assert not reply.is_aborted
    assert len(scene.pool.exchanges) == before


def test_late_refusal_by_the_only_run_is_passed_on_as_a_refusal():
    """Guards the refusal of a call that no endpoint ran."""
    scene = Scene([make_record("e1"), make_record("e2")], slack=9)
    _task, reply = scene.start(make_route(SAFE))
    scene.timers.advance(SILENCE)
    for exchange in open_exchanges(scene):
        exchange.respond(503, NOT_RUN)
    while reply.status is None and open_exchanges(scene):
        scene.pool.last.respond(503, NOT_RUN)
    assert reply.status == 503


@pytest.mark.parametrize("is_begun", [True, False])
def test_head_of_the_next_engine_bounds_the_time_of_two_runs(is_begun):
    """Guards against two engines at work on a stream for over 400 ms."""
    scene = Scene(make_engines(3), is_model=True, slack=9)
    begin_stream(scene, resumable(2), is_begun)
    first = scene.pool.last
    scene.timers.advance(3 * SILENCE)
    second = scene.pool.last
    assert second is not first
    second.sink.on_head(200, EVENT_STREAM)
    second.sink.on_data(b"id: 2\n")
    scene.timers.advance(0.4)
    assert first.is_cancelled or second.is_cancelled


ACTIONS = st.sampled_from(
    ["event", "two", "part", "head", "refuse", "error", "cut", "end", "silence"]
    + ["silence", "unsent", "wait", "leave", "join"]
)


@settings(max_examples=400, deadline=None)
@given(
    engines=st.integers(1, 4),
    slack=st.sampled_from([0, 1, 2, 9]),
    max_attempts=st.integers(1, 4),
    is_begun=st.booleans(),
    steps=st.lists(st.tuples(ACTIONS, st.integers(0, 1)), max_size=25),
)
def test_interleavings(engines, slack, max_attempts, is_begun, steps):
    """Guards the order, the number of runs and the counters."""
    scene = Scene(make_engines(engines), is_model=True, slack=slack)
    count_spent(scene)
    task, reply = begin_stream(scene, resumable(max_attempts), is_begun=False)
    models = {}

    def engine(exchange):
        return models.setdefault(id(exchange), Engine(exchange))

    if is_begun:
        engine(scene.pool.last).act("event")
    for action, which in steps:
        if task.is_done:
            break
        if action == "silence":
            scene.timers.advance(1.5)
        elif action == "wait":
            scene.timers.advance(0.2)
        elif action == "join":
            scene.directory.replace(make_engines(engines), now=scene.timers.now)
        else:
            exchanges = open_exchanges(scene)
            if exchanges and action == "leave":
                _remove(scene, exchanges[which % len(exchanges)].record)
            elif exchanges:
                engine(exchanges[which % len(exchanges)]).act(action)
        _check(scene, task, reply, slack, max_attempts)
    task.cancel()
    _check(scene, task, reply, slack, max_attempts)


def _remove(scene, record):
    """Remove an endpoint from the registry."""
    records = scene.directory.records.values()
    scene.directory.replace(
        [r for r in records if r.endpoint_id != record.endpoint_id],
        now=scene.timers.now,
    )


def _check_progress(scene, task, reply):
    """Check that a request is under way, or has ended exactly once."""
    attempts = (task.attempt, task.silence.held)
    known = {id(a.exchange) for a in attempts if a is not None}
    assert {id(e) for e in open_exchanges(scene)} == known, "unknown open exchange"
    assert known or task.is_done or _has_pending_send(scene, task), "stranded"
    assert len(scene.done) == task.is_done
    ends = [kind for kind in scene.log.kinds() if kind in ENDS]
    assert len(ends) == task.is_done, ends
    if ends != ["cancelled"]:
        assert reply.is_complete + reply.is_aborted == task.is_done
    return known


def _has_pending_send(scene, task):
    """Return whether a send waits for a rate limit or a pause."""
    callbacks = [
        getattr(timer.callback, "args", ())
        for due, _number, timer in scene.timers.waiting
        if timer in task.timers and due <= task.deadline
    ]
    return any("RequestSender.send" in repr(each) for each in callbacks)


def _check(scene, task, reply, slack, max_attempts):
    is_open = open_exchanges(scene)
    known = _check_progress(scene, task, reply)
    outstanding = sum(s.outstanding for s in scene.context.health.states.values())
    assert outstanding == len(is_open), "outstanding"
    ids = [int(i) for i in re.findall(rb"id: (\d+)", reply.body)]
    if reply.status in (None, 200):
        assert ids == list(range(1, len(ids) + 1)), "order"
        if reply.is_complete:
            assert len(ids) == LAST, "short"
    runs = [e for e in scene.pool.exchanges if not e.sink.is_prefill]
    ran = [e for e in runs if not (e.status == 503)]
    assert len({e.record.endpoint_id for e in ran}) <= max_attempts, "max_attempts"
    if reply.status == 503:
        assert not ran, "refused a run"
    assert len(task.log.context.evidence.in_flight) <= len(known)
    assert not task.is_done or not is_open
    arrived = len(runs)
    prefills = [
        e for e in scene.pool.exchanges if e.sink.is_prefill and e.status != 200
    ]
    arrived += len([e for e in prefills if getattr(e, "is_over", False) or e.status])
    spent = scene.spent
    assert arrived - 1 <= spent, f"budget: {arrived} arrived, {spent} spent"


def test_counters_of_an_engine_that_left_are_not_negative():
    """Guards the load of an engine whose entry comes back."""
    scene = Scene(make_engines(3), is_model=True, slack=9)
    task, _reply = begin_stream(scene, resumable(3))
    record = scene.pool.last.record
    scene.context.health.forget(record)
    task.cancel()
    assert scene.context.health.state(record.incarnation).outstanding == 0


CALLS = st.sampled_from(["ok", "part", "refuse", "error", "cut", "unnamed", "wait"])


@settings(max_examples=300, deadline=None)
@given(
    engines=st.integers(1, 4),
    slack=st.sampled_from([0, 1, 9]),
    max_attempts=st.integers(1, 4),
    kind=st.sampled_from([SAFE, UNSAFE]),
    rate=st.sampled_from([0, 2, 20]),
    steps=st.lists(st.tuples(CALLS, st.integers(0, 2)), max_size=20),
)
def test_interleavings_of_calls(engines, slack, max_attempts, kind, rate, steps):
    """Guards unsafe calls, refusals, memory and limits of rates."""
    scene = Scene([make_record(f"e{i}") for i in range(engines)], slack=slack)
    route = make_route(kind, max_attempts=max_attempts, timeout=20.0)
    context = scene.context
    count_spent(scene)
    if rate:
        wait, until = context.rate_limits, {}

        def limited(incarnation, *, now):
            return max(0.0, until.get(incarnation, 0.0) - now)

        def reserve(incarnation, *, now):
            until[incarnation] = max(now, until.get(incarnation, 0.0)) + 1 / rate

        wait.wait, wait.reserve = limited, reserve
    task, reply = scene.start(route)
    for action, which in steps:
        if task.is_done:
            break
        exchanges = open_exchanges(scene)
        if action == "wait" or not exchanges:
            scene.timers.advance(0.45)
        else:
            _act_call(exchanges[which % len(exchanges)], action)
        _check_calls(scene, task, reply, route)
    if not task.is_done:
        scene.timers.advance(30.0)
    _check_calls(scene, task, reply, route)
    assert task.is_done
    assert context.body_memory.total == 0
    assert reply.is_complete


def _act_call(exchange, action):
    sink = exchange.sink
    if action == "part":
        if not sink.status:
            sink.on_head(200, SIGNED)
        sink.on_data(b"x" * 10)
        return
    exchange.is_over = True
    exchange.has_run = action != "refuse" or bool(sink.status)
    if action == "cut" or (sink.status and action != "ok"):
        sink.on_failure("reset", True)
    elif action == "ok" and sink.status:
        sink.on_end()
    else:
        status, headers = {
            "ok": (200, SIGNED),
            "refuse": (503, NOT_RUN),
            "error": (500, SIGNED),
            "unnamed": (200, SIGNED_ONLY),
        }[action]
        exchange.respond(status, headers)


def _check_calls(scene, task, reply, route):
    is_open = open_exchanges(scene)
    _check_progress(scene, task, reply)
    exchanges = scene.pool.exchanges
    ran = [e for e in exchanges if getattr(e, "has_run", True)]
    assert len({e.record.endpoint_id for e in ran}) <= route.max_attempts
    if not route.may_repeat:
        assert len(ran) <= 1, "unsafe call ran twice"
    if reply.status == 503:
        assert not ran, "refused a run"
    outstanding = sum(s.outstanding for s in scene.context.health.states.values())
    assert outstanding == len(is_open), "outstanding"
    spent = scene.spent
    assert len(exchanges) - 1 <= spent, f"{len(exchanges)} sent, {spent} spent"


def test_two_runs_that_both_go_on_are_not_joined():
    """Guards the order: the run before the last two is still open."""
    scene = Scene(make_engines(4), is_model=True, slack=9)
    task, reply = begin_stream(scene, resumable(3))
    first = scene.pool.last
    scene.timers.advance(SILENCE)
    second = scene.pool.last
    scene.timers.advance(ENGINE_SILENCE + 2 * second.sink.expected)
    third = scene.pool.last
    third is first or third.sink.on_head(200, EVENT_STREAM)
    for exchange in dict.fromkeys((first, third)):
        if not exchange.is_cancelled:
            exchange.sink.on_data(event(2))
    assert reply.body == event(1) + event(2)
    task.cancel()
    first.is_cancelled or first.sink.on_data(event(3))
    assert first.is_cancelled


@pytest.mark.parametrize("decoding", [1, 3])
def test_paused_engines_that_decode_are_used_if_all_others_prefill(decoding):
    """Guards requests while all engines that decode pause."""
    scene = Scene(make_engines(decoding), is_model=True, slack=9)
    for record in make_engines(decoding)[1:]:
        scene.context.health.record_failure(record, now=scene.timers.now)
    task, reply = scene.start(
        resumable(3), prompt_tokens=2000, parts=make_parts("a", 1000, 1000)
    )
    assert reply.status is None
    task.cancel()


def test_stream_of_a_crashed_engine_goes_on_at_one_that_refused_before():
    """Guards a begun stream: engines that prefill are no other engines."""
    scene = Scene(make_engines(2), is_model=True, slack=9)
    _task, reply = begin_stream(scene, resumable(4))
    scene.pool.last.fail()
    other = scene.pool.last
    other.respond(503, NOT_RUN)
    assert not reply.is_aborted
