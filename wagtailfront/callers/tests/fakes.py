"""Fake connection pool and caller, for tests in virtual time."""

import json
import random
from types import SimpleNamespace

from circuits import BaseComponent

from wagtailfront.callers.claim_interface import NoClaims
from wagtailfront.callers.dispatcher import Dispatcher, sweep
from wagtailfront.callers.policy_scheduler import PolicyScheduler
from wagtailfront.callers.tests.builders import VerdictRecorder
from wagtailfront.endpoints.endpoint_guard import EndpointGuard, poll_connections
from wagtailfront.standins.engine_text import answer_length, answer_tokens, token_at


class FakeExchange:
    """A request that was sent; the test supplies the response."""

    def __init__(self, *, path, headers, body, sink):
        self.path = path
        self.headers = dict(headers)
        self.body = body
        self.sink = sink
        self.position = int(self.headers.get("X-Resume-From", 0))
        self.is_open = True

    def cancel(self):
        self.is_open = False

    def fail(self, reason):
        self.is_open = False
        self.sink.on_failure(reason, True)

    def end(self):
        self.is_open = False
        self.sink.on_end()


class FakePool:
    """Records all exchanges in the order in which they were sent."""

    def __init__(self):
        self.exchanges = []

    def request(self, *, path, sink, headers=(), body=b"", **rest):
        exchange = FakeExchange(path=path, headers=headers, body=body, sink=sink)
        self.exchanges.append(exchange)
        return exchange

    def drop_idle_to(self, host, port):
        pass

    def open(self, path):
        return [e for e in self.exchanges if e.is_open and e.path == path]


class FakeCaller:
    """Records the answer to one request, in place of `Reply`."""

    def __init__(self, prompt, max_tokens):
        length = answer_length(prompt, max_tokens)
        self.expected = answer_tokens(prompt, 0, length)
        self.started = False
        self.events = []
        self.status = None
        self.body = b""
        self.ended = False
        self.aborted = False

    def start(self, headers):
        self.started = True

    def send(self, data):
        self.events.append(data)

    def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True

    def respond(self, status, headers, body):
        assert not self.ended, "a caller got two answers"
        self.ended, self.status, self.body = True, status, body


class VirtualInstance:
    """Dispatcher and guard of one instance on a virtual clock."""

    def __init__(self, config):
        self.now = 0.0
        self.pool = FakePool()
        self.root = BaseComponent()
        self.guard = EndpointGuard(
            pool=self.pool, incarnation="i-1", clock=self.clock
        ).register(self.root)
        self.dispatcher = Dispatcher(
            scheduler=PolicyScheduler(rng=random.Random(1), clock=self.clock),
            pool=self.pool,
            claims=NoClaims(),
            guard=self.guard,
            observer=VerdictRecorder(),
            clock=self.clock,
        ).register(self.root)
        self.dispatcher.scheduler.configure(config)

    def clock(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds
        self.root.fire(poll_connections(), "endpoint_guard")
        self.root.fire(sweep(), "dispatcher")
        self.settle()

    def settle(self):
        while len(self.root):
            self.root.flush()


def make_engines(count):
    """Return descriptions of engines for `make_configuration`."""
    return [
        SimpleNamespace(
            model="recipe-large",
            version="1",
            server=SimpleNamespace(port=9000 + number),
        )
        for number in range(count)
    ]


def engine_chunk(exchange, position, max_tokens):
    """Return the chunk that an engine sends for a position of an answer.

    Returns
    -------
    chunk : dict
    finish : str or None
        The finish reason, if the chunk is the last.
    """
    prompt = json.loads(exchange.body)["prompt"].encode()
    length = answer_length(prompt, max_tokens)
    finish = "stop" if position >= length else None
    choice = {
        "index": 0,
        "text": "" if finish else token_at(prompt, position),
        "finish_reason": finish,
    }
    chunk = {
        "id": exchange.headers["X-Request-Id"],
        "token_index": position,
        "tokens": 0 if finish else 1,
        "choices": [choice],
    }
    return chunk, finish
