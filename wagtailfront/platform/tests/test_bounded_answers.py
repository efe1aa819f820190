"""Tests of calls whose answer is announced as too long to be read."""

import contextlib
import socket
import threading
import time

import pytest

from wagtailfront.callers.tests.builders import running
from wagtailfront.platform.calls import call
from wagtailfront.transport.http_client import HttpPool

REST_SECONDS = 2.0  # until the server sends the rest of its answer


@contextlib.contextmanager
def announcing_server(length):
    """Serve an answer of `length` bytes that comes late; give its port."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _address = server.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(65536)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
                connection.sendall(head + b"x")
                time.sleep(REST_SECONDS)
                connection.sendall(b"x" * (length - 1))

        threading.Thread(target=serve, daemon=True).start()
        yield server.getsockname()[1]


@pytest.mark.parametrize(("length", "is_read"), [(1000, True), (1001, False)])
def test_a_body_that_is_too_long_is_not_waited_for(length, is_read):
    """Guards a slow link against an answer that is not needed."""
    replies, done = [], threading.Event()

    def on_reply(*reply):
        replies.append(reply)
        done.set()

    pool = HttpPool()
    began = time.monotonic()
    with announcing_server(length) as port, running(pool):
        call(
            pool,
            on_reply,
            max_body=1000,
            host="127.0.0.1",
            port=port,
            method="GET",
            path="/",
        )
        assert done.wait(10.0)
    assert len(replies) == 1
    assert replies[0] == (200, b"x" * length if is_read else None)
    assert (time.monotonic() - began >= REST_SECONDS) == is_read
