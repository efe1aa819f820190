"""Tests of requests whose engine sends nothing for a time."""

import json

import pytest

from wagtailfront.callers.completion_request import parse_completion
from wagtailfront.callers.tests.builders import make_configuration
from wagtailfront.callers.tests.fakes import (
    FakeCaller,
    VirtualInstance,
    engine_chunk,
    make_engines,
)
from wagtailfront.transport.sse import format_event

PATH = "/v1/completions"
MAX_TOKENS = 8
HEAD = {"X-Start-Id": "s1", "X-Model": "recipe-large", "X-Model-Version": "1"}


def send_token(exchange):
    """Send the next token of an answer."""
    chunk, _ = engine_chunk(exchange, exchange.position, MAX_TOKENS)
    exchange.position += 1
    exchange.sink.on_data(format_event(json.dumps(chunk).encode()))


@pytest.mark.parametrize("goes_on", [True, False])
def test_request_moves_only_if_no_token_follows_the_answer_to_a_probe(goes_on):
    """Guards a paused engine's requests, and those of a dead connection."""
    instance = VirtualInstance(make_configuration(make_engines(3), []))
    instance.advance(10.0)  # until its retry allowance permits a move
    prompt = "request 1 tokens=4 "
    body = {"model": "recipe-large", "prompt": prompt, "max_tokens": MAX_TOKENS}
    request = parse_completion(
        json.dumps({**body, "stream": True}).encode(), {}, chat=False
    )
    caller = FakeCaller(prompt.encode(), MAX_TOKENS)
    instance.dispatcher.submit_completion(request=request, reply=caller)
    (stream,) = instance.pool.open(PATH)
    stream.sink.on_head(200, HEAD)
    send_token(stream)
    instance.advance(1.0)
    (probe,) = instance.pool.open("/health")
    probe.sink.on_head(200, HEAD)
    probe.end()
    instance.advance(0.1)
    assert stream.is_open
    if goes_on:
        send_token(stream)
    instance.advance(0.5)
    assert stream.is_open == goes_on
    assert len(instance.pool.open(PATH)) == 1
