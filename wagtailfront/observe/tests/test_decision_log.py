"""Tests that the decision log is bounded and never blocks."""

import os
import threading

import msgspec

from wagtailfront.observe.decision_log import (
    MAX_PENDING,
    DecisionLog,
    NonBlockingWriter,
)


def test_each_kind_has_its_own_rate_limit():
    """Guards against frequent lines that displace rare ones unreported."""
    lines, now = [], [0.0]
    log = DecisionLog(
        instance="i", write=lines.append, clock=lambda: now[0], rate=10, burst=20
    )
    for _ in range(1000):
        log.decision("sent", outcome="run", request="r")
    log.decision("configuration", outcome="applied", version=3)
    assert len(lines) == 21
    assert msgspec.json.decode(lines[-1])["version"] == 3
    now[0] = 1.0
    log.decision("sent", outcome="run", request="r")
    assert msgspec.json.decode(lines[-1])["dropped_before"] == 980


def test_a_stalled_reader_does_not_block_the_writer():
    """Guards against a full pipe, which nobody reads, that blocks writes."""
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor=descriptor)
    line = b"x" * 999 + b"\n"

    def flood():
        for _ in range(5000):
            writer.write(line)

    thread = threading.Thread(target=flood, daemon=True)
    thread.start()
    thread.join(5.0)
    assert not thread.is_alive()
    assert writer.dropped > 0
    assert len(writer.pending) <= MAX_PENDING
    os.close(reader)
    os.close(descriptor)


def test_lines_are_complete_when_the_reader_resumes():
    """Guards against a line that is truncated where the pipe was full."""
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor=descriptor)
    for number in range(2000):
        writer.write(b"%06d%s\n" % (number, b"." * 93))
    data = b""
    while len(data) < 2000 * 100 and writer.pending:
        data += os.read(reader, 65536)
        writer.write(b"")
    os.close(descriptor)
    data += os.read(reader, 1 << 20)
    assert {len(line) for line in data.splitlines()} == {99}
    os.close(reader)
