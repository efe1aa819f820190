"""Tests of the limit of repeated attempts, counted where they arrive."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.attempt_budget import AttemptBudget
from wagtailfront.forwarding.tests.builders import (
    REPEAT_SHARE,
    REPEAT_WINDOW,
    SAFE,
    STREAMING,
    Scene,
    largest_repeat_excess,
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


INSTANCES, FLEET_SLACK = 84, 208
STEP = 0.25  # seconds
DISCOVERY = 0.5  # seconds from a start until the other instances are known


class BudgetedInstance:
    """An instance that repeats as often as its budget allows."""

    def __init__(self, *, started):
        self.now = self.started = started
        self.budget = AttemptBudget(
            share=REPEAT_SHARE,
            window=REPEAT_WINDOW,
            slack=FLEET_SLACK,
            started=started,
            count_instances=self.known_instances,
        )

    def known_instances(self):
        return INSTANCES if self.now - self.started >= DISCOVERY else 0

    def repeat(self, now):
        """Spend all that is allowed; return the times of the repeats."""
        self.now = now
        repeats = []
        while self.budget.spend(now=now):
            repeats.append(now)
        return repeats


def play_fleet(*, rate, restarting, seed):
    """Return the excess of a fleet's repeats over the share, in a window.

    Parameters
    ----------
    rate : callable
        Returns the requests per second of one instance at a time.
    restarting : callable
        Returns the share of the instances that restart at a time.
    seed : int
    """
    rng = random.Random(seed)
    instances = [BudgetedInstance(started=-60.0) for _ in range(INSTANCES)]
    repeats, requests = [], []
    for step in range(int(45 / STEP)):
        now = step * STEP
        for number, instance in enumerate(instances):
            if rng.random() < restarting(now):
                instances[number] = instance = BudgetedInstance(started=now)
            if rng.random() < rate(now) * STEP:
                instance.budget.record_request(now=now)
                requests.append(now)
            repeats += instance.repeat(now)
    return largest_repeat_excess(
        repeats, requests, share=REPEAT_SHARE, window=REPEAT_WINDOW
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "restarting",
    [
        lambda now: 0.0,
        lambda now: float(now in (15.0, 22.0)),
        lambda now: 0.6 * (now in (12.0, 13.0, 16.0, 20.0)),
        lambda now: 0.05,
    ],
    ids=["none", "all twice", "most four times", "in turn"],
)
def test_instances_that_restart_share_one_repeat_slack(restarting, seed):
    """Guards against a slack of each process that restarts renew."""
    excess = play_fleet(rate=lambda now: 2.4, restarting=restarting, seed=seed)
    assert excess <= FLEET_SLACK


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_repeats_after_a_fall_in_traffic_stay_within_the_slack(seed):
    """Guards against repeats that requests of an earlier window allow."""
    excess = play_fleet(
        rate=lambda now: 3.6 if now < 20 else 1.0,
        restarting=lambda now: 0.6 * (now == 21.0),
        seed=seed,
    )
    assert excess <= FLEET_SLACK


def test_an_instance_that_does_not_know_the_fleet_has_no_slack():
    """Guards against the whole slack in an instance without peers."""
    instance = BudgetedInstance(started=0.0)
    assert instance.repeat(DISCOVERY / 2) == []
