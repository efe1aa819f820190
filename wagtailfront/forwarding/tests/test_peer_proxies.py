"""Tests of requests that a peer sends on for an instance without endpoints."""

import itertools

import pytest

from wagtailfront.forwarding.proxy_headers import PREFIX
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    UNSAFE,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.proxied_pair import PEER, ProxiedPair
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    LEAVING,
    SIGNED,
    prompt_headers,
    read_deadline,
    refusal_headers,
    resumed_event,
    retry_after_header,
)
from wagtailfront.transport.framing import find_header

RESUMABLE = make_route(STREAMING, is_resumable=True)
EVENT = b"id: %d\ndata: x\n\n"


def test_a_peers_answer_is_that_of_the_endpoint():
    """Guards status, headers and body on their way through a peer."""
    pair = ProxiedPair()
    _task, reply = pair.call(headers=[(b"A", b"1")], body=b"question")
    _far_task, far_reply = pair.deliver()
    payload = pair.at_endpoint.payload
    assert b"X-Request-Id: r1\r\n" in payload
    assert b"A: 1\r\n" in payload
    assert payload.endswith(b"\r\n\r\nquestion")
    assert PREFIX not in payload.lower()
    pair.at_endpoint.respond(201, [*SIGNED, (b"B", b"2")], b"whole")
    pair.answer(far_reply)
    assert (reply.status, reply.body, reply.is_complete) == (201, b"whole", True)
    assert reply.header(b"B") == b"2"
    assert not any(name.lower().startswith(PREFIX) for name, _value in reply.headers)
    assert not pair.near.pool.exchanges


def test_a_peer_gets_the_time_that_is_left():
    """Guards endpoints against more time than the caller has."""
    pair = ProxiedPair(make_route(timeout=5.0))
    pair.call(seconds=2.0)
    pair.near.timers.advance(0.5)
    pair.near.proxies.pool.last.fail(sent=False)
    pair.offer("10.0.0.3:7395", incarnation="third")
    pair.call(seconds=2.0)
    pair.deliver()
    assert read_deadline(pair.at_endpoint.payload) <= 2000
    pair.near.timers.advance(0.1)
    pair.at_endpoint.fail(sent=False)
    assert read_deadline(pair.at_endpoint.payload) <= 1900


def test_a_request_is_passed_on_once_only():
    """Guards against requests that go round between instances."""
    pair = ProxiedPair()
    pair.far.reach.lost.add("s")
    pair.offer("10.0.0.1:7395", incarnation="other", scene=pair.far)
    _task, reply = pair.call()
    _far_task, far_reply = pair.deliver()
    assert not pair.far.proxies.pool.exchanges
    while not far_reply.is_complete:
        pair.at_endpoint.fail(sent=False)
    assert far_reply.status == 503
    pair.offer("10.0.0.3:7395", incarnation="third")
    pair.answer(far_reply)
    assert pair.to_peer.record.address == "10.0.0.3:7395"
    assert reply.status is None


@pytest.mark.parametrize(("kind", "status"), [(UNSAFE, 502), (SAFE, None)])
def test_a_peer_that_ends_midway_leaves_a_run_in_doubt(kind, status):
    """Guards calls that must not run twice against a second run."""
    pair = ProxiedPair(make_route(kind))
    _task, reply = pair.call()
    pair.offer("10.0.0.3:7395", incarnation="third")
    pair.to_peer.fail(sent=True)
    assert reply.status == status
    assert len(pair.near.proxies.pool.exchanges) == (1 if kind is UNSAFE else 2)


def test_runs_are_counted_across_instances():
    """Guards the largest number of endpoints that a request may run on."""
    pair = ProxiedPair(make_route(SAFE, max_attempts=2))
    _task, reply = pair.call()
    pair.offer("10.0.0.3:7395", incarnation="third")
    pair.to_peer.fail(sent=True)
    _far_task, far_reply = pair.deliver()
    pair.at_endpoint.fail(sent=True)
    assert len(pair.far.pool.exchanges) == 1
    pair.answer(far_reply)
    assert reply.status == 502


