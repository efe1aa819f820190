"""Tests that endpoints which ask for a pause get no requests meanwhile."""

import itertools
import math
import random
from bisect import bisect_left

import pytest
from hypothesis import given, strategies as st

from wagtailfront.forwarding.endpoint_pauses import MAX_PAUSE, EndpointPauses
from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    UNSAFE,
    FakeReply,
    Scene,
    make_record,
    make_request,
    make_route,
    make_service,
)
from wagtailfront.platform.notices import read_notice
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    NOT_RUN,
    NOT_RUN_UNNAMED,
    SIGNED,
    retry_after_header,
)
from wagtailfront.serving.caller_limits import CallerLimits

# A caller that waits for up to 3 s, and one that does not.
PATIENT = make_route(target_latency=3.0, timeout=20.0)
EVENT = b"id: %d\ndata: x\n\n"


def refusal(seconds):
    """Return the headers of a refusal that asks for a pause."""
    return [*NOT_RUN, retry_after_header(seconds)]


def make_paused(seconds, *, count=1, slack=50):
    """Return a scene whose endpoints e0, e1, ... have asked for a pause."""
    records = [make_record(f"e{number}") for number in range(count)]
    scene = Scene([], slack=slack)
    for record in records:
        scene.directory.replace([record], now=scene.timers.now)
        scene.start(make_route(max_attempts=1))
        scene.pool.last.sink.task.sends = 4  # the refusal ends it
        scene.pool.last.respond(503, refusal(seconds))
    scene.directory.replace(records, now=scene.timers.now)
    scene.pool.exchanges.clear()
    return scene


def arrivals(scene):
    """Return when requests were sent, after the start."""
    return [exchange.sink.started - 100.0 for exchange in scene.pool.exchanges]


@pytest.mark.parametrize("status", [503, 429])
def test_an_endpoint_that_asks_for_a_pause_gets_nothing_until_its_end(status):
    """Guards against requests that the endpoint does not want."""
    scene = Scene([make_record("e1"), make_record("e2")], slack=50)
    scene.start(make_route())
    paused = scene.pool.last.record
    scene.pool.last.respond(status, refusal(4.0))
    scene.pool.last.respond(200, SIGNED, b"ok")
    for _ in range(60):
        scene.start(make_route())
        scene.pool.last.respond(200, SIGNED, b"ok")
        scene.timers.advance(0.1)
    sent = [e.sink.started for e in scene.pool.exchanges[1:] if e.record == paused]
    assert min(sent) >= 104.0
    assert min(sent) < 104.6


@pytest.mark.parametrize("status", [200, 404, 500, 504])
def test_the_header_asks_for_no_pause_on_other_answers(status):
    """Guards an endpoint that works against a header without that meaning."""
    scene = Scene([make_record("e1")])
    scene.start(make_route(UNSAFE))
    scene.pool.last.respond(status, [*SIGNED, retry_after_header(5.0)])
    assert scene.context.notices.wait("e1/1") == 0.0


def test_the_latest_of_several_ends_counts_and_no_answer_ends_a_pause():
    """Guards against answers on other connections that come later."""
    scene = Scene([make_record("e1")])
    route = make_route(UNSAFE, max_attempts=1, timeout=3.0)
    tasks = [scene.start(route) for _ in range(4)]
    first, shorter, plain, served = scene.pool.exchanges
    first.respond(503, refusal(4.0))
    shorter.respond(503, refusal(1.0))
    plain.respond(503, NOT_RUN)
    served.respond(200, SIGNED, b"ok")
    assert scene.context.notices.wait("e1/1") >= 4.0
    assert [reply.status for _task, reply in tasks] == [503, 503, 503, 200]


def test_a_request_waits_for_the_end_of_a_pause_if_it_is_still_in_time():
    """Guards requests against a refusal that nothing calls for."""
    scene = make_paused(2.0)
    _task, reply = scene.start(PATIENT)
    scene.timers.advance(2.3)
    assert [2.0 <= at <= 2.25 for at in arrivals(scene)] == [True]
    scene.pool.last.respond(200, SIGNED, b"ok")
    assert reply.status == 200


