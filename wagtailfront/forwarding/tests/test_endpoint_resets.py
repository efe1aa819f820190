"""Tests of connections to endpoints that end or begin at a bad moment."""

import socket
import struct
import threading
import time

import pytest

from wagtailfront.forwarding.endpoint_pool import CONNECT_TIMEOUT
from wagtailfront.forwarding.tests.builders import SAFE, STREAMING, make_route
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    LIMITS,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.platform.tests.wire import signed_head, signed_response
from wagtailfront.transport.framing import LAST_CHUNK

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
END_OF_DATA = b"until the connection ends"
LONG_BODY = b"x" * 8_000_000  # more than the buffers of a connection hold


def reset(connection):
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class EarlyAnswer:
    """Endpoint that answers a request whose body it does not read.

    Parameters
    ----------
    response : callable
        Returns the bytes sent before the reset, for a request's id.
    """

    def __init__(self, response):
        self.response = response
        self.is_reset = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _address = self.listener.accept()
        read_until(connection, [b"\r\n\r\n"])
        connection.sendall(self.response(b"r1"))
        reset(connection)
        self.is_reset.set()


@pytest.fixture
def begin():
    with start_instances() as start:
        yield start


@pytest.mark.parametrize("end", [reset, socket.socket.close], ids=["reset", "close"])
def test_answer_that_arrived_before_the_end_of_its_connection_is_passed_on(begin, end):
    """Guards against a failure for an answer that lies in the socket."""

    def answer_and_end(connection, request_id, request):
        connection.sendall(signed_response(request_id, b"answered" * 1000))
        end(connection)
        return False

    instance = begin(answer_and_end)
    for number in range(20):
        with instance.connect() as caller:
            caller.sendall(GET % b"r%d" % number)
            data = read_until(caller, [b"answered" * 1000])
        assert data.startswith(b"HTTP/1.1 200 ")


def send_long_body(begin, response, *, kind=SAFE):
    """Return the answer to a body that an endpoint resets while it is sent."""
    instance = begin(lambda *arguments: False)
    limits = LIMITS._replace(max_body=2 * len(LONG_BODY))
    instance.forwarder.apply_config(
        make_config(make_route(kind), version=2, limits=limits)
    )
    endpoint = EarlyAnswer(response)
    port = endpoint.listener.getsockname()[1]
    flush, open_connection = instance.pool._flush, instance.pool._open

    def flush_again_after_reset(connection):
        flush(connection)
        if connection.outgoing:
            endpoint.is_reset.wait(10.0)
            flush(connection)

    instance.pool._flush = flush_again_after_reset
    instance.pool._open = lambda record: open_connection(record._replace(port=port))
    with endpoint.listener, instance.connect() as caller:
        caller.sendall(HEAD % (b"r1", len(LONG_BODY)) + LONG_BODY)
        data = read_until(caller, [END_OF_DATA if kind is STREAMING else b"\r\n\r\n"])
    wait_for(lambda: not instance.pool.connections)
    return data


def test_early_answer_is_passed_on_though_the_rest_of_the_body_is_reset(begin):
    """Guards against 502 where the endpoint has answered a part of a body."""
    data = send_long_body(begin, lambda name: signed_response(name, b"answered"))
    assert data.startswith(b"HTTP/1.1 200 ")


def test_answer_without_a_length_that_is_reset_is_no_whole_answer(begin):
    """Guards against a reset that is taken for the end of an answer."""
    data = send_long_body(begin, lambda name: signed_head(name) + b"answered")
    assert data.startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize("events", [b"", b"id: 1\ndata: a\n\n", b"id: 1\ndata: a"])
def test_stream_without_a_length_that_is_reset_is_no_whole_stream(begin, events):
    """Guards against a reset that is taken for the end of a stream."""
    data = send_long_body(
        begin,
        lambda name: signed_head(name, EVENT_STREAM) + events,
        kind=STREAMING,
    )
    assert b"\r\n" + LAST_CHUNK not in data
    assert data.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 200 "))


@pytest.mark.parametrize("kind", [SAFE, STREAMING])
def test_status_below_100_is_no_answer(begin, kind):
    """Guards callers against an answer whose status says nothing."""
    instance = begin(
        lambda connection, request_id, request: connection.sendall(
            signed_response(request_id, b"x").replace(b" 200 ", b" 000 ", 1)
        )
    )
    instance.forwarder.apply_config(make_config(make_route(kind), version=2))
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        data = read_until(caller, [b"\r\n\r\n"])
    assert data.startswith(b"HTTP/1.1 502 ")


def test_connection_made_while_the_instance_stands_still_is_used(begin):
    """Guards endpoints against a failure for the instance's own stall."""
    instance = begin(echo)
    opened, open_connection = [], instance.pool._open

    def open_and_stand_still(record):
        opened.append(open_connection(record))
        time.sleep(2 * CONNECT_TIMEOUT)
        return opened[-1]

    instance.pool._open = open_and_stand_still
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        assert b"r1/" in read_until(caller, [b"r1/"])
    assert len(opened) == 1
