"""Tests of directory, budget, health and fleet load without a network."""

import random
import socket
from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from wagtailfront.forwarding.attempt_budget import AttemptBudget
from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.endpoint_pool import EndpointPool, max_idle_connections
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.placement import (
    DECODE_ENGINE_PREFILL_RATE,
    HANDOVER_SECONDS,
    EngineView,
    choose_decode_engine,
    choose_least_loaded,
    plan_model_request,
)
from wagtailfront.forwarding.tests.builders import VirtualTimers, make_record


def test_a_leaving_endpoint_gets_no_new_work():
    """Guards against work for an endpoint that is draining."""
    directory = EndpointDirectory()
    record = make_record()
    directory.replace([record], now=0.0)
    change = directory.replace([record._replace(is_leaving=True)], now=1.0)
    assert [r.endpoint_id for r in change.leaving] == ["e1"]
    assert directory.find("s") == ()
    assert not directory.is_current(record)


def test_an_endpoint_that_is_missing_is_gone_at_once_without_an_outage():
    """Guards against work for an endpoint that left without notice."""
    directory = EndpointDirectory()
    directory.replace([make_record()], now=0.0)
    assert directory.replace([], now=0.8).gone
    assert directory.find("s") == ()


def test_entries_that_lapsed_in_an_outage_have_time_to_return():
    """Guards endpoints whose entries expired during a store outage."""
    directory = EndpointDirectory()
    directory.replace([make_record()], now=0.0)
    assert not directory.replace([], now=6.0, is_after_outage=True).gone
    assert not directory.replace([], now=7.9).gone
    assert directory.find("s")
    assert directory.replace([], now=8.1).gone


def test_a_restart_under_the_same_id_is_another_incarnation():
    """Guards against treating a restarted endpoint as the old one."""
    directory = EndpointDirectory()
    old = make_record()
    directory.replace([old], now=0.0)
    change = directory.replace([old._replace(started_ms=2)], now=1.0)
    assert len(change.added) == 1
    assert not directory.is_current(old)


@given(
    instances=st.integers(1, 8),
    events=st.lists(
        st.tuples(st.integers(0, 7), st.booleans(), st.floats(0, 1)), max_size=200
    ),
)
def test_budgets_of_all_instances_keep_the_common_limit(instances, events):
    """Repeated attempts in a window stay within the share of its requests."""
    share, slack, window = 0.2, 16, 10.0
    budgets = [
        AttemptBudget(
            share=share,
            slack=slack,
            window=window,
            started=-window,
            count_instances=lambda: instances,
        )
        for _ in range(instances)
    ]
    now, requests, repeats = 0.0, [], []
    for index, is_repeat, pause in events:
        now += pause
        budget = budgets[index % instances]
        if not is_repeat:
            budget.record_request(now=now)
            requests.append(now)
        elif budget.spend(now=now):
            repeats.append(now)
        since = now - window
        made = sum(at > since for at in repeats)
        earned = share * sum(at > since for at in requests)
        # A repeat allowed by a request that has just left the window still
        # counts for up to one more window.
        earned += share * sum(since - window < at <= since for at in requests)
        assert made <= earned + slack


def test_endpoints_that_failed_lately_are_left_out():
    """Guards against new work for an endpoint that fails."""
    health = EndpointHealth()
    good, bad = make_record("good"), make_record("bad")
    health.record_failure(bad, now=0.0)
    assert health.usable([good, bad], now=0.1) == [good]
    assert health.usable([bad], now=0.1) == [bad]
    assert len(health.usable([good, bad], now=5.0)) == 2


def test_an_endpoint_that_fails_part_of_its_requests_is_avoided():
    """Guards against an endpoint that passes only its health checks."""
    health = EndpointHealth()
    good, grey = make_record("good"), make_record("grey")
    for step in range(20):
        health.record_success(good, now=float(step))
        (health.record_error if step % 2 else _succeed(health, step))(grey)
    assert health.usable([good, grey], now=30.0) == [good]


def _succeed(health, step):
    return lambda record: health.record_success(record, now=float(step))


def test_fleet_load_spreads_requests_that_instances_place_independently():
    """Guards against all instances choosing the same endpoint."""
    records = [make_record(f"e{i}") for i in range(4)]
    loads = [
        FleetLoad(incarnation=name, address=name, health=EndpointHealth())
        for name in "abcdef"
    ]
    rng = random.Random(3)
    for step in range(48):
        load = loads[step % 6]
        views = [
            EngineView(r, load.outstanding(r.incarnation, now=0.0)) for r in records
        ]
        chosen = choose_least_loaded(views, rng=rng).record
        load.health.state(chosen.incarnation).outstanding += 1
        digest = load.make_digest(full=False)
        for other in loads:
            other.merge(digest, now=0.0)
    totals = [loads[0].outstanding(r.incarnation, now=0.0) for r in records]
    assert totals == [12] * 4


