"""Tests that the log names each request whose connection ended early."""

import json
import socket

import pytest

from wagtailfront.forwarding.tests.endpoint_stream import EndpointStream, begin_stream
from wagtailfront.forwarding.tests.socket_instance import (
    GET,
    read_until,
    start_instances,
    wait_for,
)
from wagtailfront.observe.decision_log import DecisionLog
from wagtailfront.transport.http_listener import CLOSED_BY_PEER, RESET_BY_PEER


@pytest.fixture
def stream():
    """Return the script of the endpoint."""
    script = EndpointStream()
    yield script
    script.goes_on.set()


@pytest.fixture
def instance(stream):
    """Return a running instance in front of the endpoint."""
    with start_instances() as begin:
        yield begin(stream)


@pytest.fixture
def lines(instance):
    """Return the decoded lines on unanswered requests."""
    lines = []
    log = DecisionLog(instance="i", write=lambda line: lines.append(json.loads(line)))
    context = instance.forwarder.context._replace(log=log)
    instance.server.unanswered.context = context
    return lines


def test_a_caller_that_closes_is_named_with_all_its_requests(instance, lines):
    """Guards the record of requests that end with their caller."""
    with instance.connect() as caller:
        begin_stream(caller, b"r1", b"r2")
    wait_for(lambda: len(lines) == 2)
    assert [(line["request"], line["state"]) for line in lines] == [
        ("r1", "in progress"),
        ("r2", "waiting"),
    ]
    assert {line["outcome"] for line in lines} <= {CLOSED_BY_PEER, RESET_BY_PEER}
    assert lines[0]["config"] == 1
    assert lines[0]["config_age"] >= lines[0]["age"] >= 0.0
    metrics = instance.forwarder.context.metrics.render()
    assert b"wagtailfront_unanswered_requests_total{" in metrics


def test_a_caller_that_ends_only_its_sending_side_is_named(instance, lines):
    """Guards the record of a FIN, which counts as the caller's leaving."""
    with instance.connect() as caller:
        begin_stream(caller, b"r1")
        caller.shutdown(socket.SHUT_WR)
        wait_for(lambda: lines)
        wait_for(lambda: not instance.forwarder.tasks)
    assert lines[0]["request"] == "r1"
    assert lines[0]["outcome"] == CLOSED_BY_PEER


def test_a_stream_that_is_broken_off_is_named(instance, lines, stream):
    """Guards the record of answers that this instance resets."""
    with instance.connect() as caller:
        begin_stream(caller, b"r1")
        instance.timers.after(0.0, next(iter(instance.forwarder.tasks)).stop)
        wait_for(lambda: lines)
    assert lines[0]["request"] == "r1"
    assert lines[0]["outcome"] == "its answer was broken off"


def test_a_request_behind_a_refusal_is_named(instance, lines):
    """Guards the record of requests that are read and not served."""
    with instance.connect() as caller:
        caller.sendall((GET % b"r1")[:-2])
        assert read_until(caller, [b"408"]).startswith(b"HTTP/1.1 408 ")
        caller.sendall(b"\r\n" + GET % b"r2")
        wait_for(lambda: len(lines) == 2)
    assert [line["kind"] for line in lines] == ["unserved", "unanswered"]
    assert lines[1]["request"] == "r2"
    assert lines[1]["state"] == "read after the close"


def test_an_answered_request_has_no_line(instance, lines, stream):
    """Guards the log against requests that got their whole answer."""
    stream.goes_on.set()
    with instance.connect() as caller:
        caller.sendall(GET % b"r1")
        read_until(caller, [b"0\r\n\r\n"])
    wait_for(lambda: not instance.server.connections)
    assert lines == []
