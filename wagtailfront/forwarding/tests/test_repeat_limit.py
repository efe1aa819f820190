"""Tests of the limit of repeated attempts, counted where they arrive."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    Scene,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, HANDLE, NOT_RUN, SIGNED

SLACK = 2
ENGINES = [
    *(make_record(f"p{i}", stage="prefill") for i in range(4)),
    *(make_record(f"d{i}", stage="decode") for i in range(4)),
]
PLAIN = [make_record(f"e{i}") for i in range(4)]
RESUMABLE = make_route(STREAMING, is_resumable=True, max_attempts=3)
OUTCOMES = ("succeed", "refuse", "reset", "unsent", "silent")


def play(scene, exchange, outcome):
    """Let the endpoint of an exchange respond, fail or stay silent."""
    if outcome == "refuse":
        exchange.respond(503, NOT_RUN)
    elif outcome == "reset":
        exchange.fail()
    elif outcome == "unsent":
        exchange.fail("connect: ECONNREFUSED", sent=False)
    elif outcome == "silent":
        scene.timers.advance(1.5)
    elif exchange.sink.is_prefill:
        exchange.respond(200, [], HANDLE)
    elif scene.service.is_model:
        exchange.respond(200, EVENT_STREAM, b"id: 1\ndata: x\n\n")
    else:
        exchange.respond(200, SIGNED, b"ok")


def play_request(scene, subject, route, next_outcome):
    """Start a request and let endpoints respond until it has ended."""
    parts = make_parts(subject, 19_000, 1000)
    task, _reply = scene.start(route, prompt_tokens=20_000, parts=parts)
    while not task.is_done:
        exchange = scene.pool.last
        play(scene, exchange, next_outcome(exchange))


@pytest.mark.parametrize("prefill", OUTCOMES)
@pytest.mark.parametrize("run", OUTCOMES)
def test_prefills_and_handovers_that_fail_stay_within_the_repeat_budget(prefill, run):
    """Every send beyond a request's first run and first prefill is charged."""
    scene = Scene(ENGINES, is_model=True, slack=SLACK)
    for number in range(20):
        play_request(
            scene,
            f"subject-{number}",
            RESUMABLE,
            lambda exchange: prefill if exchange.sink.is_prefill else run,
        )
    assert scene.repeat_excess() <= SLACK


@settings(max_examples=200)
@given(
    is_model=st.booleans(),
    outcomes=st.lists(st.sampled_from(OUTCOMES), max_size=80),
)
def test_any_series_of_outcomes_stays_within_the_repeat_budget(is_model, outcomes):
    """Guards the limit for all kinds of attempts in any order."""
    scene = Scene(ENGINES if is_model else PLAIN, is_model=is_model, slack=SLACK)
    route = RESUMABLE if is_model else make_route(SAFE, max_attempts=3)
    series = iter(outcomes)
    for number in range(12):
        subject = f"subject-{number}"
        play_request(scene, subject, route, lambda _: next(series, "succeed"))
    assert scene.repeat_excess() <= SLACK
