"""A load on endpoints that ask for pauses again and again."""

import random

import pytest

from wagtailfront.forwarding.tests.builders import (
    UNSAFE,
    FakePool,
    Scene,
    make_record,
    make_request,
    make_route,
)
from wagtailfront.platform.tests.wire import NOT_RUN, SIGNED, retry_after_header

PERIOD, PAUSE = 8.0, 2.0  # seconds
SETTLING = 0.5  # seconds in which requests that are on their way still arrive
RESPONSE_SECONDS, REFUSAL_SECONDS = 0.1, 0.005
STEP = 0.01  # seconds


class PausingPool(FakePool):
    """Endpoints e0, e1, ... that pause for a part of each period.

    Parameters
    ----------
    offset : float
        Seconds between the pauses of two neighbours.
    """

    def __init__(self, *, offset):
        super().__init__()
        self.offset = offset
        self.timers = None
        self.pauses = []  # endpoint, begin, end
        self.unwanted = 0

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        exchange = super().send(record, payload, sink=sink, avoid=avoid, body=body)
        now, name = self.timers.now, record.endpoint_id
        self.unwanted += any(
            endpoint == name and begin + SETTLING <= now < end
            for endpoint, begin, end in self.pauses
        )
        phase = (now - 100.0 - self.offset * int(name[1:])) % PERIOD
        if phase < PAUSE:
            self.timers.after(
                REFUSAL_SECONDS, lambda: self.refuse(exchange, PAUSE - phase)
            )
        else:
            self.timers.after(RESPONSE_SECONDS, lambda: self.serve(exchange))
        return exchange

    def refuse(self, exchange, seconds):
        if not exchange.is_cancelled:
            now, name = self.timers.now, exchange.record.endpoint_id
            self.pauses.append((name, now, now + seconds))
            exchange.respond(503, [*NOT_RUN, retry_after_header(seconds)])

    def serve(self, exchange):
        if not exchange.is_cancelled:
            exchange.respond(200, SIGNED, b"ok")


@pytest.mark.parametrize(("offset", "served"), [(1.0, 1.0), (0.0, 0.8)])
def test_callers_are_served_while_endpoints_pause(offset, served):
    """Guards callers and endpoints where pauses come in turn or together.

    While all pause, requests that can wait for the end are served too.
    """
    records = [make_record(f"e{number}") for number in range(8)]
    pool = PausingPool(offset=offset)
    scene = Scene(records, slack=20, pool=pool)
    pool.timers = scene.timers
    rng, replies = random.Random(1), []
    route = make_route(UNSAFE, target_latency=1.0)
    for _ in range(round(3 * PERIOD / STEP)):
        scene.timers.advance(STEP)
        while rng.random() < 0.5:
            request = make_request(target=b"/%d" % len(replies))
            replies.append(scene.start(route, request)[1])
    scene.timers.advance(PERIOD)
    assert pool.unwanted == 0
    assert sum(reply.status == 200 for reply in replies) >= served * len(replies)
    assert all(reply.status in (200, 503) for reply in replies)