def test_a_request_that_cannot_wait_is_refused_at_once_with_the_earliest_end():
    """Guards against a queue of requests that would all be late.

    A caller that leaves after two seconds without an event can return later.
    """
    scene = make_paused(3.5, count=2)
    scene.timers.advance(1.0)
    _task, reply = scene.start(make_route(STREAMING, timeout=9.0))
    assert reply.status == 503
    assert 2.5 <= float(reply.header(b"Retry-After")) <= 3.0
    assert scene.pool.exchanges == []


@pytest.mark.parametrize("kind", [SAFE, UNSAFE])
def test_a_call_that_cannot_wait_is_refused_at_once(kind):
    """Guards callers against a return after their deadline."""
    scene = make_paused(3.0, count=2)
    scene.timers.advance(1.0)
    _task, reply = scene.start(make_route(kind, timeout=1.9))
    assert reply.status == 503
    assert reply.header(b"Retry-After") is None
    assert scene.pool.exchanges == []


@pytest.mark.parametrize("target", [0.01, 0.1, 5.0])
def test_a_call_waits_for_an_endpoint_whatever_its_target(target):
    """Guards callers that have time against a refusal after the target."""
    scene = make_paused(1.0)
    _task, reply = scene.start(make_route(UNSAFE, target_latency=target))
    scene.timers.advance(1.3)
    scene.pool.last.respond(200, SIGNED, b"ok")
    assert reply.status == 200


def test_a_request_does_not_wait_if_another_endpoint_takes_it():
    """Guards against waits for an endpoint that others could replace."""
    scene = make_paused(1.0)
    records = [make_record("e0"), make_record("e9")]
    scene.directory.replace(records, now=scene.timers.now)
    for _ in range(20):
        scene.start(PATIENT)
    assert {e.record.endpoint_id for e in scene.pool.exchanges} == {"e9"}
    assert len(scene.pool.exchanges) == 20


def test_a_request_tries_a_full_endpoint_again_rather_than_wait_too_long():
    """Guards against a refusal as the only untried endpoint pauses."""
    scene = make_paused(9.0)
    full = make_record("e9")
    records = [make_record("e0"), full]
    scene.directory.replace(records, now=scene.timers.now)
    scene.start(make_route())
    scene.pool.last.respond(503, NOT_RUN)
    assert [exchange.record for exchange in scene.pool.exchanges] == [full, full]


def test_a_request_that_waits_is_placed_again_when_a_pause_becomes_longer():
    """Guards against a send that was arranged for the earlier end."""
    scene = make_paused(1.0)
    _task, reply = scene.start(PATIENT)
    notice = read_notice([retry_after_header(30.0)])
    scene.context.notices.record_answer(make_record("e0"), notice, status=503)
    scene.timers.advance(2.0)
    assert (scene.pool.exchanges, reply.status) == ([], 503)


@pytest.mark.parametrize(
    "headers",
    [
        [*NOT_RUN_UNNAMED, retry_after_header(9.0)],
        [(b"X-Request-Id", b"other"), retry_after_header(9.0)],
    ],
)
def test_a_copy_of_a_refusal_begins_and_lengthens_no_pause(headers):
    """Guards an endpoint against an answer to an earlier request."""
    scene = Scene([make_record("e1")])
    scene.start(make_route(UNSAFE))
    scene.pool.last.is_first = False
    scene.pool.last.sink.on_head(503, headers)
    assert scene.context.notices.wait("e1/1") == 0.0


def test_an_endpoint_that_asks_for_a_pause_does_not_count_as_failed_or_slow():
    """Guards the endpoint's share of the work after its pause."""
    scene = Scene([make_record("e1")])
    scene.start(make_route())
    before = scene.context.health.slowness(make_record("e1"), now=100.0)
    scene.pool.last.respond(503, refusal(1.0))
    state = scene.context.health.state("e1/1")
    assert (state.failures_in_row, state.failure_share) == (0, 0.0)
    after = scene.context.health.slowness(make_record("e1"), now=100.0)
    assert (after, state.avoid_until < 101.0) == (before, True)


def test_a_new_configuration_does_not_end_a_pause():
    """Guards against state that a reload of settings resets."""
    scene = make_paused(5.0)
    forwarder = Forwarder(context=scene.context)
    replies = []
    for version in (1, 2):
        config = RoutingConfig(
            version, (make_route(),), {"s": make_service()}, CallerLimits()
        )
        assert forwarder.apply_config(config)
        replies.append(FakeReply())
        headers = [(b"Host", b"h"), (b"X-Request-Id", b"r9")]
        forwarder.accept(make_request(headers=headers), replies[-1])
    assert [reply.status for reply in replies] == [503, 503]
    assert scene.pool.exchanges == []