def test_a_duplicated_or_late_digest_is_harmless():
    """Guards against loads that add up from repeated digests."""
    sender = FleetLoad(incarnation="b", address="b", health=EndpointHealth())
    receiver = FleetLoad(incarnation="a", address="a", health=EndpointHealth())
    sender.health.state("e1/1").outstanding = 2
    digest = sender.make_digest(full=True)
    for _ in range(3):
        receiver.merge(digest, now=0.0)
    assert receiver.outstanding("e1/1", now=0.0) == 2


def test_the_estimate_of_slowness_converges():
    """Guards against an estimate that includes the slowness twice."""
    health, engine = EndpointHealth(), make_record("e1", stage="decode")
    health.state(engine.incarnation)
    for step in range(200):
        now = step * 0.1
        expected = 0.1 * (health.slowness(engine, now=now) or 1.0)
        health.record_prefill_time(engine, expected=expected, took=0.4, now=now)
    assert 3.8 < health.slowness(engine, now=20.0) < 4.2


def test_short_prefills_hardly_change_the_slowness():
    """Guards against a time that is mostly the overhead of calls."""
    health, engine = EndpointHealth(), make_record("e1", stage="decode")
    health.state(engine.incarnation)
    for step in range(400):
        now, nominal = step * 0.05, 0.001 if step % 4 else 0.2
        took = nominal + 0.004
        expected = nominal * (health.slowness(engine, now=now) or 1.0)
        health.record_prefill_time(engine, expected=expected, took=took, now=now)
    assert 0.9 < health.slowness(engine, now=20.0) < 1.2


@pytest.mark.parametrize("overhead", [0.004, HANDOVER_SECONDS, 0.03])
def test_the_overhead_of_a_handover_does_not_change_the_slowness(overhead):
    """Guards against a slowness that shrinks with each short prompt."""
    health, engine = EndpointHealth(), make_record("p1", stage="prefill")
    health.state(engine.incarnation)
    for step in range(600):
        now, nominal = step * 0.02, 0.005 if step % 4 else 0.2
        slowness = health.slowness(engine, now=now) or 1.0
        health.record_prefill_time(
            engine,
            expected=HANDOVER_SECONDS + slowness * nominal,
            took=overhead + 0.6 * nominal,
            now=now,
        )
    assert 0.5 < health.slowness(engine, now=12.0) < 0.9


def test_engines_of_any_speed_are_known_from_the_first_prompts():
    """Guards callers where engines are not those of a certain data sheet."""
    health = EndpointHealth()
    engines = [make_record(f"e{n}", stage="decode") for n in range(8)]
    for number, engine in enumerate(engines[:4]):
        health.state(engine.incarnation)
        expected = 0.1 * (health.slowness(engine, now=0.0) or 1.0)
        health.record_prefill_time(engine, expected=expected, took=0.3, now=number)
    assert [round(health.slowness(each, now=9.0), 1) for each in engines] == [3.0] * 8
    prefill = make_record("p1", stage="prefill")
    assert health.slowness(prefill, now=9.0) is None


def test_caches_stay_in_their_data_centre_while_it_has_room():
    """Simulates prompts that are prefilled in one of four equal data centres.

    Guards against transfers of three caches in four between data centres,
    and against queues in the own one while others are idle.
    """
    rng = random.Random(2)
    records = [make_record(f"e{n}", data_centre=f"dc{n % 4}") for n in range(8)]
    outstanding = dict.fromkeys(records, 0)
    is_transferred = []
    for _ in range(600):
        views = [EngineView(record, outstanding[record]) for record in records]
        chosen = choose_decode_engine(
            views, rng=rng, data_centre="dc0", transfer_seconds=0.015
        ).record
        outstanding[chosen] += 1
        is_transferred.append(chosen.data_centre != "dc0")
    assert not any(is_transferred[:60])
    assert sum(is_transferred) > 300
    assert max(outstanding.values()) - min(outstanding.values()) <= 40


def test_a_cache_goes_to_another_data_centre_if_its_output_begins_sooner():
    """Guards callers against a queue that only saves bytes between centres."""
    near = make_record("e0", data_centre="dc0")
    far = make_record("e1", data_centre="dc1")
    rng, seconds = random.Random(1), 0.003
    for streams, expected in ((6, near), (9, far)):
        views = [EngineView(near, streams), EngineView(far, 0)]
        chosen = choose_decode_engine(
            views, rng=rng, data_centre="dc0", transfer_seconds=seconds
        ).record
        assert chosen == expected