def test_a_stream_cut_at_a_peer_runs_no_more_often_than_allowed():
    """Guards the largest number of runs where a peer has repeated some."""
    pair = ProxiedPair(RESUMABLE._replace(max_attempts=2))
    _task, reply = pair.call()
    _far_task, far_reply = pair.deliver()
    pair.offer("10.0.0.3:7395", incarnation="third")
    for number in (1, 2):
        pair.at_endpoint.sink.on_head(200, EVENT_STREAM)
        pair.at_endpoint.sink.on_data(EVENT % number + b"id: 9")
        pair.at_endpoint.fail(sent=True)
    assert len(pair.far.pool.exchanges) == 2
    assert far_reply.is_aborted
    pair.to_peer.sink.on_head(200, far_reply.headers)
    pair.to_peer.sink.on_data(far_reply.body)
    pair.to_peer.fail(sent=True)
    assert len(pair.near.proxies.pool.exchanges) == 1
    assert reply.body == EVENT % 1 + EVENT % 2
    assert reply.is_aborted


def test_a_repeat_by_a_peer_is_charged():
    """Guards the budget of repeats, which all instances share."""
    pair = ProxiedPair(make_route(SAFE, max_attempts=9))
    budget = pair.near.context.budgets["s"]
    pair.call()
    assert not budget.repeats
    pair.offer("10.0.0.3:7395", incarnation="third")
    pair.to_peer.fail(sent=True)
    assert len(budget.repeats) == 1


@pytest.mark.parametrize("spent", [False, True])
def test_a_send_to_a_peer_after_one_that_arrived_is_charged(spent):
    """Guards the budget of repeats against sends by two instances."""
    records = [make_record("p1", stage="prefill"), make_record("d1", stage="decode")]
    pair = ProxiedPair(RESUMABLE, records=records, is_model=True)
    pair.near.reach.lost.clear()
    _task, reply = pair.call(
        headers=prompt_headers(model=b"m", tokens=20_000, part=b"a")
    )
    prefill = pair.near.pool.last
    assert prefill.record.endpoint_id == "p1"
    budget = pair.near.context.budgets["s"]
    while spent and budget.spend(1, now=pair.near.timers.now):
        pass
    charged = len(budget.repeats)
    pair.near.reach.lost.add("s")
    prefill.respond(503, refusal_headers(b"r1"))
    assert len(budget.repeats) == (charged if spent else charged + 1)
    assert len(pair.near.proxies.pool.exchanges) == (0 if spent else 1)
    assert reply.status == (503 if spent else None)


def test_a_refusal_by_a_peer_is_passed_on_at_once():
    """Guards the promise that a refused request has not run."""
    pair = ProxiedPair(make_route(UNSAFE))
    _task, reply = pair.call()
    _far_task, far_reply = pair.deliver()
    for _ in range(10):
        if far_reply.is_complete:
            break
        pair.at_endpoint.respond(503, refusal_headers(b"r1"))
    assert far_reply.status == 503
    pair.answer(far_reply)
    assert reply.status == 503
    assert float(reply.header(b"Retry-After")) > 0


@pytest.mark.parametrize("status", [200, 302, 404, 500])
def test_an_answer_of_no_endpoint_is_not_passed_on(status):
    """Guards callers against answers that a peer made itself."""
    pair = ProxiedPair(make_route(UNSAFE))
    _task, reply = pair.call()
    pair.to_peer.respond(status, SIGNED, b"x")
    assert (reply.status, reply.body) == (502, b"")


def test_the_end_of_a_caller_ends_the_run_at_the_peer():
    """Guards endpoints against work for callers that have left."""
    pair = ProxiedPair()
    task, _reply = pair.call()
    pair.deliver()
    task.cancel()
    assert pair.to_peer.is_cancelled
    assert not pair.near.proxies.outstanding


def test_what_an_endpoint_says_of_its_leaving_holds_here_too():
    """Guards against work for an endpoint whose leaving a caller was told."""
    pair = ProxiedPair()
    pair.call()
    _far_task, far_reply = pair.deliver()
    record = pair.at_endpoint.record
    pair.at_endpoint.respond(200, [*SIGNED, LEAVING], b"x")
    pair.answer(far_reply)
    for scene in (pair.near, pair.far):
        assert scene.context.notices.is_leaving(record.incarnation)


def test_a_peer_keeps_the_pauses_that_endpoints_asked_it_for():
    """Guards an endpoint's pause against requests of other instances."""
    pair = ProxiedPair()
    pair.call()
    pair.deliver()
    paused = pair.at_endpoint.record
    headers = [*refusal_headers(b"r1"), retry_after_header(9)]
    pair.at_endpoint.respond(503, headers)
    pair.far.timers.advance(1.0)
    pair.offer()
    for _ in range(12):
        pair.call()
        pair.deliver()
        assert pair.at_endpoint.record != paused


