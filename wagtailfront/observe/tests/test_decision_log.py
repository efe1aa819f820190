"""The log of decisions stays bounded and never blocks."""

import os
import threading

import msgspec

from wagtailfront.observe.decision_log import (
    MAX_PENDING,
    DecisionLog,
    NonBlockingWriter,
)


def test_a_flood_of_one_kind_leaves_room_for_others():
    """Guards rare lines against a flood, and counts what was dropped."""
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


def test_a_reader_that_stands_still_does_not_hold_the_writer():
    """Writes far more than a full pipe takes, with nobody reading."""
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


def test_lines_stay_whole_when_the_reader_comes_back():
    """Guards against a line cut where the pipe was full."""
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
