"""Tests that a connection ends with no request that was read unanswered."""

import socket
import time
from threading import Event

import pytest

from wagtailfront.forwarding.tests.builders import SAFE, make_route
from wagtailfront.forwarding.tests.endpoint_stream import EndpointStream, begin_stream
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    LIMITS,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.platform.tests.wire import signed_response
from wagtailfront.serving import caller_timeouts
from wagtailfront.serving.connection_server import SWEEP_INTERVAL
from wagtailfront.transport.framing import LAST_CHUNK

BUSY_SECONDS = LIMITS.idle_timeout + 0.2


@pytest.fixture
def instance():
    """Return a running instance whose endpoint echoes requests."""
    with start_instances() as begin:
        yield begin(echo)


def in_loop(instance, callback):
    """Call a function in the instance's event loop; wait until it is done."""
    done = Event()
    instance.timers.after(0.0, lambda: (callback(), done.set()))
    assert done.wait(10.0)


@pytest.mark.parametrize("step", ["_on_sweep", "close_idle"])
def test_a_request_that_has_arrived_is_served_before_its_connection_is_closed(
    instance, step
):
    """Guards requests that arrive while the event loop is busy."""
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        read_until(caller, [b"r1/"])

        def close_late():
            caller.sendall(GET % b"r2")
            time.sleep(BUSY_SECONDS)
            getattr(instance.server, step)()

        in_loop(instance, close_late)
        assert b"r2/" in read_until(caller, [b"r2/"])


def test_a_stopping_instance_answers_all_requests_it_has_read(instance):
    """Guards pipelined requests behind the first answer of a stop."""
    in_loop(instance, instance.server.start_draining)
    with instance.connect() as caller:
        caller.sendall(GET % b"r1" + GET % b"r2")
        data = read_until(caller, [b"r2/"])
        assert b"r1/" in data
        assert b"r2/" in data
        assert b"Connection: close" in data.partition(b"r1/")[2]
        assert caller.recv(100) == b""


def test_a_request_behind_a_stream_of_a_stopping_instance_is_answered():
    """Guards a request that is read once a stream's head has been sent."""
    stream = EndpointStream()
    with start_instances() as begin:
        instance = begin(stream)
        in_loop(instance, instance.server.start_draining)
        with instance.connect() as caller:
            begin_stream(caller, b"r1")
            caller.sendall(GET % b"r2")
            wait_for(lambda: next(iter(instance.server.connections.values())).waiting)
            stream.goes_on.set()
            assert b"200 OK" in read_until(caller, [b"200 OK"])


@pytest.mark.parametrize("size", [20, len(GET % b"r2")])
def test_a_request_on_its_way_is_answered_by_a_stopping_instance(size):
    """Guards a request of which some bytes have arrived before an answer."""
    is_sent, may_answer = Event(), Event()

    def answer_late(connection, request_id, request):
        if request_id == b"r1":
            is_sent.set()
            may_answer.wait(10.0)
        return echo(connection, request_id, request)

    with start_instances() as begin:
        instance = begin(answer_late)
        in_loop(instance, instance.server.start_draining)
        with instance.connect() as caller:
            caller.sendall(GET % b"r1" + (GET % b"r2")[:size])
            assert is_sent.wait(10.0)
            may_answer.set()
            data = read_until(caller, [b"r1/"])
            caller.sendall((GET % b"r2")[size:])
            # Both answers may arrive together.
            if b"r2/" not in data:
                data += read_until(caller, [b"r2/"])
            assert b"r2/" in data


def test_a_caller_that_still_reads_an_answer_is_not_idle():
    """Guards a request that is sent while the answer before it is read."""
    size = 1_000_000

    def answer_at_length(connection, request_id, request):
        body = request_id + b"/" + b"x" * size
        connection.sendall(signed_response(request_id, body))
        return True

    with start_instances() as begin:
        instance = begin(answer_at_length)
        route = make_route(SAFE, timeout=20.0)
        instance.forwarder.apply_config(make_config(route, version=2))
        with instance.connect() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            (accepted,) = wait_for(lambda: instance.server.listener.clients)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            caller.sendall(GET % b"r1")
            wait_for(lambda: instance.server.listener.queued[accepted])
            time.sleep(LIMITS.idle_timeout + 2 * SWEEP_INTERVAL)
            caller.sendall(GET % b"r2")
            assert b"r2/" in read_until(caller, [b"r2/"])


