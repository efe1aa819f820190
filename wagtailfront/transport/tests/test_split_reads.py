"""Tests of HTTP messages that arrive in several reads."""

import itertools
import socket

import pytest
from circuits import BaseComponent, handler
from hypothesis import given, strategies as st

from wagtailfront.serving.http_server import HttpServer
from wagtailfront.transport.http_client import Exchange, WholeResponse
from wagtailfront.transport.http_responses import MAX_FRAMING
from wagtailfront.transport.tests.event_loop import EventLoop

BODY = b"two words"
CHUNKS = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (b"two ", b"words"))
RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + BODY,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS + b"0\r\n\r\n",
    b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + BODY,
]
OFFER = b"POST /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
REQUESTS = [
    b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n" + BODY,
    b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNKS
    + b"0\r\n\r\n",
    OFFER + b"Content-Length: 9\r\n\r\n" + BODY,
    OFFER + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS + b"0\r\n\r\n",
]


class NoPool:
    """Fake pool for an exchange without a socket."""

    def release(self, exchange, *, reusable):
        pass

    def drop(self, exchange):
        pass


def receive(parts):
    """Return status and body of each response received in `parts`."""
    answers = []
    exchange = Exchange(
        pool=NoPool(),
        address=("127.0.0.1", 1),
        secure=False,
        payload=b"",
        sink=WholeResponse(lambda *answer: answers.append(answer)),
        deadline=None,
    )
    exchange.sent = True
    for part in parts:
        if not exchange.done:
            exchange.receive(part)
    return [(status, body) for status, _headers, body in answers]


@pytest.mark.parametrize("whole", RESPONSES)
def test_response_split_anywhere(whole):
    """Guards against rejecting a head whose CR and LF are split."""
    for cut in range(1, len(whole)):
        assert receive([whole[:cut], whole[cut:]]) == [(200, BODY)]


@given(whole=st.sampled_from(RESPONSES), cuts=st.sets(st.integers(1, 90)))
def test_response_in_many_reads(whole, cuts):
    """Guards against state lost between more than two reads."""
    ends = sorted(cut for cut in cuts if cut < len(whole))
    starts = [0, *ends]
    parts = [whole[start:end] for start, end in zip(starts, [*ends, None], strict=True)]
    assert receive(parts) == [(200, BODY)]


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 ", b"a" * 1000),
        (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"X-Own: abcdefgh\r\n" * 60),
        (b"", b"\r\n" * 500),
        (CHUNKED_HEAD + b"3;a=", b"b" * 1000),
    ],
    ids=["status line", "header", "headers", "empty lines", "chunk extension"],
)
def test_bytes_without_end_that_are_no_body_fail(start, more):
    """Guards memory against a peer that never ends a head."""
    fed = itertools.chain([start], itertools.repeat(more, 3 * MAX_FRAMING // len(more)))
    assert receive(fed) == [(None, True)]


class Echo(BaseComponent):
    """Answers with the request's body."""

    channel = "echo"

    def __init__(self):
        super().__init__()
        self.server = HttpServer(bind=("127.0.0.1", 0), channel="echo")
        self.server.register(self)

    @handler("request")
    def _on_request(self, req, res):
        res.body = req.body.read()
        return res


@pytest.mark.parametrize("whole", REQUESTS)
def test_request_split_anywhere(whole):
    """Guards against rejecting a request whose CR and LF are split."""
    root, echo = EventLoop(), Echo()
    echo.register(root)
    address = ("127.0.0.1", echo.server.port)
    # The last two bytes only end the trailers, which are empty.
    for cut in range(1, len(whole) - 2):
        with socket.create_connection(address) as sock:
            sock.sendall(whole[:cut])
            root.wait_for(lambda: has_part(echo.server.server))
            sock.sendall(whole[cut:])
            sock.setblocking(False)
            answer = root.wait_for(lambda sock=sock: try_read(sock))
            assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
            assert answer.endswith(BODY)
        root.wait_for(lambda: not echo.server.server.connections)


def has_part(server):
    """Return whether a server has read a part of a request."""
    connections = server.connections.values()
    return any(not each.is_idle or each.reader.bytes_read for each in connections)


def try_read(sock):
    """Return the bytes that have arrived, or None."""
    try:
        return sock.recv(65536)
    except BlockingIOError:
        return None
