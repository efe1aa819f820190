"""Tests of the server for peers' requests on real sockets."""

import socket
import threading

import pytest

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.proxy_headers import (
    ProxyInstructions,
    instruction_headers,
)
from wagtailfront.forwarding.proxy_server import ProxyServer
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    TIMEOUT,
    Instance,
    echo,
    read_until,
    wait_for,
)
from wagtailfront.platform.tests.wire import header_lines

LEAVING_SECONDS = 0.5  # from a caller's close until its endpoint is told


class HeldScript:
    """Answers when the test permits it."""

    def __init__(self):
        self.may_answer = threading.Event()

    def __call__(self, connection, request_id, request):
        connection.settimeout(TIMEOUT)
        self.may_answer.wait(TIMEOUT)
        return echo(connection, request_id, request)


@pytest.fixture
def script():
    script = HeldScript()
    yield script
    script.may_answer.set()


@pytest.fixture
def instance(script):
    """Return a running instance that also takes requests of peers."""
    instance = Instance(script)
    instance.proxy_server = ProxyServer(
        bind=("127.0.0.1", 0), forwarder=instance.forwarder, max_connections=50
    )
    with running(*instance.components, instance.proxy_server):
        yield instance
    instance.close()


def send_as_peer(instance, request_id):
    """Send a peer's request; return its connection."""
    port = instance.proxy_server.listener.port
    connection = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT)
    lines = header_lines(instruction_headers(ProxyInstructions("s")))
    request = (GET % request_id).replace(b"\r\n\r\n", b"\r\n" + lines + b"\r\n")
    connection.sendall(request)
    return connection


def test_a_peers_request_is_answered(instance, script):
    """Guards the way of a request through two instances."""
    script.may_answer.set()
    with send_as_peer(instance, b"r1") as connection:
        answer = read_until(connection, [b"r1/"])
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"Wagtailfront-Proxy-Endpoint: e1%2F1\r\n" in answer


@pytest.mark.parametrize("how", ["close", "end of sending"])
def test_a_peer_that_leaves_ends_the_request(instance, how):
    """Guards endpoints against work for callers of peers that have left."""
    connection = send_as_peer(instance, b"r1")
    wait_for(lambda: instance.forwarder.tasks)
    wait_for(lambda: instance.endpoint.requests)
    if how == "close":
        connection.close()
    else:
        connection.shutdown(socket.SHUT_WR)
    ended = threading.Event()
    threading.Thread(
        target=lambda: (
            wait_for(lambda: not instance.forwarder.tasks),
            ended.set(),
        ),
        daemon=True,
    ).start()
    assert ended.wait(LEAVING_SECONDS)
    assert not instance.pool.connections
    connection.close()
