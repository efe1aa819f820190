"""Tests of reading and sharing load reports."""

import msgspec
import pytest

from wagtailfront.bench.slope_fleet import make_fleet
from wagtailfront.callers.tests.fakes import FakePool
from wagtailfront.endpoints.chunk_check import ChunkCheck
from wagtailfront.endpoints.engine_protocol import EngineLoad
from wagtailfront.endpoints.load_reporter import (
    DIGEST_MISSING,
    MAX_DIRECT_READS,
    LoadReporter,
    _decode,
)
from wagtailfront.exception import ProtocolError

ENGINES = 30
DEEP = b'{"odd":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
LOAD = EngineLoad(
    running=3,
    waiting=1,
    queued_prefill_tokens=0,
    cached_pieces=0,
    model="m",
    version="1",
    adapters=(),
    role="mixed",
    age=0.5,
)


class Reporter:
    """A reporter with a virtual clock and a fake pool."""

    def __init__(self, held=()):
        self.now = 0.0
        self.pool = FakePool()
        self.sent = []
        self.component = LoadReporter(
            pool=self.pool,
            held_engines=lambda: {"brum/0": (7, list(held))} if held else {},
            broadcast=self.sent.append,
            clock=lambda: self.now,
        )
        self.component._on_configuration(make_fleet(ENGINES, models=3))

    def poll(self, seconds):
        """Advance the time and return the number of reports requested."""
        before = len(self.pool.exchanges)
        self.now += seconds
        self.component._on_poll()
        return len(self.pool.exchanges) - before

    def fail_all(self):
        for exchange in self.pool.open("/load"):
            exchange.fail("no answer")


def test_unresponsive_engines_do_not_use_up_direct_reads():
    """Guards against unresponsive engines that use up all direct reads."""
    reporter = Reporter()
    assert reporter.poll(1.0) == 0
    counts = [reporter.poll(DIGEST_MISSING + 1)]
    reporter.fail_all()
    for _ in range(3):
        counts.append(reporter.poll(1.0))
        reporter.fail_all()
    assert counts == [MAX_DIRECT_READS] * 3 + [0]


def test_held_engines_are_read_and_shared_when_they_change():
    """Guards against digests with stale or unchanged reports."""
    reporter = Reporter(held=["engine-1"])
    assert reporter.poll(1.0) == 1
    exchange = reporter.pool.open("/load")[0]
    exchange.sink.on_head(200, {})
    exchange.sink.on_data(msgspec.json.encode(LOAD))
    exchange.end()
    for _ in range(2):
        reporter.component._on_share()
    assert len(reporter.sent) == 1
    digest = reporter.sent[0]
    assert (digest.group, digest.fencing_number) == ("brum/0", 7)
    assert digest.loads[0].running == 3
    assert digest.loads[0].age >= 0.5


def test_a_deeply_nested_report_is_not_read():
    """Guards against a report that ends the reading of all others."""
    assert _decode(DEEP) is None


def test_a_deeply_nested_chunk_is_a_protocol_error():
    """Guards against a chunk that ends more than its own stream."""
    check = ChunkCheck(request_id="r", attempt=1, next_token=0)
    with pytest.raises(ProtocolError, match="unreadable chunk"):
        check.feed(b"data: " + DEEP + b"\n\n")
