"""Tests of forwarding over real sockets on the loopback interface."""

import socket
import struct
import threading
import time

import pytest

from wagtailfront.forwarding.tests.builders import STREAMING, make_route
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    POST,
    TIMEOUT,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.platform.tests.wire import (
    deadline_line,
    read_deadline,
    refusal_response,
    signed_response as answer,
)
from wagtailfront.transport.framing import LAST_CHUNK

ENDLESS_BYTES = 200 * 1024 * 1024


@pytest.fixture
def start():
    """Return a function that starts an Instance with a script."""
    with start_instances() as begin:
        yield begin


def test_pipelined_requests_are_answered_in_order(start):
    """Guards several requests in one packet, and chunked bodies."""
    instance = start(echo)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1" + POST % b"r2" + GET % b"r3")
        data = read_until(connection, [b"r3/"])
    positions = [data.index(mark) for mark in (b"r1/", b"r2/abcde", b"r3/")]
    assert positions == sorted(positions)


def test_a_request_that_arrives_a_byte_at_a_time(start):
    """Guards against a request that is forwarded before it is complete."""
    instance = start(echo)
    with instance.connect() as connection:
        for byte in POST % b"r1":
            connection.sendall(bytes([byte]))
        assert b"r1/abcde" in read_until(connection, [b"r1/abcde"])
    assert len(instance.endpoint.requests) == 1


def test_a_request_that_was_refused_is_sent_again_on_another_connection(start):
    """Guards against a copy of its refusal, which bears the request's id."""
    connections = []

    def refuse_twice(connection, request_id, request):
        is_refused = len(connections) < 2
        connections.append(connection)
        reply = refusal_response(request_id) if is_refused else answer(request_id, b"-")
        connection.sendall(reply)
        return True

    instance = start(refuse_twice)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        assert b"200 OK" in read_until(connection, [b"\r\n\r\n"])
    assert len(set(connections)) == len(connections) == 3


def test_bytes_after_an_answer_belong_to_no_request(start):
    """Guards against extra bytes that are used for the next request."""

    def twice(connection, request_id, request):
        extra = answer(request_id, b"extra")
        connection.sendall(answer(request_id, request_id + b"/", extra=extra))
        return True

    instance = start(twice)
    with instance.connect() as connection:
        for name in (b"r1", b"r2"):
            connection.sendall(GET % name)
            data = read_until(connection, [name + b"/"])
            assert b"extra" not in data


def test_an_extra_answer_that_arrives_late_is_dropped(start):
    """Guards against a late answer that is used for the next request."""

    def late(connection, request_id, request):
        stale = answer(b"old", b"stale") if request_id == b"r2" else b""
        connection.sendall(stale + answer(request_id, request_id + b"/"))
        return True

    instance = start(late)
    with instance.connect() as connection:
        for name in (b"r1", b"r2"):
            connection.sendall(GET % name)
            data = read_until(connection, [name + b"/"])
            assert b"stale" not in data


def test_a_caller_that_disconnects_frees_its_endpoint_within_half_a_second(start):
    """Guards against endpoints that continue an abandoned request."""
    reached = threading.Event()
    freed = threading.Event()

    def hang(connection, request_id, request):
        reached.set()
        connection.settimeout(TIMEOUT)
        if not connection.recv(1):
            freed.set()
        return False

    instance = start(hang)
    connection = instance.connect()
    connection.sendall(GET % b"r1")
    assert reached.wait(TIMEOUT)
    connection.close()
    assert freed.wait(0.5)


def test_a_truncated_answer_does_not_look_complete(start):
    """Guards against a truncated body that is forwarded as a success."""

    def cut(connection, request_id, request):
        connection.sendall(answer(request_id, b"whole answer")[:-3])
        return False

    instance = start(cut)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"\r\n\r\n"])
    assert data.startswith(b"HTTP/1.1 502 ")


def test_an_answer_before_the_request_body_is_read(start):
    """Guards a request that is answered before its body is read."""

    def early(connection, request_id, request):
        connection.sendall(answer(request_id, b"early"))
        return True

    instance = start(early)
    with instance.connect() as connection:
        connection.sendall(POST % b"r1")
        assert b"early" in read_until(connection, [b"early"])


def end_by_fin(connection):
    """End a connection in order."""