@pytest.mark.parametrize("close", [b"", b"Connection: close\r\n"])
def test_a_caller_that_reads_nothing_of_its_answer_is_reset(monkeypatch, close):
    """Guards descriptors and memory against callers that stand still."""
    monkeypatch.setattr(caller_timeouts, "MAX_UNREAD_SECONDS", SWEEP_INTERVAL)

    def answer_at_length(connection, request_id, request):
        connection.sendall(signed_response(request_id, b"x" * 3_000_000))
        return True

    with start_instances() as begin:
        instance = begin(answer_at_length)
        with instance.connect() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            (accepted,) = wait_for(lambda: instance.server.listener.clients)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            caller.sendall((GET % b"r1").replace(b"Host", close + b"Host"))
            wait_for(lambda: instance.server.listener.queued[accepted])
            wait_for(lambda: not instance.server.connections)
            with pytest.raises(ConnectionError):
                read_until(caller, [b"no such bytes"])


def test_idle_connections_are_closed_only_without_a_request_waiting(
    instance, monkeypatch
):
    """Guards a pipelined request between the answer before it and its turn."""
    end_reply = instance.server.end_reply

    def end_and_close_idle(connection, keep_alive):
        end_reply(connection, keep_alive)
        instance.server.close_idle()

    monkeypatch.setattr(instance.server, "end_reply", end_and_close_idle)
    with instance.connect() as caller:
        caller.sendall(GET % b"r1" + GET % b"r2")
        assert b"r2/" in read_until(caller, [b"r2/"])


def test_many_pipelined_requests_are_all_answered(instance):
    """Guards a caller that sends faster than endpoints answer."""
    with instance.connect() as caller:
        for burst in range(3):
            names = [b"r%d-%d." % (burst, number) for number in range(30)]
            caller.sendall(b"".join(GET % name for name in names))
            data = read_until(caller, [name + b"/" for name in names])
            assert data.count(b"200 OK") == len(names)


def test_an_early_refusal_can_be_read_by_a_caller_that_sends_on(instance):
    """Guards the answer against the reset that unread bytes cause."""
    limits = LIMITS._replace(max_body=1000)
    config = make_config(instance.forwarder.config.routes[0], version=2, limits=limits)
    instance.forwarder.apply_config(config)
    instance.forwarder.limits.replaced.clear()
    size = 3_000_000
    for _ in range(5):
        with instance.connect() as caller:
            caller.sendall(
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            )
            sent = 0
            while sent < size:
                caller.sendall(b"x" * 100_000)
                sent += 100_000
            assert read_until(caller, [b"413"]).startswith(b"HTTP/1.1 413 ")
    wait_for(lambda: not instance.server.connections)


def test_an_expected_continue_waits_for_the_answer_before_it():
    """Guards an answer against an interim response within its body."""
    is_begun, may_end = Event(), Event()

    def stream(connection, request_id, request):
        head = signed_response(request_id, b"").replace(
            b"Content-Length: 0", b"Content-Type: text/event-stream"
        )
        connection.sendall(head + b"id: 1\ndata: a\n\n")
        is_begun.set()
        may_end.wait(10.0)
        return False

    with start_instances() as begin, begin(stream).connect() as caller:
        caller.sendall(GET % b"r1")
        assert is_begun.wait(10.0)
        read_until(caller, [b"data: a"])
        caller.sendall(
            b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n"
            b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        caller.settimeout(0.3)
        with pytest.raises(TimeoutError):
            caller.recv(100)
        may_end.set()
        caller.settimeout(10.0)
        data = read_until(caller, [b"100 Continue"])
        assert data.startswith(LAST_CHUNK + b"HTTP/1.1 100 Continue")


def test_large_answers_to_pipelined_requests_arrive_whole():
    """Guards a caller that reads on against being closed as too slow."""
    size = 3_000_000
    names = [b"r%d." % number for number in range(4)]

    def answer_at_length(connection, request_id, request):
        body = b"x" * size + request_id + b"/"
        connection.sendall(signed_response(request_id, body))
        return True

    with start_instances() as begin, begin(answer_at_length).connect() as caller:
        caller.sendall(b"".join(GET % name for name in names))
        time.sleep(0.3)
        data = b""
        while part := caller.recv(65536):
            data += part
            if data.endswith(names[-1] + b"/"):
                break
        assert [name + b"/" in data for name in names] == [True] * len(names)
