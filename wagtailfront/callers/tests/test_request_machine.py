"""State machine test: callers get complete answers to their requests."""

import json
from unittest import mock

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from wagtailfront.callers import completion_attempt
from wagtailfront.callers.completion_request import parse_completion
from wagtailfront.callers.tests.builders import make_configuration
from wagtailfront.callers.tests.fakes import (
    FakeCaller,
    VirtualInstance,
    engine_chunk,
    make_engines,
)
from wagtailfront.endpoints.chunk_check import ChunkCheck
from wagtailfront.transport.sse import DONE, EventStreamParser, format_event

PATH = "/v1/completions"
MAX_TOKENS = 8
HEAD = {"X-Start-Id": "s1", "X-Model": "recipe-large", "X-Model-Version": "1"}
picks = st.integers(0, 5)


class RequestMachine(RuleBasedStateMachine):
    """Engines with cut, crossed, duplicated, delayed or silent streams."""

    fault = None

    def __init__(self):
        super().__init__()
        self.patch = self.fault() if self.fault else None
        if self.patch:
            self.patch.start()
        self.instance = VirtualInstance(make_configuration(make_engines(3), []))
        self.callers = []
        self.number = 0

    def teardown(self):
        if self.patch:
            self.patch.stop()

    @rule(stream=st.booleans(), tokens=st.integers(1, 4))
    def submit(self, stream, tokens):
        self.number += 1
        prompt = f"request {self.number} tokens={tokens} "
        body = {
            "model": "recipe-large",
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": stream,
        }
        request = parse_completion(json.dumps(body).encode(), {}, chat=False)
        caller = FakeCaller(prompt.encode(), MAX_TOKENS)
        self.callers.append(caller)
        self.instance.dispatcher.submit_completion(request=request, reply=caller)

    def streams(self):
        return self.instance.pool.open(PATH)

    def payload(self, exchange, position):
        return engine_chunk(exchange, position, MAX_TOKENS)

    def send(self, exchange, chunk):
        if exchange.sink.start_id == "":
            exchange.sink.on_head(200, HEAD)
        exchange.sink.on_data(format_event(json.dumps(chunk).encode()))

    @precondition(lambda self: self.streams())
    @rule(pick=picks)
    def deliver(self, pick):
        exchange = self.streams()[pick % len(self.streams())]
        chunk, finish = self.payload(exchange, exchange.position)
        exchange.position += 1
        self.send(exchange, chunk)
        if finish:
            exchange.sink.on_data(format_event(DONE))
            exchange.end()

    @precondition(lambda self: self.streams())
    @rule(pick=picks)
    def duplicate(self, pick):
        exchange = self.streams()[pick % len(self.streams())]
        if exchange.position > 0:
            self.send(exchange, self.payload(exchange, exchange.position - 1)[0])

    @precondition(lambda self: self.streams())
    @rule(pick=picks)
    def lose_chunk(self, pick):
        exchange = self.streams()[pick % len(self.streams())]
        if not self.payload(exchange, exchange.position)[1]:
            exchange.position += 1

    @precondition(lambda self: len(self.streams()) > 1)
    @rule(pick=picks, other=picks)
    def cross(self, pick, other):
        target = self.streams()[pick % len(self.streams())]
        source = self.streams()[other % len(self.streams())]
        self.send(target, self.payload(source, target.position)[0])

    @precondition(lambda self: self.streams())
    @rule(pick=picks)
    def cut(self, pick):
        self.streams()[pick % len(self.streams())].end()

    @precondition(lambda self: self.streams())
    @rule(pick=picks)
    def reset(self, pick):
        self.streams()[pick % len(self.streams())].fail("connection reset")

    @precondition(lambda self: self.instance.pool.exchanges)
    @rule(pick=picks)
    def late_chunk(self, pick):
        closed = [
            exchange
            for exchange in self.instance.pool.exchanges
            if exchange.path == PATH and not exchange.is_open
        ]
        if closed:
            exchange = closed[pick % len(closed)]
            self.send(exchange, self.payload(exchange, exchange.position)[0])

    @precondition(lambda self: self.instance.pool.open("/health"))
    @rule(crashed=st.booleans())
    def answer_probe(self, crashed):
        probe = self.instance.pool.open("/health")[0]
        if crashed:
            probe.fail("connect failed")
        else:
            probe.sink.on_head(200, HEAD)
            probe.end()

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def wait(self, seconds):
        self.instance.advance(seconds)

    @invariant()
    def answers_are_whole_and_own(self):
        for caller in self.callers:
            if caller.events:
                self.check_stream(caller)
            elif caller.status == 200:
                answer = json.loads(caller.body)
                assert answer["choices"][0]["text"] == caller.expected

    def check_stream(self, caller):
        payloads = EventStreamParser().feed(b"".join(caller.events))
        chunks = [json.loads(each) for each in payloads if each != DONE]
        text = "".join(
            choice["text"] for chunk in chunks for choice in chunk.get("choices", ())
        )
        assert caller.expected.startswith(text)
        if DONE in payloads:
            assert text == caller.expected
            assert not any("error" in chunk for chunk in chunks)


def _accept_any_id():
    original = ChunkCheck._accept

    def accept(self, chunk):
        chunk.id = self.expected_id
        return original(self, chunk)

    return mock.patch.object(ChunkCheck, "_accept", accept)


def _accept_gaps():
    original = ChunkCheck._accept

    def accept(self, chunk):
        self.next_token = min(self.next_token, chunk.token_index)
        if chunk.token_index > self.next_token:
            self.next_token = chunk.token_index
        return original(self, chunk)

    return mock.patch.object(ChunkCheck, "_accept", accept)


def _accept_cut_streams():
    def on_end(self):
        if not self.ended:
            self.ended = True
            self.task.completed()

    return mock.patch.object(completion_attempt.CompletionAttempt, "on_end", on_end)


FAULTS = {
    "ids not checked": _accept_any_id,
    "duplicates and gaps accepted": _accept_gaps,
    "end without marker accepted": _accept_cut_streams,
}
LIMITS = settings(max_examples=200, stateful_step_count=40)
# The fault only has to be found, so examples are not shrunk.
FAULT_LIMITS = settings(
    max_examples=300,
    stateful_step_count=30,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def test_answers_are_whole_and_own():
    """Guards against truncated, crossed, duplicated or late answers."""
    run_state_machine_as_test(RequestMachine, settings=LIMITS)


@pytest.mark.parametrize("name", FAULTS)
def test_machine_finds_the_fault(name):
    """Guards against a machine that passes although a check is missing."""
    machine = type("Faulty", (RequestMachine,), {"fault": staticmethod(FAULTS[name])})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=FAULT_LIMITS)