def end_by_reset(connection):
    """Let the end of a connection be a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def end_by_late_reset(connection):
    """Reset a connection after all bytes on it have been read."""
    time.sleep(0.05)
    end_by_reset(connection)


@pytest.mark.parametrize("end", [end_by_fin, end_by_reset, end_by_late_reset])
@pytest.mark.parametrize(
    ("mark", "after"),
    [
        (b"HTTP/1.1 200 OK", 0),
        (b"HTTP/1.1 200 OK\r\n", 0),
        (b"Content-Length: 1", 0),
        (b"\r\n\r\n", -2),
        (b"\r\n\r\n", -1),
        (b"\r\n\r\n", 0),
        (b"\r\n\r\n", 5),
    ],
)
@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
def test_an_answer_that_is_cut_is_no_success(start, interim, mark, after, end):
    """Guards an answer on a new and on a kept connection to an endpoint."""

    def cut(connection, request_id, request):
        whole = answer(request_id, b"whole answer")
        if request_id == b"r1":
            connection.sendall(whole)
            return True
        size = whole.index(mark) + len(mark) + after
        connection.sendall(interim + whole[:size])
        end(connection)
        return False

    instance = start(cut)
    for kept in (b"", GET % b"r1"):
        with instance.connect() as connection:
            connection.sendall(kept + GET % b"r2")
            data = read_until(connection, [b"502 "])
        assert (b"whole answer" in data) is bool(kept)
        assert data.rpartition(b"HTTP/1.1 ")[2].startswith(b"502 ")


@pytest.mark.parametrize("end", [end_by_fin, end_by_reset, end_by_late_reset])
@pytest.mark.parametrize("body", [b"", b"part"])
def test_a_head_without_length_is_whole_only_after_an_orderly_end(start, body, end):
    """Guards against a reset right after a complete head."""

    def close(connection, request_id, request):
        respond_without_length(connection, request_id, body)
        end(connection)
        return False

    instance = start(close)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"\r\n\r\n"])
    status = b"200" if end is end_by_fin else b"502"
    assert data.startswith(b"HTTP/1.1 %b " % status)


def respond_without_length(connection, request_id, body, *, extra=b""):
    """Send a signed response whose body ends with its connection."""
    head = answer(request_id, b"").replace(b"Content-Length: 0\r\n", extra)
    connection.sendall(head + body)


def send_without_end(connection, part):
    """Send bytes until the receiver closes; return how many were sent."""
    sent = 0
    while sent < ENDLESS_BYTES:
        try:
            connection.sendall(part)
        except OSError:
            break
        sent += len(part)
    return sent


@pytest.mark.parametrize(
    "start_of_response",
    [b"HTTP/1.1 200 OK\r\nX-Own: ", b"HTTP/1.1 200 OK\r\n\r\n", b""],
    ids=["head", "body", "no response"],
)
def test_bytes_without_end_get_a_failure_and_are_not_read_on(start, start_of_response):
    """Guards memory, and the caller's time, against an endpoint in trouble."""
    sent, is_closed = [], threading.Event()

    def endless(connection, request_id, request):
        connection.sendall(start_of_response)
        sent.append(send_without_end(connection, b"x" * 65536))
        is_closed.set()
        return False

    instance = start(endless)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"\r\n\r\n"])
    assert data.startswith(b"HTTP/1.1 502 ")
    assert is_closed.wait(TIMEOUT)
    assert max(sent) < ENDLESS_BYTES
    # The caller may read its answer before the task has ended in its thread.
    wait_for(lambda: not instance.forwarder.tasks)
    assert instance.forwarder.context.body_memory.total == 0


def test_an_answer_that_ends_with_its_connection_is_whole(start):
    """Guards answers with neither a length nor chunks."""

    def close(connection, request_id, request):
        respond_without_length(connection, request_id, b"whole answer")
        return False

    instance = start(close)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"whole answer"])
    assert data.startswith(b"HTTP/1.1 200 ")
    assert b"Content-Length: 12" in data


def test_an_answer_without_length_that_is_reset_is_not_whole(start):
    """Guards against a reset that is taken for the end of an answer."""

    def reset(connection, request_id, request):
        respond_without_length(connection, request_id, b"first part")
        end_by_reset(connection)
        return False

    instance = start(reset)
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"\r\n\r\n"])
    assert data.startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize(
    ("end", "is_whole"),
    [(b"", True), (b"id: 3\ndata: c", False), (b"id: 3\ndata: c\n", False)],
)
def test_a_stream_that_ends_inside_an_event_is_broken_off(start, end, is_whole):
    """Guards streams with neither a length nor chunks."""

    def stream(connection, request_id, request):
        events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        content_type = b"Content-Type: text/event-stream\r\n"
        respond_without_length(connection, request_id, events + end, extra=content_type)
        return False

    instance = start(stream)
    instance.forwarder.apply_config(make_config(make_route(STREAMING), version=2))
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        data = read_until(connection, [LAST_CHUNK])
    assert b"data: b" in data
    assert b"data: c" not in data
    assert (LAST_CHUNK in data) is is_whole


def test_a_pipelined_request_is_sent_on_with_the_time_that_is_left(start):
    """Guards endpoints against work beyond a caller's deadline."""
    left = {}

    def answer_late(connection, request_id, request):
        left[request_id] = read_deadline(request)
        time.sleep(0.5)
        return echo(connection, request_id, request)

    get = GET.replace(b"Host", deadline_line(2500) + b"\r\nHost")
    with start(answer_late).connect() as connection:
        connection.sendall(get % b"r1" + get % b"r2")
        read_until(connection, [b"r2/"])
    assert left[b"r2"] <= 2000 < left[b"r1"] <= 2500


def test_slow_and_idle_callers_are_disconnected(start):
    """Guards against callers that hold descriptors without a request."""
    instance = start(echo)
    with instance.connect() as slow:
        slow.sendall(b"GET /a HTTP/1.1\r\nHost:")
        assert read_until(slow, [b"408"]).startswith(b"HTTP/1.1 408 ")
    with instance.connect() as idle:
        idle.sendall(GET % b"r1")
        read_until(idle, [b"r1/"])
        assert idle.recv(100) == b""


def test_garbage_gets_status_400(start):
    """Guards other callers against one that does not speak HTTP."""
    instance = start(echo)
    with instance.connect() as connection:
        connection.sendall(b"\x16\x03\x01 hello\r\n\r\n")
        assert read_until(connection, [b"400"]).startswith(b"HTTP/1.1 400 ")
    with instance.connect() as connection:
        connection.sendall(GET % b"r1")
        assert b"r1/" in read_until(connection, [b"r1/"])


def test_a_request_to_a_dead_endpoint_is_refused_in_time(start):
    """Guards against waiting for an endpoint that accepts no connection."""
    instance = start(echo)
    instance.endpoint.close()
    with instance.connect() as connection:
        began = time.monotonic()
        connection.sendall(GET % b"r1")
        data = read_until(connection, [b"\r\n\r\n"])
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in data
    assert time.monotonic() - began < 2.5
