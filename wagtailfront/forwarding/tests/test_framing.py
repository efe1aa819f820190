"""Tests of HTTP framing, with messages split at any byte."""

import pytest

from wagtailfront.serving.request_reader import RequestReader
from wagtailfront.transport.framing import (
    ResponseData,
    ResponseEnd,
    ResponseHead,
    ResponseReader,
)
from wagtailfront.transport.http_responses import MAX_FRAMING

CHUNKED = b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = (
    b"POST /a?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
    b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
    + CHUNKED
    + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\n\r\nhello",
}


def read_requests(pieces):
    """Return the requests parsed from `pieces`, and the failure."""
    reader = RequestReader(max_head=500, max_body=100)
    requests = [request for piece in pieces for request in reader.feed(piece)]
    return requests, reader.failure


def in_bytes(data):
    """Return `data` a byte at a time."""
    return [data[i : i + 1] for i in range(len(data))]


def read_response(pieces, *, ends):
    """Return statuses, body and whether the response is complete."""
    reader = ResponseReader()
    parts = [part for piece in pieces for part in reader.feed(piece)]
    if ends:
        parts += reader.feed_end()
    body = b"".join(part.data for part in parts if isinstance(part, ResponseData))
    heads = [part.status for part in parts if isinstance(part, ResponseHead)]
    is_complete = any(isinstance(part, ResponseEnd) for part in parts)
    return heads, body, is_complete and reader.failure is None


@pytest.mark.parametrize("split", [in_bytes, lambda data: [data]])
def test_pipelined_requests(split):
    """Guards requests that arrive together or a byte at a time."""
    requests, failure = read_requests(split(REQUESTS))
    assert failure is None
    assert [(r.method, r.target, r.body) for r in requests] == [
        (b"POST", b"/a?q=1", b"hello"),
        (b"GET", b"/b", b""),
        (b"POST", b"/c", b"abcde"),
    ]


def test_a_partial_head_is_counted_without_the_requests_before_it():
    """Guards sound pipelined requests against a refusal as too large."""
    post = b"POST /c HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"a" * 100
    requests, failure = read_requests([post * 6 + post[:20], post[20:]])
    assert failure is None
    assert len(requests) == 7


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Content-Length: 3\r\nContent-Length: 4",
        b"Transfer-Encoding : chunked",
        b"Transfer-Encoding: chunked, identity",
        b"X: a\r\n folded",
    ],
)
def test_ambiguous_framing_is_rejected(lines):
    """Guards against request smuggling."""
    data = b"POST / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n\r\nabc"
    requests, failure = read_requests([data])
    assert requests == []
    assert failure.status == 400


@pytest.mark.parametrize("size", [0, 499, 5000])
def test_a_body_is_not_counted_as_the_head_behind_it(size):
    """Guards pipelined requests against 431 for the body in the same read."""
    reader = RequestReader(max_head=500, max_body=5000)
    message = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + size * b"x"
    requests = reader.feed(message + b"GET /b HTTP/1.1\r\nHo")
    requests += reader.feed(b"st: h\r\n\r\n")
    assert reader.failure is None
    assert [request.target for request in requests] == [b"/a", b"/b"]


def test_a_complete_request_before_garbage_is_served():
    """Guards requests that are followed by invalid bytes."""
    requests, failure = read_requests([REQUESTS + b"\x00garbage\r\n\r\n"])
    assert len(requests) == 3
    assert failure.status == 400


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 600, 431),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 600 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"a" * 101, 413),
    ],
)
def test_limits(data, status):
    """Guards the limits on heads and bodies."""
    _requests, failure = read_requests([data])
    assert failure is not None
    assert failure.status == status


@pytest.mark.parametrize("size", [1, 30, 90])
def test_the_head_behind_a_long_body_is_not_too_large(size):
    """Guards pipelined requests whose bytes arrive with those of a body."""
    head = b"GET /b HTTP/1.1\r\nHost: h\r\nX: %b\r\n\r\n" % (b"a" * 400)
    body = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + b"a" * 100
    data = body + head
    cut = len(data) - size
    requests, failure = read_requests([data[:cut], data[cut:]])
    assert failure is None
    assert [request.target for request in requests] == [b"/a", b"/b"]