@pytest.mark.parametrize("record", [make_record("e0", started_ms=2), make_record("e9")])
def test_a_new_incarnation_at_the_same_address_does_not_pause(record):
    """Guards an endpoint against what the one before it said."""
    scene = make_paused(30.0)
    scene.directory.replace([record], now=scene.timers.now)
    scene.start(make_route())
    assert scene.pool.last.record == record


def test_an_entry_that_lapses_does_not_end_a_pause():
    """Guards against a registry that loses entries while it is down."""
    scene = make_paused(30.0)
    for record in scene.directory.replace([], now=scene.timers.now).gone:
        scene.context.notices.forget(record)
    scene.directory.replace([make_record("e0")], now=scene.timers.now)
    scene.start(make_route())
    assert scene.pool.exchanges == []


def test_a_stream_does_not_resume_at_an_engine_that_pauses():
    """Guards the endpoint against work that comes back by another way."""
    engines = [make_record(f"d{number}", stage="decode") for number in range(2)]
    scene = Scene(engines, is_model=True)
    route = make_route(STREAMING, is_resumable=True, max_attempts=4)
    _task, reply = scene.start(route, prompt_tokens=100)
    broken = scene.pool.last
    broken.sink.on_head(200, EVENT_STREAM)
    broken.sink.on_data(EVENT % 1)
    other = next(engine for engine in engines if engine != broken.record)
    notice = read_notice([retry_after_header(30.0)])
    scene.context.notices.record_answer(other, notice, status=503)
    broken.fail()
    scene.timers.advance(0.1)
    assert {exchange.record for exchange in scene.pool.exchanges} == {broken.record}


def test_a_prefill_that_is_refused_with_a_pause_is_done_elsewhere():
    """Guards a prompt, and the engine that turned it away."""
    engines = [
        *(make_record(f"p{number}", stage="prefill") for number in range(2)),
        make_record("d1", stage="decode"),
    ]
    scene = Scene(engines, is_model=True, slack=50)
    route = make_route(STREAMING, target_latency=9.0, timeout=30.0)
    _task, reply = scene.start(route, prompt_tokens=20_000)
    paused = scene.pool.last.record
    scene.pool.last.respond(503, refusal(8.0))
    assert scene.pool.last.record.stage == "decode"
    for _ in range(10):
        scene.start(route, prompt_tokens=20_000)
        scene.timers.advance(0.1)
    assert paused not in [exchange.record for exchange in scene.pool.exchanges[1:]]


def test_admission_counts_when_the_only_decode_engine_is_back():
    """Guards against prompts whose callers leave before their first event."""
    engines = [make_record("p1", stage="prefill"), make_record("d1", stage="decode")]
    scene = Scene(engines, is_model=True)
    notice = read_notice([retry_after_header(1.0)])
    scene.context.notices.record_answer(engines[1], notice, status=503)
    _task, reply = scene.start(make_route(STREAMING), prompt_tokens=100)
    assert reply.status is None
    scene.pool.exchanges.clear()
    notice = read_notice([retry_after_header(3.0)])
    scene.context.notices.record_answer(engines[1], notice, status=503)
    _task, reply = scene.start(make_route(STREAMING), prompt_tokens=100)
    assert (reply.status, scene.pool.exchanges) == (503, [])
    _task, reply = scene.start(PATIENT._replace(kind=STREAMING), prompt_tokens=100)
    assert reply.status is None


@pytest.mark.parametrize("seconds", [0.5, 2.0])
def test_work_returns_without_a_rush_when_ten_pauses_end_together(seconds):
    """Guards engines that were full against all waiting requests at once."""
    scene = make_paused(seconds, count=10, slack=500)
    for _ in range(200):
        scene.start(PATIENT)
    scene.timers.advance(4.0)
    sent = arrivals(scene)
    assert len(sent) == 200
    assert min(sent) >= seconds
    assert max(bisect_left(sent, at + 0.1) - n for n, at in enumerate(sent)) <= 30
    assert max(sent) <= seconds + 1.1
    by_endpoint = {}
    for exchange in scene.pool.exchanges:
        times = by_endpoint.setdefault(exchange.record, [])
        times.append(exchange.sink.started)
    gaps = [
        later - earlier
        for times in by_endpoint.values()
        for earlier, later in itertools.pairwise(times)
    ]
    assert min(gaps) >= 0.04 - 1e-6


