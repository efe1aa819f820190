"""Tests of answers without end, and of the memory that they may take."""

import tracemalloc

import pytest

from wagtailfront.forwarding import event_splitter
from wagtailfront.forwarding.event_splitter import EventSplitter
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    UNSAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.intake.body_memory import BodyMemory
from wagtailfront.platform.tests.wire import EVENT_STREAM, SIGNED
from wagtailfront.transport.framing import ResponseReader

MIB = 1024 * 1024
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def peak_memory(step):
    """Return by how many bytes the memory in use rises during `step`."""
    tracemalloc.start()
    try:
        before, _peak = tracemalloc.get_traced_memory()
        step()
        return tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


def begin_calls(scene, count):
    """Start calls whose answers have begun; return their replies."""
    replies = [scene.start(make_route(UNSAFE))[1] for _ in range(count)]
    for exchange in scene.pool.exchanges[-count:]:
        exchange.sink.on_head(200, SIGNED)
    return replies


def test_a_body_in_tiny_chunks_takes_little_more_memory_than_its_bytes():
    """Guards an instance's memory against objects of a few bytes each."""
    scene = Scene([make_record("e1")])
    begin_calls(scene, 1)
    sink = scene.pool.last.sink
    reader = ResponseReader()
    reader.feed(CHUNKED_HEAD)
    data = b"2\r\nab\r\n" * 9000

    def receive():
        for _ in range(60):
            for part in reader.feed(data):
                sink.on_data(part.data)

    assert peak_memory(receive) < 4 * MIB
    assert len(sink.body) == 60 * 18_000


def test_a_head_of_many_headers_fails():
    """Guards an instance's memory against headers of a few bytes each."""
    reader = ResponseReader()
    head = b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 20_000

    assert peak_memory(lambda: reader.feed(head)) < MIB
    assert reader.failure is not None


class CountingPattern:
    """Pattern of an event's end that counts the bytes searched."""

    def __init__(self):
        self.pattern = event_splitter.EVENT_END
        self.count = 0

    def finditer(self, data, start=0):
        self.count += len(data) - start
        return self.pattern.finditer(data, start)


def test_an_event_without_end_is_searched_once(monkeypatch):
    """Guards the processor against an event that grows by a few bytes."""
    pattern = CountingPattern()
    monkeypatch.setattr(event_splitter, "EVENT_END", pattern)
    splitter = event_splitter.EventSplitter()
    for _ in range(1000):
        splitter.feed(b"x" * 1000)
    assert pattern.count < 2 * MIB
    assert splitter.feed(b"\n") == b""
    assert len(splitter.feed(b"\nid: 2\n")) == 1_000_002
    assert splitter.has_partial_event


@pytest.mark.parametrize("cut", range(1, 12))
def test_events_are_split_wherever_the_bytes_are_cut(cut):
    """Guards the ends of events that two parts share."""
    stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\r\n\n"
    splitter = EventSplitter()
    parts = [stream[at : at + cut] for at in range(0, len(stream), cut)]
    assert b"".join(map(splitter.feed, parts)) == stream
    assert splitter.last_id == 3
    assert not splitter.has_partial_event


def test_events_without_end_share_the_limit_of_memory():
    """Guards an instance against many streams that never end an event."""
    records = [make_record(f"d{number}", stage="decode") for number in range(3)]
    scene = Scene(records, is_model=True, slack=0)
    for _ in range(120):
        scene.start(make_route(STREAMING))
    for exchange in scene.pool.exchanges:
        exchange.sink.on_head(200, EVENT_STREAM)
    memory = scene.context.body_memory
    for _ in range(15):
        for exchange in scene.pool.exchanges:
            if not exchange.is_cancelled:
                exchange.sink.on_data(b"x" * 65536)
    held = sum(
        len(exchange.sink.splitter.partial)
        for exchange in scene.pool.exchanges
        if not exchange.is_cancelled
    )
    assert held <= memory.max_total
    assert memory.total == held
    scene.timers.advance(10.0)
    assert memory.total == 0


def test_sound_answers_are_forwarded_beside_endless_ones():
    """Guards other callers against an endpoint that uses all memory up."""
    scene = Scene([make_record("e1")], slack=0)
    endless = begin_calls(scene, 8)
    faulty = list(scene.pool.exchanges)
    memory = scene.context.body_memory
    part = b"x" * 65536
    while memory.total < memory.max_total - len(part):
        for exchange in faulty:
            if not exchange.is_cancelled:
                exchange.sink.on_data(part)
    (sound,) = begin_calls(scene, 1)
    scene.pool.last.sink.on_data(b"y" * 100_000)
    scene.pool.last.sink.on_end()
    assert (sound.status, len(sound.body)) == (200, 100_000)
    assert [reply.status for reply in endless].count(502) == 1


def test_the_largest_response_yields():
    """Guards small responses, and the total of what is held."""
    memory = BodyMemory(max_body=6, max_total=10)
    failed = []
    holders = [
        memory.hold(on_evicted=lambda name=name: failed.append(name)) for name in "abc"
    ]
    assert holders[0].resize(3)
    assert holders[1].resize(6)
    assert holders[2].resize(2)
    assert failed == ["b"]
    assert memory.total == 5
    assert not holders[0].resize(7)
    assert memory.total == 5
    assert holders[0].resize(1)
    for holder in holders:
        holder.release()
        holder.release()
    assert memory.total == 0
