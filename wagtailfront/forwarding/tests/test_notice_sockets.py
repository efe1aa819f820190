"""Tests of what endpoints say of themselves, over real sockets."""

import itertools
import threading
import time

import pytest

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.builders import make_record
from wagtailfront.forwarding.tests.scripted_endpoint import NoticeScript
from wagtailfront.forwarding.tests.socket_instance import GET, Instance, read_until
from wagtailfront.platform.tests.wire import deadline_line

HEAD_END = [b"\r\n\r\n"]
HURRIED_MS = 300


@pytest.fixture
def serve():
    """Return a function that starts an instance before an endpoint."""
    blocks = []

    def begin(script):
        instance = Instance(script)
        notices = instance.forwarder.context.notices
        notices.clock, notices.on_leaving = time.monotonic, instance.pool.drop_idle
        instance.pool.max_idle = lambda record: (
            0 if notices.is_leaving(record.incarnation) else 8
        )
        block = running(*instance.components)
        block.__enter__()
        blocks.append((block, instance))
        return instance

    yield begin
    for block, instance in blocks:
        block.__exit__(None, None, None)
        instance.endpoint.close()


def ask(instance, request_id):
    """Send a request on a new connection; return the head of the answer."""
    return send(instance, GET % request_id)


def ask_hurried(instance, request_id):
    """Send a request that has little time; return the head of the answer."""
    line = b"\r\n" + deadline_line(HURRIED_MS) + HEAD_END[0]
    return send(instance, (GET % request_id).replace(HEAD_END[0], line))


def send(instance, request):
    """Send a request on a new connection; return the head of the answer."""
    with instance.connect() as connection:
        connection.sendall(request)
        return read_until(connection, HEAD_END)


def test_a_leaving_endpoint_gets_no_request_and_no_connection_is_kept(serve):
    """Guards against work on a connection from before the notice."""
    script = NoticeScript()
    instance = serve(script)
    assert b"200 OK" in ask(instance, b"r1")
    script.leave()
    assert b"200 OK" in ask(instance, b"r2")
    assert instance.endpoint.closed.wait(5.0)
    answers = [ask(instance, b"r%d" % number) for number in range(3, 9)]
    assert all(answer.startswith(b"HTTP/1.1 503 ") for answer in answers)
    assert len(instance.endpoint.requests) == 2
    instance.forwarder.context.directory.replace(
        [make_record("e1", port=instance.endpoint.port, started_ms=2)], now=0.0
    )
    assert b"200 OK" in ask(instance, b"r9")


def test_an_endpoint_that_asks_for_a_pause_gets_nothing_until_it_is_over(serve):
    """Guards against requests of callers that come in the meantime."""
    script = NoticeScript()
    instance = serve(script)
    script.ask_pause(1.0)
    assert b"HTTP/1.1 503 " in ask_hurried(instance, b"r1")
    script.serve()
    # A request that comes shortly before the end may wait for it.
    answers = list(
        itertools.takewhile(
            lambda answer: b"200 OK" not in answer,
            (ask_hurried(instance, b"r2") for _ in range(100_000)),
        )
    )
    refused_at, *later = instance.endpoint.arrivals
    assert len(later) == 1
    assert 1.0 <= later[0] - refused_at < 5.0
    assert len(answers) > 3
    assert all(answer.startswith(b"HTTP/1.1 503 ") for answer in answers)


def test_a_late_copy_of_a_refusal_does_not_pause_an_endpoint(serve):
    """Guards against an answer to an earlier request on a kept connection."""
    script = NoticeScript()
    instance = serve(script)
    script.copies_refusal = True
    for number in range(6):
        assert b"200 OK" in ask(instance, b"r%d" % number)
    assert len(script.used) < 6


def test_a_request_waits_for_the_end_of_a_short_pause(serve):
    """Guards callers against refusals that nothing calls for."""
    script = NoticeScript()
    instance = serve(script)
    script.ask_pause(0.25)
    threading.Timer(0.1, script.serve).start()
    assert b"200 OK" in ask(instance, b"r1")
    assert len(instance.endpoint.requests) == 2
