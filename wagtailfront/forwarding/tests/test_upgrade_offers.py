"""Tests of requests that offer another protocol, cut at any byte."""

import itertools

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.tests.builders import (
    UNSAFE,
    Scene,
    make_record,
    make_request,
    make_route,
)
from wagtailfront.forwarding.tests.drawn_requests import conversations, requests
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    read_until,
    start_instances,
)
from wagtailfront.platform.tests.wire import SIGNED
from wagtailfront.serving.request_reader import RequestReader
from wagtailfront.transport.framing import CONTINUE

OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
)
START = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n"
BODIES = {
    "length": b"Content-Length: 5\r\n\r\nabcde",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
}


@pytest.fixture
def start():
    """Return a function that starts an Instance with a script."""
    with start_instances() as begin:
        yield begin


def make_reader():
    return RequestReader(max_head=1000, max_body=100)


def summarise(request):
    """Return the fields that a request and a drawn one have in common."""
    return request.method, request.target, request.body


def find_served(conversation):
    """Return the requests up to the one that ends the connection."""
    served = itertools.takewhile(lambda r: not r.ends_connection, conversation)
    count = len(list(served))
    return conversation[: count + 1]


@settings(max_examples=400, deadline=None)
@given(conversation=conversations())
def test_a_request_is_handed_on_with_its_last_byte(conversation):
    """Guards against a request that runs without its body, or part of it."""
    served = find_served(conversation)
    data = b"".join(request.data for request in conversation)
    ends = list(itertools.accumulate(len(request.data) for request in served))
    for cut in range(len(data) + 1):
        reader = make_reader()
        got = reader.feed(data[:cut])
        complete = [r for r, end in zip(served, ends, strict=True) if end <= cut]
        assert [summarise(r) for r in got] == [summarise(r) for r in complete]
        got += reader.feed(data[cut:])
        assert [summarise(r) for r in got] == [summarise(r) for r in served]
        keeps = [not request.ends_connection for request in served]
        assert [request.keep_alive for request in got] == keeps


@settings(max_examples=200, deadline=None)
@given(conversation=conversations(), sizes=st.lists(st.integers(1, 9), min_size=1))
def test_the_pieces_of_a_request_do_not_change_it(conversation, sizes):
    """Guards heads and bodies that arrive in many pieces."""
    data = b"".join(request.data for request in conversation)
    edges = itertools.accumulate(itertools.cycle(sizes), initial=0)
    edges = itertools.takewhile(lambda edge: edge < len(data), edges)
    pieces = itertools.pairwise([*edges, len(data)])
    reader = make_reader()
    got = [r for start, end in pieces for r in reader.feed(data[start:end])]
    served = find_served(conversation)
    assert [summarise(r) for r in got] == [summarise(r) for r in served]


@settings(deadline=None)
@given(request=requests())
def test_the_continuation_is_expected_until_the_body_has_arrived(request):
    """Guards against a caller that waits for its interim answer in vain."""
    for cut in range(len(request.data) + 1):
        reader = make_reader()
        reader.feed(request.data[:cut])
        is_in_body = len(request.head) <= cut < len(request.data)
        is_expected = is_in_body and request.expects_continue
        assert reader.expects_continue == is_expected


@settings(deadline=None)
@given(request=requests(methods=(b"CONNECT",)))
def test_a_tunnel_is_refused_with_its_head(request):
    """Guards against a request of CONNECT that runs."""
    data = request.data.replace(request.target, b"h:1", 1)
    for cut in range(len(data) + 1):
        reader = make_reader()
        assert reader.feed(data[:cut]) == []
        assert reader.feed(data[cut:]) == []
        assert reader.failure.status == 400


@pytest.mark.parametrize("framing", BODIES)
def test_a_kept_connection_after_an_offer_of_another_protocol(start, framing):
    """Guards the body of a request, and the request behind it."""
    instance = start(echo)
    with instance.connect() as connection:
        connection.sendall(START % b"r1" + OFFER + BODIES[framing] + GET % b"r2")
        data = read_until(connection, [b"r1/abcde", b"r2/"])
    assert data.count(b"HTTP/1.1 200 OK") == data.count(b"HTTP/1.1 ") == 2


@pytest.mark.parametrize("framing", BODIES)
def test_an_offer_of_another_protocol_that_awaits_a_continuation(start, framing):
    """Guards against a body that is never asked for."""
    instance = start(echo)
    head, end, body = BODIES[framing].partition(b"\r\n\r\n")
    with instance.connect() as connection:
        expect = b"Expect: 100-continue\r\n"
        connection.sendall(START % b"r1" + OFFER + expect + head + end)
        assert read_until(connection, [b"\r\n\r\n"]) == CONTINUE
        connection.sendall(body)
        assert b"r1/abcde" in read_until(connection, [b"r1/abcde"])


def test_a_tunnel_gets_one_refusal(start):
    """Guards against a second answer, and a request behind it that runs."""
    instance = start(echo)
    with instance.connect() as connection:
        tunnel = b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"
        connection.sendall(tunnel + GET % b"r2")
        data = read_until(connection, [b"never sent"])
    assert data.count(b"HTTP/1.1 ") == 1
    assert data.startswith(b"HTTP/1.1 400 ")
    assert instance.endpoint.requests == []


def test_headers_that_connection_lists_are_not_passed_on():
    """Guards endpoints against HTTP2-Settings, and the id of a request."""
    scene = Scene([make_record()])
    listed = (b"Connection", b"upgrade, http2-settings , X-Request-Id")
    settings_header = (b"HTTP2-Settings", b"AAMA")
    kept = (b"X-Request-Id", b"r1")
    headers = [kept, listed, (b"Upgrade", b"h2c"), settings_header, (b"X-Own", b"1")]
    _task, reply = scene.start(make_route(UNSAFE), make_request(headers=headers))
    lines = scene.pool.last.payload.partition(b"\r\n\r\n")[0].split(b"\r\n")
    names = {line.partition(b":")[0].lower() for line in lines}
    assert names.isdisjoint({b"connection", b"upgrade", b"http2-settings"})
    assert {b"X-Request-Id: r1", b"X-Own: 1"} <= set(lines)
    answer = [*SIGNED, (b"Connection", b"X-Hop"), (b"X-Hop", b"1"), (b"X-Own", b"1")]
    scene.pool.last.respond(404, answer, b"no")
    assert reply.headers == [*SIGNED, (b"X-Own", b"1")]