def play_pause(stated, *, seconds, repeated=None):
    """Return when an endpoint that refuses all requests gets them.

    Parameters
    ----------
    stated : float
        Seconds for which it asks at first.
    seconds : float
        Length of the play.
    repeated : float, optional
        Seconds for which each later refusal asks; they ask for nothing by
        default.
    """
    pauses = EndpointPauses(rng=random.Random(1))
    pauses.begin("e1/1", stated, now=0.0)
    sent, now = [], 0.0
    while now < seconds:
        if not pauses.wait("e1/1", now=now):
            pauses.reserve("e1/1", now=now)
            sent.append(now)
            pauses.begin("e1/1", repeated or 0.0, now=now)
        now += 0.5
    return sent


@pytest.mark.parametrize("repeated", [None, 10.0, 500.0, 2000.0])
@pytest.mark.parametrize("stated", [299.0, 301.0, 700.0, 1000.0, 5000.0])
def test_no_third_request_arrives_in_the_pause_that_was_asked_for(stated, repeated):
    """Guards an endpoint that means a long pause."""
    sent = play_pause(stated, seconds=6000.0, repeated=repeated)
    assert sum(at < stated for at in sent) <= 2
    # After its last refusal an endpoint without a new pause gets work again.
    assert repeated or any(at <= stated + 1.0 for at in sent if at >= stated)
    windows = [(at, at + repeated) for at in sent] if repeated else []
    assert all(sum(a < other < b for other in sent) <= 2 for a, b in windows)


@pytest.mark.parametrize("trial", [0, 1])
def test_an_odd_endpoint_does_not_lose_its_service_for_ever(trial):
    """Guards against one mistaken value that keeps an endpoint out."""
    sent = play_pause(math.inf, seconds=3000.0)
    assert [300.0 <= sent[0] <= 301.0, 600.0 <= sent[1] <= 602.0] == [True, True]
    pauses = EndpointPauses(rng=random.Random(1))
    assert pauses.begin("e1/1", math.inf, now=0.0)
    for at in sent[: trial + 1]:
        assert pauses.reserve("e1/1", now=at) == 0.0
    assert not pauses.record_served("e1/1", sent=100.0, now=1000.0)
    assert pauses.record_served("e1/1", sent=sent[trial], now=1000.0)
    assert pauses.wait("e1/1", now=1000.0) == 0.0
    assert not pauses.is_paused("e1/1", now=1000.0)


TEXTS = st.one_of(
    st.sampled_from(
        ["", "1", "0", "-1", "+1", "nan", "inf", "-inf", "Infinity", "1e3", "1_0", "."]
    ),
    st.sampled_from(["Fri, 31 Dec 1999 23:59:59 GMT", "9" * 400, "0x10", "1 2", "٣"]),
    st.floats(0, 1e9).map("{:f}".format),
    st.text(max_size=20),
)


@given(values=st.lists(TEXTS, max_size=3), status=st.sampled_from([200, 429, 503]))
def test_any_value_leaves_a_bounded_pause_and_at_most_one_line_of_complaint(
    values, status
):
    """Guards requests against values that nobody expected."""
    scene = Scene([make_record("e1")])
    pairs = [(b"retry-after", v.encode("utf-8", "surrogatepass")) for v in values]
    for _ in range(5):
        scene.context.notices.record_answer(
            make_record("e1"), read_notice(pairs), status=status
        )
    wait = scene.context.notices.wait("e1/1")
    assert 0.0 <= wait <= MAX_PAUSE + 0.25
    stated = read_notice(pairs).retry_after
    if status == 200 or not stated:
        assert wait == 0.0
    else:
        assert wait >= min(stated, MAX_PAUSE)
    lines = [line for line in scene.log if line[0] == "endpoint_notice_unreadable"]
    assert len(lines) <= 1
    assert all(line[1] == "e1" for line in lines)
    scene.timers.advance(MAX_PAUSE + 1.0)
    assert scene.context.notices.wait("e1/1") == 0.0
