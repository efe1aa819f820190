"""Tests of the last steps of a stop, on real sockets."""

import signal
import time
from threading import Event

import pytest

from wagtailfront.forwarding.shutdown import WRITE_SECONDS, Shutdown
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    read_until,
    start_instances,
    wait_for,
)


@pytest.fixture
def instance():
    """Return an instance whose endpoint answers no request."""
    before = signal.getsignal(signal.SIGHUP)
    may_end = Event()

    def wait(connection, request_id, request):
        may_end.wait(10.0)
        return echo(connection, request_id, request)

    with start_instances() as begin:
        instance = begin(wait)
        instance.shutdown = Shutdown(
            server=instance.server,
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
