"""Tests that each request read gets an answer in spite of own faults."""

import errno
import socket

import pytest

from wagtailfront.forwarding import endpoint_pool
from wagtailfront.forwarding.attempt import RunAttempt
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    echo,
    read_until,
    start_instances,
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
        endpoint_pool, "new_client_socket", lambda timeout: new_socket()
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