def test_a_peer_keeps_to_the_rate_limits_of_endpoints():
    """Guards an endpoint's limit against requests of other instances."""
    pair = ProxiedPair(records=[make_record("e1")])
    pair.far.context.rate_limits.record_answer(
        "e1/1", 1.0, sent=pair.far.timers.now, now=pair.far.timers.now
    )
    pair.far.context.load.instances = 1
    for _ in range(8):
        pair.call()
        pair.deliver()
    assert len(pair.far.pool.exchanges) <= 3


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_a_stream_goes_on_at_its_version_through_a_peer(version):
    """Guards streams against events of two software versions."""
    records = [make_record("e1"), make_record("e2", software_version="v2")]
    pair = ProxiedPair(RESUMABLE, records=records)
    pair.near.reach.lost.clear()
    _task, reply = pair.call()
    begun = pair.near.pool.last
    while begun.record.software_version != version:
        begun.fail(sent=False)
        begun = pair.near.pool.last
    begun.sink.on_head(200, EVENT_STREAM)
    begun.sink.on_data(EVENT % 1 + EVENT % 2)
    pair.near.reach.lost.add("s")
    begun.fail(sent=True)
    _far_task, far_reply = pair.deliver()
    assert pair.at_endpoint.record.software_version == version
    assert resumed_event(pair.at_endpoint.payload) == 2
    pair.at_endpoint.sink.on_head(200, EVENT_STREAM)
    pair.at_endpoint.sink.on_data(EVENT % 3)
    pair.to_peer.sink.on_head(200, far_reply.headers)
    pair.to_peer.sink.on_data(far_reply.body)
    pair.to_peer.sink.on_end()
    assert reply.body == b"".join(EVENT % number for number in (1, 2, 3))
    assert reply.is_complete


def test_a_stream_that_a_peer_begins_is_known_by_its_version():
    """Guards later parts of a stream against another version."""
    pair = ProxiedPair(RESUMABLE)
    _task, reply = pair.call()
    _far_task, far_reply = pair.deliver()
    pair.at_endpoint.sink.on_head(200, EVENT_STREAM)
    pair.at_endpoint.sink.on_data(EVENT % 1)
    pair.to_peer.sink.on_head(200, far_reply.headers)
    pair.to_peer.sink.on_data(far_reply.body)
    origin = pair.near.context.streams.find("r1", now=pair.near.timers.now)
    assert origin.software_version == "v1"
    assert reply.body == EVENT % 1
    pair.to_peer.fail(sent=True)
    assert not reply.is_complete


@pytest.mark.parametrize("is_cut", [False, True])
def test_peers_are_used_only_while_no_endpoint_is_reached(is_cut):
    """Guards peers against requests that an instance can send itself."""
    pair = ProxiedPair()
    if not is_cut:
        pair.near.reach.lost.clear()
    pair.call()
    assert bool(pair.near.proxies.pool.exchanges) == is_cut
    assert bool(pair.near.pool.exchanges) != is_cut


@pytest.mark.parametrize(
    "offer",
    [
        {"address": ""},
        {"address": PEER, "lost_services": ("s",)},
    ],
)
def test_without_a_peer_that_reaches_them_endpoints_are_tried(offer):
    """Guards requests against peers that cannot serve them either."""
    pair = ProxiedPair()
    pair.offer(**offer)
    pair.call()
    assert not pair.near.proxies.pool.exchanges
    assert len(pair.near.pool.exchanges) == 1


def test_a_peer_of_an_older_release_is_not_asked():
    """Guards requests against peers that do not take them."""
    pair = ProxiedPair()
    pair.near.context.load.peers.clear()
    pair.offer(None, incarnation="older")
    pair.call()
    assert not pair.near.proxies.pool.exchanges


def test_peers_of_the_own_data_centre_share_the_requests():
    """Guards one peer against the callers of all cut instances."""
    pair = ProxiedPair()
    for number in range(3, 6):
        pair.offer(f"10.0.0.{number}:7395", incarnation=f"peer{number}")
    addresses = []
    for _ in range(8):
        pair.call()
        addresses.append(pair.to_peer.record.address)
    counts = [len(list(group)) for _, group in itertools.groupby(sorted(addresses))]
    assert counts == [2, 2, 2, 2]


def test_a_request_without_instructions_is_rejected():
    """Guards the peers' port against requests of callers."""
    pair = ProxiedPair()
    pair.call()
    payload = pair.to_peer.payload
    pair.to_peer.payload = payload.replace(b"Wagtailfront-Proxy-Service", b"X")
    task, reply = pair.deliver()
    assert task is None
    assert reply.status == 400
    assert find_header(reply.headers, b"retry-after") is None
