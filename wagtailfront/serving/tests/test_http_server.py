"""Tests of the HTTP server and client with invalid and slow peers."""

import contextlib
import itertools
import select
import socket
import threading
import time

import pytest
from circuits import BaseComponent, handler
from circuits.web.events import response
from hypothesis import given, settings, strategies as st

from wagtailfront.callers.tests.builders import running
from wagtailfront.serving.http_server import HttpServer, ServerLimits
from wagtailfront.transport import http_exchange
from wagtailfront.transport.http_client import HttpPool, WholeResponse

LIMITS = ServerLimits(max_head=2000, max_body=4000, head_timeout=0.1, idle_timeout=0.1)
DIALOGUE_TIMEOUT = 10.0  # seconds
DELAY = 1.0  # seconds, longer than all limits


class Echo(BaseComponent):
    """Answers each request with its body."""

    channel = "echo"

    def __init__(self):
        super().__init__()
        self.requests = 0
        self.headers = {}
        self.server = HttpServer(
            bind=("127.0.0.1", 0), channel=self.channel, limits=LIMITS
        ).register(self)

    @handler("request")
    def _on_request(self, req, res):
        self.requests += 1
        self.headers = req.headers
        res.body = req.body.read() or b"empty"
        return res


@pytest.fixture(scope="module")
def echo():
    component = Echo()
    with running(component):
        yield component


def send_and_read(component, data):
    """Send bytes and return all bytes received until the server closes."""
    address = ("127.0.0.1", component.server.port)
    with socket.create_connection(address, timeout=DIALOGUE_TIMEOUT) as connection:
        parts = []
        try:
            connection.sendall(data)
            while part := connection.recv(65536):
                parts.append(part)
        except ConnectionError:
            pass
        return b"".join(parts)


VALID_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
VALID_LAST_REQUEST = VALID_REQUEST.replace(b"Host: a", b"Host: a\r\nConnection: close")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\rY: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\x7fb\r\n\r\n", 400),
        (b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a:b\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            b"0\r\n\r\n",
            501,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 9000, 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"400\r\n"
            + b"a" * 1024
            + b"\r\n" * 1
            + (b"400\r\n" + b"a" * 1024 + b"\r\n") * 8,
            413,
        ),
    ],
)
def test_malformed_requests_are_rejected(echo, data, status):
    """Guards against smuggled, oversized and malformed requests."""
    before = echo.requests
    assert send_and_read(echo, data).startswith(b"HTTP/1.1 %d " % status)
    assert echo.requests == before


@given(
    garbage=st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [
                    VALID_REQUEST,
                    b"\r\n",
                    b"GET / HTTP/1.1\r\n",
                    b"Host: a\r\n",
                    b"5\r\nabc",
                ]
            ),
        ),
        max_size=6,
    )
)
@settings(max_examples=25)
def test_fuzzed_bytes_leave_no_state(echo, garbage):
    """Guards against a crash or leaked state after arbitrary bytes."""
    send_and_read(echo, b"".join(garbage))
    assert send_and_read(echo, VALID_LAST_REQUEST).endswith(b"ok")
    limit = time.monotonic() + DIALOGUE_TIMEOUT
    server, exchanges = echo.server.server, echo.server.application.exchanges
    while (server.connections or exchanges) and time.monotonic() < limit:
        time.sleep(0.001)
    assert not server.connections
    assert not exchanges
    assert not server.intake.memory.holders


def test_escapes_in_a_header_stay_as_they_are(echo):
    """Guards against a line break that is decoded from a header's value."""
    escaped = VALID_LAST_REQUEST.replace(b"Host: a", b"Host: a\r\nX: a\\r\\nY: b")
    assert send_and_read(echo, escaped).endswith(b"ok")
    assert echo.headers["X"] == "a\\r\\nY: b"
    assert "Y" not in echo.headers


def test_slow_sender_is_closed(echo):
    """Guards against connections held open by a request that never ends."""
    before = echo.requests
    assert send_and_read(echo, VALID_REQUEST[:20]).startswith(b"HTTP/1.1 408 ")
    assert echo.requests == before


def test_a_sender_of_single_bytes_is_closed(echo):
    """Guards against a request that goes on slowly and never ends."""
    address = ("127.0.0.1", echo.server.port)
    with socket.create_connection(address, timeout=DIALOGUE_TIMEOUT) as connection:
        with contextlib.suppress(OSError):
            for byte in itertools.chain(VALID_REQUEST[:20], itertools.repeat(65)):
                connection.sendall(bytes([byte]))
                time.sleep(LIMITS.head_timeout / 4)
                if select.select([connection], [], [], 0)[0]:
                    break
        assert connection.recv(100).startswith(b"HTTP/1.1 408 ")


