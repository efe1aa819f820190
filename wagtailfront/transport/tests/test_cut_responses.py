"""Tests of responses that a peer cuts at any byte, or frames wrongly."""

import pytest

from wagtailfront.transport.http_client import Exchange, WholeResponse

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
RESPONSES = {
    "length": OK + b"Content-Length: 5\r\n\r\nhello",
    "http 1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    # The last line only ends the trailers, which are empty.
    "chunks": CHUNKED + b"2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\n",
}
SPLITS = {
    "at once": lambda data: [data],
    "a byte at a time": lambda data: [bytes([byte]) for byte in data],
}


class RecordingPool:
    """Fake pool that records whether a connection is kept."""

    def __init__(self):
        self.is_kept = False

    def release(self, exchange, *, reusable):
        self.is_kept = reusable

    def drop(self, exchange):
        pass


def receive(parts, *, ends):
    """Return the status, the body and whether the connection is kept."""
    answers, pool = [], RecordingPool()
    exchange = Exchange(
        pool=pool,
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
    if ends:
        exchange.handle_eof()
    [(status, _headers, body)] = answers
    return status, body, pool.is_kept


@pytest.mark.parametrize("split", SPLITS)
@pytest.mark.parametrize("framing", RESPONSES)
def test_a_part_of_a_response_is_a_failure(framing, split):
    """Guards against the end of a connection that completes a response."""
    whole = RESPONSES[framing]
    for size in range(len(whole)):
        status, _, _ = receive(SPLITS[split](whole[:size]), ends=True)
        assert status is None
    assert receive(SPLITS[split](whole), ends=True)[:2] == (200, b"hello")


@pytest.mark.parametrize("split", SPLITS)
def test_a_response_without_length_needs_its_head(split):
    """Guards against a cut head that is taken for an empty response."""
    head = OK + b"X-Own: a\r\n\r\n"
    for size in range(len(head)):
        assert receive(SPLITS[split](head[:size]), ends=True)[0] is None
    whole = SPLITS[split](head + b"hello")
    assert receive(whole, ends=True) == (200, b"hello", False)


@pytest.mark.parametrize("split", SPLITS)
@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding: chunked;a=b",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked",
        b"Content-Length: 5\r\nContent-Length: 4",
        b"Content-Length: 1\r\n 5",
        b"Content-Length: -5",
        b"Content-Length: 1_0",
        b"Content-Length:",
    ],
)
def test_a_response_with_unclear_framing_fails(lines, split):
    """Guards against a cut body, or one with chunk lines, that looks whole."""
    for body in (b"", b"5\r\nhe", b"5\r\nhello\r\n0\r\n\r\n"):
        data = OK + lines + b"\r\n\r\n" + body
        assert receive(SPLITS[split](data), ends=True)[0] is None


@pytest.mark.parametrize("status", [b"000", b"007", b"99"])
@pytest.mark.parametrize("framing", [b"Content-Length: 5", b"X-Own: a"])
def test_a_status_below_100_is_no_response(status, framing):
    """Guards the store's client against a status that says nothing."""
    data = b"HTTP/1.1 " + status + b" OK\r\n" + framing + b"\r\n\r\nhello"
    assert receive([data], ends=True)[0] is None


def test_bytes_after_a_response_are_no_part_of_it_or_the_next():
    """Guards against extra bytes in a body, or on a kept connection."""
    whole = RESPONSES["length"]
    assert receive([whole], ends=False) == (200, b"hello", True)
    for extra in (b"!", b"HTTP/1.1 200 OK\r\nX-Own: "):
        assert receive([whole + extra], ends=False) == (200, b"hello", False)
        assert receive([whole[:-1], b"o" + extra], ends=False)[1:] == (b"hello", False)
