"""Tests of callers that end their sending side after a whole request."""

import socket
import struct
import time
from threading import Event
from types import SimpleNamespace

import pytest

from wagtailfront.forwarding.tests import endpoint_stream
from wagtailfront.forwarding.tests.builders import (
    UNSAFE,
    Scene,
    VirtualTimers,
    make_route,
)
from wagtailfront.forwarding.tests.endpoint_stream import EndpointStream
from wagtailfront.forwarding.tests.open_runs import (
    begin_stream,
    event,
    make_engines,
    resumable,
)
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, signed_response
from wagtailfront.serving.half_closed_callers import PATIENCE, HalfClosedCallers
from wagtailfront.transport.http_listener import CLOSED_BY_PEER

SOON = 0.05  # seconds; less than an answer may take
LONG_BODY = b"x" * 3_000_000  # more than the buffers of a connection hold
GONE_WITHIN = 0.5  # seconds from a caller's close until endpoints stop


@pytest.fixture
def begin():
    """Return a function that starts an instance with an endpoint."""
    with start_instances() as begin:
        yield begin


@pytest.mark.parametrize("names", [[b"r1"], [b"r1", b"r2", b"r3"]])
def test_a_caller_that_sends_no_more_gets_its_answers(begin, names):
    """Guards whole requests against a close without an answer."""

    def answer_soon(connection, request_id, request):
        time.sleep(SOON)
        return echo(connection, request_id, request)

    with begin(answer_soon).connect() as caller:
        caller.sendall(b"".join(GET % name for name in names))
        caller.shutdown(socket.SHUT_WR)
        data = read_until(caller, [b"no such bytes"])
    assert [name for name in names if name + b"/" in data] == names


@pytest.mark.parametrize("close", [b"", b"Connection: close\r\n"])
@pytest.mark.parametrize("pause", [0.0, 0.6])
def test_a_caller_that_sends_no_more_reads_a_long_answer_to_its_end(
    begin, close, pause
):
    """Guards answers that wait until their caller reads."""

    def answer_long(connection, request_id, request):
        connection.sendall(signed_response(request_id, LONG_BODY))
        return True

    instance = begin(answer_long)
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(10.0)
        caller.connect(("127.0.0.1", instance.server.listener.port))
        caller.sendall((GET % b"r1").replace(b"Host", close + b"Host"))
        wait_for(lambda: any(instance.server.listener.queued.values()))
        wait_for(lambda: not instance.forwarder.tasks)
        time.sleep(pause)
        caller.shutdown(socket.SHUT_WR)
        time.sleep(2 * SOON)
        data = read_until(caller, [b"no such bytes"])
    assert data.endswith(LONG_BODY)


def test_a_begun_stream_goes_on_for_a_caller_that_sends_no_more(begin):
    """Guards streams whose caller reads on."""
    goes_on = [Event() for _ in range(5)]

    def stream(connection, request_id, request):
        EndpointStream.start(connection, request_id)
        for number, event in enumerate(goes_on, 2):
            event.wait(10.0)
            connection.sendall(b"id: %d\ndata: a\n\n" % number)
        return False

    with begin(stream).connect() as caller:
        endpoint_stream.begin_stream(caller, b"r1")
        caller.shutdown(socket.SHUT_WR)
        for event in goes_on:
            time.sleep(3 * SOON)
            event.set()
        assert read_until(caller, [b"0\r\n\r\n"]).endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("events", [0, 100])
def test_a_request_ends_soon_after_its_caller_has_closed(begin, events):
    """Guards endpoints against work for callers that have left."""
    left, ended = Event(), Event()

    def stream(connection, request_id, request):
        EndpointStream.start(connection, request_id)
        left.wait(10.0)
        for number in range(2, events + 2):
            time.sleep(SOON)
            connection.sendall(b"id: %d\ndata: a\n\n" % number)
        connection.recv(1)
        ended.set()
        return False

    instance = begin(stream)
    with instance.connect() as caller:
        endpoint_stream.begin_stream(caller, b"r1")
        caller.close()
        left.set()
        closed_at = time.monotonic()
        wait_for(lambda: not instance.forwarder.tasks)
        assert time.monotonic() - closed_at < GONE_WITHIN
    ended.wait(10.0)


def test_an_idle_connection_ends_with_its_caller(begin):
    """Guards descriptors against callers that have left."""
    instance = begin(echo)
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        read_until(caller, [b"r1/"])
        caller.shutdown(socket.SHUT_WR)
        wait_for(lambda: not instance.server.connections)


def test_an_engine_does_not_prefill_on_for_a_caller_that_sends_no_more():
    """Guards other callers against prefills for those that have left."""
    scene = Scene(make_engines(2), is_model=True)
    route = resumable(2)
    task, _reply = begin_stream(scene, route, is_begun=False)
    assert task.is_prefilling
    scene.pool.last.sink.on_head(200, EVENT_STREAM)
    scene.pool.last.sink.on_data(event(1))
    assert not task.is_prefilling


@pytest.mark.parametrize("is_half_closed", [False, True])
def test_a_stream_of_http_1_0_that_is_cut_does_not_look_complete(begin, is_half_closed):
    """Guards answers that end with their connection."""
    goes_on = Event()

    def stream(connection, request_id, request):
        EndpointStream.start(connection, request_id)
        goes_on.wait(10.0)
        reset = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        return False

    with begin(stream).connect() as caller:
        caller.sendall((GET % b"r1").replace(b"HTTP/1.1", b"HTTP/1.0"))
        read_until(caller, [endpoint_stream.EVENT])
        if is_half_closed:
            caller.shutdown(socket.SHUT_WR)
        goes_on.set()
        with pytest.raises(ConnectionError):
            read_until(caller, [b"no such bytes"])


def test_a_long_call_that_cannot_be_repeated_is_answered(begin):
    """Guards bookings whose caller ended its sending side."""

    def answer_late(connection, request_id, request):
        time.sleep(4 * PATIENCE)
        return echo(connection, request_id, request)

    instance = begin(answer_late)
    instance.forwarder.apply_config(make_config(make_route(UNSAFE), version=2))
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        caller.shutdown(socket.SHUT_WR)
        assert b"r1/" in read_until(caller, [b"no such bytes"])


def test_a_check_that_a_stall_held_up_lets_reads_come_first():
    """Guards streams whose events arrived while the instance stood still."""
    timers = VirtualTimers()
    resets = []
    listener = SimpleNamespace(
        clients=["s"],
        queued={},
        pause_reading=lambda sock: None,
        is_reset=lambda sock: False,
        reset=lambda sock, reason: resets.append(reason),
    )
    connection = SimpleNamespace(
        sock="s", has_ended_sending=False, has_request=True, task=None
    )
    callers = HalfClosedCallers(listener=listener, timers=timers, clock=timers.clock)
    callers.keep(connection)
    timers.now += 3 * PATIENCE
    timers.advance(0.0)
    assert resets == []
    timers.advance(0.1)
    assert resets == [CLOSED_BY_PEER]