def test_a_prompt_goes_to_another_data_centre_if_it_is_prefilled_sooner():
    """Guards callers against a penalty beyond the round trip."""
    near = make_record("p0", stage="decode", data_centre="dc0")
    far = make_record("p1", stage="decode", data_centre="dc1")
    for queue_ms, expected in ((2, near), (5, far)):
        pending = round(queue_ms * DECODE_ENGINE_PREFILL_RATE / 1000)
        views = [
            EngineView(near, 0, pending_tokens=pending),
            EngineView(far, 0, is_remote=True),
        ]
        plan = plan_model_request(views, 1000, may_split=False, rng=random.Random(1))
        assert plan.decode == expected


@pytest.mark.parametrize(("waiting", "longest_queue"), [(0, 1.0), (4, 5.0)])
def test_a_cached_part_is_worth_what_its_prefill_delays(waiting, longest_queue):
    """Guards callers against a queue longer than the delay of all others.

    The queue is that at the engine with the part, in prefills of the part.
    """
    cached, other = (
        make_record("p0", stage="prefill"),
        make_record("p1", stage="prefill"),
    )
    decode, shared = make_record("d1", stage="decode"), 10_000
    for queue, expected in ((0.9, cached), (1.1, other)):
        pending = round(queue * longest_queue * shared)
        views = [
            EngineView(cached, waiting, pending_tokens=pending, cached_tokens=shared),
            EngineView(other, waiting),
            EngineView(decode, 1000),
        ]
        plan = plan_model_request(
            views, shared + 1000, may_split=True, rng=random.Random(1)
        )
        assert plan.prefill == expected


@pytest.mark.parametrize("prompt_tokens", [4_000, 20_000])
def test_a_decode_engine_prefills_if_that_delays_its_streams_less(prompt_tokens):
    """Guards streams that begin, and prompts while decoders are idle."""
    prefill = make_record("p1", stage="prefill")
    decode = make_record("d1", stage="decode")
    for streams, expected in ((0, None), (100, prefill)):
        views = [
            EngineView(prefill, 0, pending_tokens=8 * prompt_tokens),
            EngineView(decode, streams),
        ]
        plan = plan_model_request(
            views, prompt_tokens, may_split=True, rng=random.Random(1), residence=0.2
        )
        assert plan.prefill == expected


def test_short_prompts_hardly_delay_the_streams_of_a_decode_engine():
    """Guards short prompts against the queue of the prefill engines."""
    prefill = make_record("p1", stage="prefill")
    decode = make_record("d1", stage="decode")
    views = [EngineView(prefill, 0, pending_tokens=8000), EngineView(decode, 10)]
    plan = plan_model_request(
        views, 1000, may_split=True, rng=random.Random(1), residence=0.2
    )
    assert plan.prefill is None


def test_of_equal_endpoints_the_one_in_the_own_data_centre_is_chosen():
    """Guards against calls to other data centres without a reason."""
    near, far = make_record("e1"), make_record("e2")
    views = [EngineView(far, 1, is_remote=True), EngineView(near, 1)]
    rng = random.Random(1)
    assert {choose_least_loaded(views, rng=rng).record for _ in range(20)} == {near}
    busy = [EngineView(far, 1, is_remote=True), EngineView(near, 2)]
    assert choose_least_loaded(busy, rng=rng).record is far


@given(max_connections=st.integers(1, 5000), instances=st.integers(1, 500))
def test_idle_connections_of_all_instances_leave_room_for_requests(
    max_connections, instances
):
    """Guards against idle connections that fill an endpoint's limit."""
    idle = instances * max_idle_connections(max_connections, instances)
    assert idle <= max(max_connections / 2, instances)


def test_an_instance_keeps_no_more_idle_connections_than_its_part():
    """Guards against a limit that is computed and not used."""
    pool = EndpointPool(timers=VirtualTimers(), max_idle=lambda record: 1)
    pool.poller = SimpleNamespace(discard=lambda sock: None)
    connections = [
        SimpleNamespace(
            sock=socket.socket(), record=make_record(), keep_alive=True, exchange=None
        )
        for _ in range(3)
    ]
    for connection in connections:
        pool.connections[connection.sock] = connection
        pool._release(connection)
    connections[0].sock.close()
    assert len(pool.idle[make_record().incarnation]) == 1
