"""Tests of responses that arrive before their request has been written."""

import socket
import struct
import threading

import pytest

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.transport.http_client import HttpPool, WholeResponse

LONG_BODY = b"x" * 8_000_000  # more than the buffers of a connection hold
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def respond_and_end(listener, response, *, resets, ended):
    """Answer one connection before its request has been read, and end it."""
    connection, _address = listener.accept()
    with connection:
        connection.recv(1000)
        connection.sendall(response)
        if resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    ended.set()


@pytest.mark.parametrize("sees_reset_first", [False, True])
def test_a_part_before_a_reset_is_no_response(sees_reset_first):
    """Guards against a reset that is taken for the end of a response.

    The error of a reset is reported once: a write that gets it leaves an end
    of the stream to the read that follows.
    """
    answers, ended, pool = [], threading.Event(), HttpPool()
    with socket.create_server(("127.0.0.1", 0)) as listener, running(pool):
        response = b"HTTP/1.1 200 OK\r\nX-Own: a\r\n\r\n{}"
        arguments = {"resets": True, "ended": ended}
        threading.Thread(
            target=respond_and_end, args=(listener, response), kwargs=arguments
        ).start()
        flush = pool._flush

        def flush_after_reset(exchange):
            flush(exchange)
            if sees_reset_first and exchange.outgoing:
                ended.wait(10.0)
                flush(exchange)

        pool._flush = flush_after_reset
        pool.request(
            host="127.0.0.1",
            port=listener.getsockname()[1],
            method="POST",
            path="/",
            body=LONG_BODY,
            sink=WholeResponse(lambda *answer: answers.append(answer)),
        )
        wait_for(lambda: answers)
    [(status, _reason, is_sent)] = answers
    assert status is None
    assert is_sent
