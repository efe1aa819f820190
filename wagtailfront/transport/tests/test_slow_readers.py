"""Tests of answers to peers that do not read them."""

import socket

from circuits import BaseComponent, handler

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.serving.http_server import HttpServer, ServerLimits
from wagtailfront.transport import http_listener

MIB = 1024 * 1024
CALLERS = 8
SIZE = 12 * MIB  # bytes of an answer, more than sockets buffer
TIMEOUT = 10.0  # seconds
REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"


class LargeAnswers(BaseComponent):
    """Answers /large with SIZE bytes, and any other path with a few."""

    channel = "large"

    def __init__(self):
        super().__init__()
        self.answered = 0
        self.server = HttpServer(
            bind=("127.0.0.1", 0), channel=self.channel, limits=ServerLimits()
        ).register(self)

    @handler("request")
    def _on_request(self, req, res):
        self.answered += 1
        res.body = b"x" * SIZE if req.path == "/large" else b"small"
        return res


def connect(component, path):
    """Return a connection on which a request has been sent."""
    address = ("127.0.0.1", component.server.port)
    connection = socket.create_connection(address, timeout=TIMEOUT)
    connection.sendall(REQUEST % path)
    return connection


def test_what_peers_do_not_read_is_limited_together(monkeypatch):
    """Guards memory, and other callers, against peers that stop reading."""
    limit = 3 * SIZE
    monkeypatch.setattr(http_listener, "MAX_TOTAL_WRITE", limit)
    component = LargeAnswers()
    listener = component.server.listener
    with running(component):
        slow = [connect(component, b"large") for _ in range(CALLERS)]
        wait_for(lambda: component.answered == CALLERS)
        with connect(component, b"small") as sound:
            assert sound.recv(4096).startswith(b"HTTP/1.1 200 ")
        assert SIZE < listener.total_queued <= limit
        for connection in slow:
            connection.close()
        wait_for(lambda: not listener.total_queued)
    assert not +listener.queued
