"""Tests of the last steps of a stop, on real sockets."""

import contextlib
import signal
import time
from threading import Event

import pytest
from circuits import BaseComponent, handler

from wagtailfront.forwarding.forward_task import ForwardTask
from wagtailfront.forwarding.shutdown import WRITE_SECONDS, Shutdown
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    read_until,
    start_instances,
    wait_for,
)


class Faults(BaseComponent):
    """Records exceptions that would restart a supervised component."""

    def __init__(self):
        super().__init__()
        self.found = []

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, traceback, **_context):
        self.found.append(value)


@pytest.fixture
def instance():
    """Return an instance whose endpoint answers no request."""
    before = signal.getsignal(signal.SIGHUP)
    may_end = Event()
    begun = []

    def wait(connection, request_id, request):
        begun.append(request_id)
        may_end.wait(10.0)
        return echo(connection, request_id, request)

    with start_instances() as begin:
        instance = begin(wait)
        instance.begun = begun
        instance.shutdown = Shutdown(
            servers=[instance.server],
            forwarder=instance.forwarder,
            timers=instance.timers,
            grace=8.0,
            log=instance.forwarder.context.log,
        )
        instance.shutdown.register(instance.server.root)
        yield instance
        may_end.set()
    signal.signal(signal.SIGHUP, before)


@pytest.mark.parametrize("count", [1, 8])
def test_a_stall_in_the_last_steps_of_a_stop_leaves_no_request_unanswered(
    instance, count
):
    """Guards pipelined requests that are answered one step after the other."""
    names = [b"r%d." % number for number in range(count)]

    def end_and_stall():
        now = time.monotonic()
        instance.server.start_draining()
        instance.forwarder.refuses_from = now
        instance.forwarder.serves_until = now
        instance.shutdown._end_requests()
        time.sleep(WRITE_SECONDS + 0.05)

    with instance.connect() as caller:
        caller.sendall(b"".join(GET % name for name in names))
        wait_for(lambda: instance.forwarder.tasks)
        instance.timers.after(0.0, end_and_stall)
        data = read_until(caller, [b"Connection: close"])
    assert data.count(b"HTTP/1.1 50") == count


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_request_that_arrives_with_the_last_check_is_not_read_in_vain(
    instance, is_connected
):
    """Guards the first request of a connection that was silent before."""
    accepted = []
    accept = instance.forwarder.accept
    instance.forwarder.accept = lambda *args: accepted.append(args) or accept(*args)
    callers = []

    def send_and_check():
        if not is_connected:
            callers.append(instance.connect())
        callers[0].sendall(GET % b"r1")
        instance.server.start_draining()
        instance.shutdown._check()

    if is_connected:
        callers.append(instance.connect())
        wait_for(lambda: instance.server.listener.clients)
    instance.timers.after(0.0, send_and_check)
    wait_for(lambda: callers)
    with callers[0] as caller:
        try:
            data = read_until(caller, [b"HTTP/1.1"])
        except ConnectionResetError:
            data = b""
    assert bool(data) == bool(accepted)


def fail_for(monkeypatch, method, request_id):
    """Let a method of ForwardTask raise for one request."""
    original = getattr(ForwardTask, method)

    def fail(task, *arguments):
        if task.fields.request_id == request_id:
            raise RuntimeError("planted")
        original(task, *arguments)

    monkeypatch.setattr(ForwardTask, method, fail)


def test_a_fault_in_one_request_keeps_no_other_from_its_answer(instance, monkeypatch):
    """Guards requests in progress at the end of a stop."""
    fail_for(monkeypatch, "stop", "r0")
    with contextlib.ExitStack() as opened:
        callers = [opened.enter_context(instance.connect()) for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.sendall(GET % (b"r%d" % number))
        wait_for(lambda: len(instance.begun) == len(callers))
        instance.timers.after(0.0, instance.shutdown._end_requests)
        assert [read_until(caller, [b"502"])[9:12] for caller in callers] == [
            b"502"
        ] * 4
        wait_for(lambda: not instance.server.root.running)


def test_a_fault_in_a_cancelled_request_does_not_restart_the_listener(
    instance, monkeypatch
):
    """Guards all callers against a fault in the request of one that left."""
    fail_for(monkeypatch, "cancel", "r0")
    faults = Faults().register(instance.server.root)
    with instance.connect() as caller:
        caller.sendall(GET % b"r0")
        wait_for(lambda: instance.forwarder.tasks)
    wait_for(lambda: not instance.server.connections)
    wait_for(lambda: not instance.forwarder.tasks)
    assert faults.found == []
