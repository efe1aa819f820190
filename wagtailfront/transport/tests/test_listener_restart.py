"""Tests that a stopped listener leaves no socket in the poller."""

import socket

from wagtailfront.serving.http_server import HttpServer
from wagtailfront.transport.tests.event_loop import EventLoop

IDLE_TICKS = 20


def test_sockets_of_a_stopped_listener_are_not_polled():
    """Guards against a busy loop on readable sockets without a reader."""
    loop = EventLoop()
    server = HttpServer(bind=("127.0.0.1", 0), channel="stopped").register(loop)
    loop.wait_for(lambda: server.listener._poller is not None)
    with socket.create_connection(("127.0.0.1", server.port)) as caller:
        loop.wait_for(lambda: server.listener.clients)
        poller = server.listener._poller
        server.unregister()
        loop.wait_for(lambda: not server.listener.clients)
        caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
        for _ in range(IDLE_TICKS):
            loop.step()
        watched = [fd for fd in poller._read if isinstance(fd, socket.socket)]
    assert watched == []
