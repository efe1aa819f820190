"""Tests that each request read gets an answer in spite of own faults."""

import errno
import socket
import struct
import threading
import time

import pytest

from wagtailfront.forwarding import endpoint_pool
from wagtailfront.forwarding.attempt import RunAttempt
from wagtailfront.forwarding.forward_task import ForwardTask
from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.request_dispatch import RequestDispatch
from wagtailfront.forwarding.routes import RouteTable
from wagtailfront.forwarding.silence_watch import SilenceWatch
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    UNSAFE,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    make_config,
    read_until,
    start_instances,
    wait_for,
)

HEAD_END = [b"\r\n\r\n"]


@pytest.fixture
def instance():
    """Return a running instance whose endpoint echoes requests."""
    with start_instances() as begin:
        yield begin(echo)


def fail(error):
    """Return a function that raises `error`."""

    def raise_error(*arguments, **options):
        raise error

    return raise_error


class UnresolvableSocket(socket.socket):
    """Socket that cannot be connected, as its peer's name is unknown."""

    connect_ex = fail(socket.gaierror(socket.EAI_NONAME, "unknown name"))


@pytest.mark.parametrize(
    "new_socket",
    [fail(OSError(errno.EMFILE, "too many open files")), UnresolvableSocket],
    ids=["no descriptor", "no address"],
)
def test_a_connection_that_cannot_be_opened_fails_as_one_refused(
    instance, monkeypatch, new_socket
):
    """Guards a request against a reset though it was certainly not sent."""
    monkeypatch.setattr(
        endpoint_pool, "new_client_socket", lambda timeout, size: new_socket()
    )
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        data = read_until(caller, HEAD_END)
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in data
    assert not instance.pool.connections


@pytest.mark.parametrize("step", ["on_head", "on_data", "on_end"])
def test_a_response_that_cannot_be_handled_is_a_failure(instance, monkeypatch, step):
    """Guards a request against waiting for its deadline without an attempt."""
    monkeypatch.setattr(RunAttempt, step, fail(RuntimeError("fault")))
    with instance.connect() as caller:
        caller.settimeout(1.0)
        caller.sendall(GET % b"r1")
        assert read_until(caller, HEAD_END).startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize(
    ("owner", "step", "status"),
    [
        (RouteTable, "find", 503),
        (ForwardTask, "__init__", 503),
        (RequestDispatch, "dispatch", 503),
        (RunAttempt, "_encode", 503),
        (SilenceWatch, "watch", 503),
        (Forwarder, "accept", 502),
    ],
)
def test_a_request_whose_start_fails_is_answered(
    instance, monkeypatch, owner, step, status
):
    """Guards a request, and those behind it, against a reset."""
    with monkeypatch.context() as patch, instance.connect() as caller:
        patch.setattr(owner, step, fail(RuntimeError("fault")))
        caller.sendall(GET % b"r1")
        head = read_until(caller, HEAD_END)
        assert head.startswith(b"HTTP/1.1 %d " % status)
        patch.undo()
        caller.sendall(GET % b"r2")
        assert b"r2/" in read_until(caller, [b"r2/"])
    wait_for(lambda: not instance.forwarder.tasks)


@pytest.mark.parametrize(("is_sent", "status"), [(True, 502), (False, 503)])
def test_a_timer_that_fails_ends_its_request(is_sent, status):
    """Guards a request against waiting for its deadline without an attempt."""
    scene = Scene([make_record()])
    task, reply = scene.start(make_route(UNSAFE))
    scene.pool.last.is_sent = is_sent
    task.after(0.1, fail(RuntimeError("fault")))
    scene.timers.advance(0.2)
    assert reply.status == status
    assert scene.done == [task]


def test_a_failure_that_cannot_be_handled_ends_its_request(monkeypatch):
    """Guards the pool, and with it all callers, against a restart."""
    scene = Scene([make_record()])
    task, reply = scene.start(make_route(UNSAFE))
    monkeypatch.setattr(
        scene.context.health, "record_failure", fail(RuntimeError("fault"))
    )
    scene.pool.last.fail()
    assert reply.status == 502
    assert scene.done == [task]


@pytest.mark.parametrize("kind", [SAFE, UNSAFE])
def test_a_kept_connection_that_was_just_reset_costs_no_request(kind):
    """Guards a request sent before the reset is read from the socket."""
    may_reset, is_reset = threading.Event(), threading.Event()

    def reset_after_first(connection, request_id, request):
        echo(connection, request_id, request)
        if request_id == b"r1":
            may_reset.wait(10.0)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
            is_reset.set()
        return request_id != b"r1"

    with start_instances() as begin:
        instance = begin(reset_after_first)
        route = make_route(kind, timeout=3.0)
        instance.forwarder.apply_config(make_config(route, version=2))
        with instance.connect() as caller:
            caller.sendall(GET % b"r1")
            read_until(caller, [b"r1/"])

            def read_request_first():
                may_reset.set()
                is_reset.wait(10.0)
                caller.sendall(GET % b"r2")
                time.sleep(0.05)
                (sock,) = instance.server.connections
                instance.server.listener._read(sock)

            instance.timers.after(0.0, read_request_first)
            assert b"r2/" in read_until(caller, [b"r2/", b"HTTP/1.1 50"])
