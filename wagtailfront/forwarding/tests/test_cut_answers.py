"""Tests of answers that an endpoint cuts at any byte."""

import itertools

import pytest

from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    UNSAFE,
    Scene,
    VirtualTimers,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.scripted_socket import FIN, RST, ScriptedPool
from wagtailfront.platform.tests.wire import (
    HANDLE,
    KV_SOURCE,
    PREFILL_LINE,
    resume_line,
    signed_head,
    signed_response,
)
from wagtailfront.transport.framing import ResponseEnd, ResponseReader

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3)]
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
BODY = b"whole answer"
EARLIER = signed_response(b"r0", b"earlier")


def in_chunks(parts):
    """Return `parts` as chunks with extensions, and a trailer."""
    chunks = b"".join(b"%x;a=b\r\n%b\r\n" % (len(part), part) for part in parts)
    return chunks + b"0;c\r\nX-Own: t\r\n\r\n"


def length_line(size):
    return b"Content-Length: %d\r\n" % size


PLAIN = {
    "length": signed_head(b"r1", length_line(12)) + BODY,
    "http 1.0": signed_head(b"r1", length_line(12), version=b"1.0") + BODY,
    "chunks": signed_head(b"r1", CHUNKED) + in_chunks([BODY[:5], BODY[5:]]),
    "interim": INTERIM + signed_head(b"r1", length_line(12)) + BODY,
    "empty": signed_head(b"r1", length_line(0)),
    "no content": signed_head(b"r1", status=b"204 No Content"),
}
STREAMS = {
    "length": signed_head(b"r1", STREAM + length_line(sum(map(len, EVENTS))))
    + b"".join(EVENTS),
    "chunks": signed_head(b"r1", STREAM + CHUNKED) + in_chunks(EVENTS),
    "interim": INTERIM + signed_head(b"r1", STREAM + CHUNKED) + in_chunks(EVENTS),
}
NO_LENGTH = signed_head(b"r1") + BODY
STREAM_NO_LENGTH = signed_head(b"r1", STREAM) + b"".join(EVENTS)
SPLITS = {
    "at once": lambda data: [data],
    "a byte at a time": lambda data: [bytes([byte]) for byte in data],
}


@pytest.fixture(params=["new connection", "kept connection"])
def begin(request, monkeypatch):
    """Return a function that sends a request "r1" and returns its reply.

    On a kept connection, another request was answered before.
    """

    def send(route, **fields):
        timers = VirtualTimers()
        pool = ScriptedPool(monkeypatch, timers=timers)
        engines = [make_record(f"e{number}", stage="decode") for number in (1, 2)]
        scene = Scene(engines, is_model=True, timers=timers, pool=pool)
        scene.directory.replace(engines[:1], now=timers.now)
        if request.param == "kept connection":
            _task, earlier = scene.start(make_route(SAFE), request_id="r0")
            pool.connect()
            pool.receive(EARLIER)
            assert earlier.body == b"earlier"
        kept = pool.sock
        _task, reply = scene.start(route, **fields)
        assert kept in (None, pool.sock)
        if kept is None:
            pool.connect()
        scene.directory.replace(engines, now=timers.now)
        return pool, reply

    return send


@pytest.mark.parametrize("earlier", [b"", EARLIER], ids=["first", "second"])
@pytest.mark.parametrize("split", SPLITS)
def test_a_part_of_an_answer_is_never_complete(split, earlier):
    """Guards against the end of a connection that completes a cut answer."""
    for whole in [*PLAIN.values(), *STREAMS.values()]:
        for size in range(len(whole) + 1):
            reader = ResponseReader()
            reader.feed(earlier)
            pieces = SPLITS[split](whole[:size])
            parts = [part for piece in pieces for part in reader.feed(piece)]
            parts += reader.feed_end()
            is_complete = any(isinstance(part, ResponseEnd) for part in parts)
            assert is_complete == (size == len(whole))


@pytest.mark.parametrize("split", SPLITS)
@pytest.mark.parametrize("end", [FIN, RST], ids=["FIN", "RST"])
@pytest.mark.parametrize("framing", PLAIN)
def test_a_cut_answer_to_a_call_that_may_have_run_is_a_502(begin, framing, end, split):
    """Guards against a 200 with an empty or short body."""
    whole = PLAIN[framing]
    for size in range(len(whole) + 1):
        pool, reply = begin(make_route(UNSAFE))
        pool.receive(*SPLITS[split](whole[:size]), end)
        if size < len(whole):
            assert (reply.status, reply.body) == (502, b"")
        else:
            assert reply.status in (200, 204)


@pytest.mark.parametrize("end", [FIN, RST], ids=["FIN", "RST"])
@pytest.mark.parametrize("framing", PLAIN)
def test_a_cut_answer_to_a_safe_call_is_fetched_again(begin, framing, end):
    """Guards against bytes of a cut answer in the next one."""
    for size in range(len(PLAIN[framing])):
        pool, reply = begin(make_route(SAFE))
        cut = pool.sock
        pool.receive(PLAIN[framing][:size], end)
        assert pool.sock is not cut
        pool.connect()
        pool.receive(signed_response(b"r1", b"again"))
        assert (reply.status, reply.body) == (200, b"again")


