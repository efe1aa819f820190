"""Tests of SIGHUP, which may come between any two steps of the program."""

import os
import signal

import pytest

from wagtailfront.forwarding.tests.test_shutdown import StoppingInstance
from wagtailfront.observe import decision_log
from wagtailfront.observe.decision_log import DecisionLog, NonBlockingWriter


@pytest.fixture
def instance():
    """Return an instance that handles SIGHUP until the test ends."""
    before = signal.getsignal(signal.SIGHUP)
    yield StoppingInstance()
    signal.signal(signal.SIGHUP, before)


def test_a_reload_within_a_write_does_not_garble_the_log(instance, monkeypatch):
    """Guards the writer's buffer against a signal handler that writes too."""
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor=descriptor)
    instance.shutdown.log = DecisionLog(instance="i", write=writer.write)
    write, signals = os.write, [signal.SIGHUP] * 3

    def write_and_signal(number, data):
        count = write(number, data)
        if signals:
            signal.raise_signal(signals.pop())
        return count

    monkeypatch.setattr(decision_log.os, "write", write_and_signal)
    writer.write(b"first\n")
    writer.write(b"second\n")
    instance.timers.advance(0.1)
    lines = os.read(reader, 65536).splitlines()
    assert lines[:2] == [b"first", b"second"]
    assert [b'"reload"' in line for line in lines[2:]] == [True] * 3
    assert writer.pending == b""


def test_reloads_during_a_stop_end_no_request(instance):
    """Guards requests in progress when both signals come."""
    reply = instance.request(5000)
    instance.begin()
    for _ in range(20):
        signal.raise_signal(signal.SIGHUP)
    instance.timers.advance(1.0)
    assert reply.status is None
    assert not instance.stopped