def test_pipelined_requests_are_answered_in_order(echo):
    """Guards against an answer for the wrong request, or none."""
    first = VALID_REQUEST.replace(b"ok", b"1.")
    answers = send_and_read(echo, first + VALID_LAST_REQUEST)
    assert answers.count(b"HTTP/1.1 200 OK") == 2
    assert answers.index(b"1.") < answers.index(b"ok")


def fetch(port, *, context=None, **options):
    """Return the arguments with which the pool reports one request."""
    results = []
    done = threading.Event()

    def on_done(*result):
        results.append(result)
        done.set()

    pool = HttpPool(connect_timeout=0.5, context=context)
    with running(pool):
        pool.request(
            host="127.0.0.1",
            port=port,
            method="GET",
            path="/",
            sink=WholeResponse(on_done),
            **options,
        )
        assert done.wait(DIALOGUE_TIMEOUT)
    return results[0]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 abc\r\n\r\n",
        b"",
    ],
)
def test_truncated_answer_is_a_failure(answer):
    """Guards against a truncated answer that is reported as complete."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _address = server.accept()
            connection.recv(65536)
            connection.sendall(answer)
            connection.close()

        threading.Thread(target=serve, daemon=True).start()
        status, _reason, sent = fetch(server.getsockname()[1])
    assert status is None
    assert sent


def test_refused_connection_counts_as_not_sent():
    """Guards against reporting a request as sent that was not."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    assert fetch(port)[0] is None
    assert fetch(port)[2] is False


def test_silent_peer_times_out():
    """Guards against a request that waits forever on a silent connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        status, reason, sent = fetch(server.getsockname()[1], timeout=0.3)
    assert (status, reason, sent) == (None, "timed out", True)


@contextlib.contextmanager
def slow_server(*, parts, gap):
    """Serve an answer of `parts` bytes, `gap` seconds apart; give its port."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _address = server.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(65536)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                connection.sendall(head % parts)
                for _ in range(parts):
                    time.sleep(gap)
                    connection.sendall(b"x")

        threading.Thread(target=serve, daemon=True).start()
        yield server.getsockname()[1]


def test_an_answer_that_arrives_slowly_is_not_given_up():
    """Guards against large answers that are asked for again and again."""
    with slow_server(parts=6, gap=0.2) as port:
        status, _reason, body = fetch(port, timeout=0.5, stall_timeout=0.5)
    assert (status, len(body)) == (200, 6)


def test_an_answer_that_stalls_is_given_up():
    """Guards against waiting for the rest of an answer without a limit."""
    with slow_server(parts=2, gap=1.5) as port:
        status, reason, _sent = fetch(port, timeout=0.5, stall_timeout=0.5)
    assert (status, reason.split(" with")[0]) == (None, "timed out")


def test_an_answer_that_trickles_is_given_up(monkeypatch):
    """Guards against an answer that never ends but never stalls."""
    monkeypatch.setattr(http_exchange, "MAX_TRANSFER", 0.6)
    with slow_server(parts=50, gap=0.1) as port:
        status, reason, _sent = fetch(port, timeout=0.5, stall_timeout=0.5)
    assert (status, reason.split(" with")[0]) == (None, "timed out")


class Delayed(BaseComponent):
    """Answers later; blocks its event loop meanwhile for /stall."""

    channel = "delayed"

    def __init__(self):
        super().__init__()
        self.server = HttpServer(
            bind=("127.0.0.1", 0), channel=self.channel, limits=LIMITS
        ).register(self)

    @handler("request")
    def _on_request(self, req, res):
        res.body = b"late"
        if req.path == "/stall":
            time.sleep(DELAY)
            return res
        self.server.application.context.timers.after(
            DELAY, lambda: self.fire(response(res), self.channel)
        )
        return True


def test_what_arrives_during_a_stall_is_answered():
    """Guards a request against a close as idle before it is read."""
    component = Delayed()
    with running(component):
        address = ("127.0.0.1", component.server.port)
        with socket.create_connection(address, timeout=DIALOGUE_TIMEOUT) as waiting:
            time.sleep(0.75 * LIMITS.idle_timeout)  # a check sees it as idle
            with socket.create_connection(address) as stalling:
                stalling.sendall(b"GET /stall HTTP/1.1\r\nHost: a\r\n\r\n")
                time.sleep(2 * LIMITS.idle_timeout)
                waiting.sendall(VALID_REQUEST)
                assert waiting.recv(100).startswith(b"HTTP/1.1 200 ")


def test_a_part_of_the_next_request_leaves_an_answer_whole():
    """Guards an answer against the refusal of what follows its request."""
    component = Delayed()
    with running(component):
        answers = send_and_read(component, VALID_REQUEST + VALID_REQUEST[:20])
    first, _, rest = answers.partition(b"late")
    assert first.startswith(b"HTTP/1.1 200 ")
    assert b"408" not in first
    assert rest.startswith(b"HTTP/1.1 408 ")
