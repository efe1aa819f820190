"""Tests of streams at engines of two software versions, on real sockets."""

import contextlib
import time

import pytest

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.builders import STREAMING, make_record, make_route
from wagtailfront.forwarding.tests.scripted_endpoint import ScriptedEndpoint
from wagtailfront.forwarding.tests.socket_instance import (
    Instance,
    make_config,
    read_until,
)
from wagtailfront.platform.tests.wire import (
    caller_headers,
    event_stream_headers,
    resumed_event,
)
from wagtailfront.transport.framing import LAST_CHUNK, encode_head

RESUMABLE = make_route(STREAMING, is_resumable=True, timeout=3.0)


def request(request_id, **fields):
    """Return the bytes of a caller's request for a stream."""
    headers = caller_headers(request_id, seconds=3.0, **fields)
    return encode_head(b"GET /a HTTP/1.1", headers)


def script(version, *, last, is_whole):
    """Return a script that sends the events before `last`, then ends."""

    def send(connection, request_id, payload):
        first = resumed_event(payload) + 1
        events = [b"id: %d\ndata: %b\n\n" % (n, version) for n in range(first, last)]
        end = b"" if is_whole else b"id: %d\ndata" % last
        head = encode_head(b"HTTP/1.1 200 OK", event_stream_headers(request_id))
        connection.sendall(head + b"".join(events) + end)
        return False

    return send


@contextlib.contextmanager
def instance_before(*engines):
    """Run an instance before engines, given as (version, script)."""
    instance = Instance(engines[0][1])
    endpoints = [instance.endpoint, *(ScriptedEndpoint(e[1]) for e in engines[1:])]
    records = [
        make_record(f"e{number}", port=endpoint.port, software_version=version)
        for number, (endpoint, (version, _script)) in enumerate(
            zip(endpoints, engines, strict=True)
        )
    ]
    instance.forwarder.apply_config(make_config(RESUMABLE, version=2))
    directory = instance.forwarder.context.directory
    instance.register = lambda *numbers: directory.replace(
        [records[number] for number in numbers], now=time.monotonic()
    )
    with running(*instance.components):
        yield instance
    for endpoint in endpoints:
        endpoint.close()


def ask(instance, payload, mark):
    """Return what an instance answers until `mark` or the end."""
    with instance.connect() as connection:
        connection.sendall(payload)
        return read_until(connection, [mark])


ENGINES = [
    ("v1", script(b"v1", last=3, is_whole=False)),
    ("v2", script(b"v2", last=9, is_whole=True)),
    ("v1", script(b"v1", last=9, is_whole=True)),
]


@pytest.mark.parametrize(("others", "is_whole"), [([1], False), ([1, 2], True)])
def test_a_broken_stream_goes_on_at_its_version_or_is_cut(others, is_whole):
    """Guards against a response with events of two versions."""
    with instance_before(*ENGINES) as instance:
        instance.register(0)
        ask(instance, request(b"r0"), b"data: v1")
        register = instance.register

        def break_off(connection, request_id, payload):
            # The first request may still be resumed at this endpoint.
            if request_id == b"r1":
                register(*others)
            return ENGINES[0][1](connection, request_id, payload)

        instance.endpoint.script = break_off
        data = ask(instance, request(b"r1"), LAST_CHUNK)
        assert b"data: v1" in data
        assert b"data: v2" not in data
        assert (LAST_CHUNK in data) is is_whole


@pytest.mark.parametrize("listed", [[1], [1, 2]])
def test_a_caller_resumes_only_at_the_version_of_its_stream(listed):
    """Guards against an answer with text of another version."""
    with instance_before(*ENGINES) as instance:
        instance.register(0)
        with instance.connect() as connection:
            connection.sendall(request(b"r0"))
            assert b"data: v1" in read_until(connection, [b"id: 2"])
        instance.register(*listed)
        resumed = request(b"r1", resumes=b"r0", after=2)
        data = ask(instance, resumed, LAST_CHUNK if 2 in listed else b"\r\n\r\n")
        assert b"data: v2" not in data
        status = b"200" if 2 in listed else b"503"
        assert data.startswith(b"HTTP/1.1 " + status)


def test_an_instance_that_has_just_started_refuses_what_it_cannot_know():
    """Guards against status 200 with text of another version."""
    with instance_before(*ENGINES) as instance:
        instance.register(1)
        data = ask(instance, request(b"r1", resumes=b"r0", after=2), b"\r\n\r\n")
        assert data.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in data