def test_an_endless_head_behind_a_request_fails():
    """Guards memory against a head that begins in the read of another."""
    pieces = [REQUESTS + b"GET /b HTTP/1.1\r\nX: ", *[b"a" * 100] * 6]
    requests, failure = read_requests(pieces)
    assert len(requests) == 3
    assert failure.status == 431


@pytest.mark.parametrize("split", [in_bytes, lambda data: [data]])
@pytest.mark.parametrize("framing", RESPONSES)
def test_complete_responses(framing, split):
    """Guards the three framings of a response."""
    got = read_response(split(RESPONSES[framing]), ends=framing == "close")
    assert got == ([200], b"hello", True)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_truncated_response_is_not_complete(framing):
    """Guards against a truncated response that looks complete."""
    data = RESPONSES[framing]
    for end in range(len(data)):
        assert not read_response([data[:end]], ends=True)[2]


def test_a_close_delimited_response_needs_eof():
    """Guards against a reset that is treated as the end of a response."""
    assert not read_response([RESPONSES["close"]], ends=False)[2]


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        b"Transfer-Encoding: chunked;a=b",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked",
        b"Content-Length: 5\r\nContent-Length: 4",
        b"Content-Length: 5\r\nContent-Length: 5",
        b"Content-Length: 5\r\n 5",
        b"Content-Length: -5",
        b"Content-Length:",
        b"X: a\n",
        b"X: a\r",
    ],
)
def test_a_response_with_unclear_framing_is_never_complete(lines):
    """Guards against a cut body, or one with chunk lines, that looks whole."""
    head = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n\r\n"
    for body in (b"", b"5\r\nhe", b"5\r\nhello\r\n0\r\n\r\n"):
        assert read_response([head + body], ends=True) == ([], b"", False)


def test_interim_responses_are_skipped():
    """Guards against a 1xx response that is treated as the final one."""
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSES["length"]
    assert read_response([data], ends=False) == ([200], b"hello", True)


@pytest.mark.parametrize("status", [b"000", b"099"])
def test_the_body_of_an_interim_response_is_not_that_of_the_final_one(status):
    """Guards against bytes that were sent before the head of a response."""
    interim = b"HTTP/1.1 %b X\r\nContent-Length: 3\r\n\r\nabc" % status
    _heads, body, is_complete = read_response(
        [interim + RESPONSES["length"]], ends=False
    )
    assert (body, is_complete) == (b"", False)


ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"a" * 1000),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 1000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Own: abcdefgh\r\n" * 60),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 40),
    "chunk extension": (CHUNKED_HEAD + b"3;a=", b"b" * 1000),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-Own: abcdefgh\r\n" * 60),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_that_are_no_body_fail(name):
    """Guards memory against an endpoint that never ends a head."""
    start, more = ENDLESS[name]
    reader = ResponseReader()
    parts = reader.feed(start)
    fed = 0
    while reader.failure is None and fed < 100 * MAX_FRAMING:
        parts += reader.feed(more)
        fed += len(more)
    assert reader.failure is not None
    assert fed <= MAX_FRAMING + len(start) + len(more)
    assert not any(isinstance(part, ResponseEnd) for part in parts)


def test_many_small_chunks_are_no_endless_head():
    """Guards long streams, whose chunk lines add up."""
    reader = ResponseReader()
    reader.feed(CHUNKED_HEAD)
    chunk = b"2;extension=%b\r\nab\r\n" % (b"e" * 200)
    for _ in range(2 * MAX_FRAMING // len(chunk)):
        assert reader.feed(chunk) == [ResponseData(b"ab")]
    assert reader.failure is None


def test_bytes_that_are_not_http_fail():
    """Guards against an endpoint that does not speak HTTP."""
    reader = ResponseReader()
    reader.feed(b"\x01\x02 nothing\r\n\r\n")
    assert reader.failure is not None
