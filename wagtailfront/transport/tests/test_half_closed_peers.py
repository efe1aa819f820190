"""Tests of servers whose peers end their sending side after a request."""

import socket
import time

import pytest
from circuits import BaseComponent, handler

from wagtailfront.callers.tests.builders import running
from wagtailfront.serving.http_server import HttpServer


class Application(BaseComponent):
    """Answers each request with the same body."""

    channel = "web"

    def __init__(self, *, body):
        super().__init__()
        self.body = body

    @handler("request")
    def _on_request(self, request, response):
        return self.body


@pytest.mark.parametrize(("size", "pause"), [(2, 0.0), (3_000_000, 0.5)])
def test_a_peer_that_sends_no_more_gets_its_answer(size, pause):
    """Guards whole requests against a close without the whole answer."""
    server = HttpServer(bind=("127.0.0.1", 0), channel="web")
    with running(server, Application(body="x" * size)), socket.socket() as peer:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.settimeout(5.0)
        peer.connect(("127.0.0.1", server.port))
        peer.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        time.sleep(pause)
        peer.shutdown(socket.SHUT_WR)
        data = b""
        while part := peer.recv(65536):
            data += part
    assert data.endswith(b"x" * size)