@pytest.mark.parametrize("split", SPLITS)
@pytest.mark.parametrize("end", [FIN, RST], ids=["FIN", "RST"])
@pytest.mark.parametrize("framing", STREAMS)
def test_a_cut_stream_looks_cut(begin, framing, end, split):
    """Guards against a stream that ends early as if it were complete."""
    whole = STREAMS[framing]
    for size in range(len(whole) + 1):
        pool, reply = begin(make_route(STREAMING, max_attempts=1), prompt_tokens=100)
        pool.receive(*SPLITS[split](whole[:size]), end)
        if size == len(whole):
            assert reply.is_complete
            assert reply.body == b"".join(EVENTS)
        elif reply.body:
            assert reply.is_aborted
            assert not reply.is_complete
            assert b"".join(EVENTS).startswith(reply.body)
        else:
            assert reply.status == 502


@pytest.mark.parametrize("end", [FIN, RST], ids=["FIN", "RST"])
@pytest.mark.parametrize("framing", STREAMS)
def test_a_cut_stream_goes_on_without_a_gap(begin, framing, end):
    """Guards against lost, repeated or partial events after a cut."""
    route = make_route(STREAMING, is_resumable=True)
    for size in range(len(STREAMS[framing])):
        pool, reply = begin(route, prompt_tokens=100)
        pool.receive(STREAMS[framing][:size], end)
        if not reply.is_complete:
            pool.connect()
            resumed = [i for i in (1, 2, 3) if resume_line(i) in pool.sock.sent]
            rest = EVENTS[sum(resumed) :]
            pool.receive(signed_head(b"r1", STREAM + CHUNKED) + in_chunks(rest))
        assert reply.is_complete
        assert reply.body == b"".join(EVENTS)


@pytest.mark.parametrize("split", SPLITS)
def test_an_answer_without_length_needs_its_head_and_an_orderly_end(begin, split):
    """Guards against a reset, or a cut head, that ends such an answer."""
    head_size = len(NO_LENGTH) - len(BODY)
    sizes = range(len(NO_LENGTH) + 1)
    for size, end in itertools.product(sizes, [FIN, RST]):
        pool, reply = begin(make_route(UNSAFE))
        pool.receive(*SPLITS[split](NO_LENGTH[:size]), end)
        if end is FIN and size >= head_size:
            assert (reply.status, reply.body) == (200, NO_LENGTH[head_size:size])
        else:
            assert (reply.status, reply.body) == (502, b"")


def test_a_stream_without_length_needs_whole_events_and_an_orderly_end(begin):
    """Guards against a reset, or a cut event, that ends such a stream."""
    head_size = len(STREAM_NO_LENGTH) - sum(map(len, EVENTS))
    ends = [head_size + n for n in itertools.accumulate(map(len, EVENTS))]
    sizes = range(len(STREAM_NO_LENGTH) + 1)
    for size, end in itertools.product(sizes, [FIN, RST]):
        pool, reply = begin(make_route(STREAMING, max_attempts=1), prompt_tokens=100)
        pool.receive(STREAM_NO_LENGTH[:size], end)
        is_whole = end is FIN and size in ends
        if reply.status == 200:
            assert (reply.is_complete, reply.is_aborted) == (is_whole, not is_whole)
        else:
            assert (reply.status, size < ends[0]) == (502, True)


def test_a_cut_head_after_an_answer_is_not_part_of_the_next(monkeypatch):
    """Guards against the status of an extra answer for the next request."""
    extra = b"HTTP/1.1 200 OK\r\nX-Own: "
    next_answer = signed_head(b"r1", length_line(2), status=b"404 Not Found") + b"no"
    for size in range(1, len(extra) + 1):
        timers = VirtualTimers()
        pool = ScriptedPool(monkeypatch, timers=timers)
        scene = Scene([make_record("e1")], timers=timers, pool=pool)
        _task, earlier = scene.start(make_route(UNSAFE), request_id="r0")
        pool.connect()
        kept = pool.sock
        pool.receive(EARLIER + extra[:size])
        assert earlier.body == b"earlier"
        _task, reply = scene.start(make_route(UNSAFE))
        if pool.sock is not kept:
            pool.connect()
        pool.receive(next_answer)
        assert (reply.status, reply.body) == (404, b"no")
        assert kept.is_closed


@pytest.mark.parametrize("framing", ["length", "no length"])
def test_a_cut_prefill_is_not_used(monkeypatch, framing):
    """Guards against a KV source that is cut, or that does not exist."""
    lines = length_line(len(HANDLE)) if framing == "length" else b""
    whole = signed_head(b"r1", lines) + HANDLE
    for size, end in itertools.product(range(len(whole) + 1), [FIN, RST]):
        timers = VirtualTimers()
        pool = ScriptedPool(monkeypatch, timers=timers)
        engines = [make_record(stage, stage=stage) for stage in ("prefill", "decode")]
        scene = Scene(engines, is_model=True, timers=timers, pool=pool)
        route = make_route(STREAMING, is_resumable=True)
        scene.start(route, prompt_tokens=20_000)
        pool.connect()
        prefill = pool.sock
        assert PREFILL_LINE in prefill.sent
        pool.receive(whole[:size], end)
        assert pool.sock is not prefill
        pool.connect()
        is_whole = size == len(whole) and (end is FIN or framing == "length")
        assert (KV_SOURCE in pool.sock.sent) is is_whole
