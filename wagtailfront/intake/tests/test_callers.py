"""Tests of the bound on callers' memory with real sockets."""

import pytest

from wagtailfront.forwarding.tests.socket_instance import (
    echo,
    read_until,
    start_instances,
)
from wagtailfront.intake.tests.builders import make_memory

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n"
LENGTH = HEAD + b"Content-Length: %d\r\n"
MAX_BODY = 4 * 1024 * 1024  # the default
END = b"\r\n\r\n"


@pytest.fixture
def start():
    """Return a function that starts an instance with a script."""
    with start_instances() as begin:
        yield begin


def exchange(instance, data, marks=(END,)):
    """Return what comes back for `data` on a connection of its own."""
    with instance.connect() as caller:
        caller.sendall(data)
        return read_until(caller, marks)


def fill(instance):
    """Leave no room for requests that are not small."""
    memory = make_memory()
    instance.server.intake.memory = memory
    holder = memory.hold(instance, now=0.0)
    instance.may_give_way = False
    memory.resize(holder, memory.shares.bulk, now=0.0)


@pytest.mark.parametrize("expect", [b"", b"Expect: 100-continue\r\n"])
def test_an_announced_length_over_the_limit_ends_at_the_head(start, expect):
    """Guards against reading a body that is refused in any case."""
    head = LENGTH % (b"r1", MAX_BODY + 1) + expect + b"\r\n"
    assert exchange(start(echo), head).startswith(b"HTTP/1.1 413 ")


@pytest.mark.parametrize("expect", [b"", b"Expect: 100-continue\r\n"])
def test_what_has_no_room_is_refused_at_its_head(start, expect):
    """Guards callers against sending what is refused, without a time."""
    instance = start(echo)
    fill(instance)
    answer = exchange(instance, LENGTH % (b"r1", MAX_BODY) + expect + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1.000" in answer
    assert not instance.endpoint.requests


def test_a_chunked_body_without_room_is_refused(start):
    """Guards the bound against bodies that announce no length."""
    instance = start(echo)
    fill(instance)
    head = HEAD % b"r1" + b"Transfer-Encoding: chunked\r\n\r\n"
    answer = exchange(instance, head + b"100000\r\n" + b"x" * 0x80000)
    assert answer.startswith(b"HTTP/1.1 503 ")


def test_small_requests_are_served_while_it_is_full(start):
    """Guards ordinary callers beside a crowd."""
    instance = start(echo)
    fill(instance)
    answer = exchange(instance, LENGTH % (b"r1", 2) + b"\r\nhi", (b"r1/hi",))
    assert answer.startswith(b"HTTP/1.1 200 ")


def test_the_largest_legal_body_is_served_whole(start):
    """Guards a body that is sent without a copy, and the default bound."""
    body = b"0123456789abcdef" * (MAX_BODY // 16)
    data = LENGTH % (b"r1", MAX_BODY) + b"\r\n" + body
    assert body in exchange(start(echo), data, (b"r1/" + body,))


def test_large_pipelined_requests_are_answered_in_order(start):
    """Guards requests that wait in the kernel while others are served."""
    size, ids = 400_000, [b"r%d" % number for number in range(6)]
    body = b"x" * size
    requests = [LENGTH % (each, size) + b"\r\n" + body for each in ids]
    answers = exchange(start(echo), b"".join(requests), [each + b"/" for each in ids])
    assert [answers.index(each + b"/") for each in ids] == sorted(
        answers.index(each + b"/") for each in ids
    )


def test_a_trailer_without_end_is_refused(start):
    """Guards against bytes that the parser keeps after a body."""
    head = HEAD % b"r1" + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: "
    assert exchange(start(echo), head + b"a" * 200_000).startswith(b"HTTP/1.1 431 ")
