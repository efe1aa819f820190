"""Builders of requests with several open runs, and of their engines."""

import re

from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, HANDLE, NOT_RUN, SIGNED

LAST = 8  # events of a whole stream


def event(number):
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def make_engines(count):
    """Return engines that decode, and one that prefills."""
    decoding = [make_record(f"d{i}", stage="decode") for i in range(count)]
    return [make_record("p1", stage="prefill"), *decoding]


def resumable(max_attempts, timeout=60.0):
    """Return a route whose streams may be resumed."""
    return make_route(
        STREAMING,
        is_resumable=True,
        gap_target=0.25,
        max_attempts=max_attempts,
        timeout=timeout,
    )


def begin_stream(scene, route, is_begun=True):
    """Start a request whose run has been sent; return its task and reply."""
    task, reply = scene.start(
        route, prompt_tokens=20_000, parts=make_parts("a", 19_000, 1000)
    )
    if scene.pool.last.record.stage == "prefill":
        scene.pool.last.respond(200, [], HANDLE)
    if is_begun:
        scene.pool.last.sink.on_head(200, EVENT_STREAM)
        scene.pool.last.sink.on_data(event(1))
    return task, reply


def open_exchanges(scene):
    """Return exchanges that are neither answered, failed nor cancelled."""
    return [
        e
        for e in scene.pool.exchanges
        if not (e.is_cancelled or e.status or getattr(e, "is_over", False))
    ]


def count_spent(scene):
    """Count all repeats that are charged, also those before the window."""
    budget = scene.context.budgets["s"]
    spend, scene.spent = budget.spend, 0

    def counted(count=1, *, now):
        is_allowed = spend(count, now=now)
        scene.spent += count * is_allowed
        return is_allowed

    budget.spend = counted


class Engine:
    """What one engine does with a run."""

    def __init__(self, exchange):
        found = re.search(rb"(?i)last-event-id: (\d+)", exchange.payload)
        self.exchange = exchange
        self.next = int(found[1]) + 1 if found else 1
        self.has_head = False
        self.rest = b""
        self.may_be_unsent = True

    def act(self, action):
        exchange, sink = self.exchange, self.exchange.sink
        if sink.is_prefill:
            self._act_prefill(action)
        elif action in ("event", "two", "part"):
            self._send(action)
        elif action == "head":
            self._head()
        elif action == "end" and self.next > LAST and not self.rest:
            self._head()
            exchange.is_over = True
            sink.on_end()
        elif action in ("refuse", "error") and not self.has_head:
            exchange.is_over = True
            status, headers = (503, NOT_RUN) if action == "refuse" else (500, SIGNED)
            exchange.respond(status, headers)
        elif action == "cut":
            exchange.is_over = True
            sink.on_failure("reset", True)

    def _act_prefill(self, action):
        if action in ("event", "head", "two"):
            self.exchange.respond(200, [], HANDLE)
        elif action == "refuse":
            self.exchange.respond(503, NOT_RUN)
        elif action == "cut":
            self.exchange.is_over = True
            self.exchange.sink.on_failure("reset", True)

    def _head(self):
        if not self.has_head:
            self.has_head = True
            self.exchange.sink.on_head(200, EVENT_STREAM)

    def _send(self, action):
        if self.next > LAST and not self.rest:
            return
        self._head()
        if action == "part":
            if not self.rest:
                whole = event(self.next)
                self.next += 1
                self.rest = whole[7:]
                self.exchange.sink.on_data(whole[:7])
            return
        data, self.rest = self.rest, b""
        for _ in range(2 if action == "two" else 1):
            if self.next <= LAST:
                data += event(self.next)
                self.next += 1
        self.exchange.sink.on_data(data)
