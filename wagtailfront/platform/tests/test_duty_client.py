"""Calls of duties to the platform's API."""

import itertools
from types import SimpleNamespace

import msgspec
import pytest

from wagtailfront.duties.interfaces import EngineOrder
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.observe.metrics import Metrics
from wagtailfront.platform.duty_client import DutyClient
from wagtailfront.platform.tests.test_engine_client import EnginePool
from wagtailfront.transport.timers import Timers


class Setup:
    """A client, its pool and its timers in virtual time."""

    def __init__(self, status=200):
        self.now = 10.0
        self.pool = EnginePool(status)
        self.replies = []
        self.numbers = itertools.repeat(7)
        self.timers = Timers(clock=lambda: self.now)
        self.client = DutyClient(
            pool=self.pool,
            address=("h", 1),
            instance="a",
            rate=50.0,
            timers=self.timers,
            log=LogLines(),
            metrics=Metrics(),
            clock=lambda: self.now,
        )

    def grant(self):
        number = next(self.numbers)
        return number and SimpleNamespace(fencing=number)

    def report(self):
        self.client.report_usage(5, {"w": 3}, self, self.replies.append)

    def order(self, *, is_spot=False):
        order = EngineOrder("s", "z", 2, is_spot)
        self.client.order_engines(order, self, self.replies.append)

    def run(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.now += 0.01
            self.timers._on_generate_events(
                SimpleNamespace(reduce_time_left=lambda seconds: None)
            )


def test_calls_have_the_platforms_format():
    """Guards against calls that the platform cannot read."""
    setup = Setup()
    setup.report()
    setup.run(1.0)
    setup.order(is_spot=True)
    setup.run(1.0)
    setup.order()
    assert [call["path"] for call in setup.pool.calls] == ["/usage", "/scale", "/scale"]
    order = {"service": "s", "zone": "z", "desired": 2}
    bodies = [msgspec.json.decode(call["body"]) for call in setup.pool.calls]
    assert bodies[0] == {"window-id": 5, "counts": {"w": 3}}
    assert bodies[1:] == [{**order, "spot": True}, order]
    headers = dict(setup.pool.calls[0]["headers"])
    assert headers["X-Lease-Holder"] == "a"
    assert headers["X-Fencing-Token"] == "7"
    assert setup.pool.calls[0]["fresh"]
    assert all(answer.is_accepted for answer in setup.replies)


@pytest.mark.parametrize(
    ("status", "is_unavailable", "is_refused"),
    [
        (409, True, False),
        (429, False, False),
        (503, False, False),
        (400, False, True),
        (None, False, False),
    ],
)
def test_an_answer_tells_whether_to_repeat(status, is_unavailable, is_refused):
    """Guards against orders that are repeated for ever, or never."""
    setup = Setup(status)
    setup.order()
    (answer,) = setup.replies
    assert not answer.is_accepted
    assert answer.reason
    assert answer.is_unavailable == is_unavailable
    assert answer.is_refused == is_refused


def test_nothing_is_sent_without_the_duties_or_by_another_number():
    """Guards against calls after a pause, when another instance holds."""
    setup = Setup()
    setup.numbers = iter([None, 7, 8])
    setup.report()
    setup.run(1.0)
    setup.report()
    assert setup.pool.calls == []
    assert [answer.is_accepted for answer in setup.replies] == [False, False]


def test_calls_keep_to_half_the_rate_and_usage_comes_first():
    """Guards against 429, and against usage that waits behind orders."""
    setup = Setup()
    for _ in range(60):
        setup.order()
    setup.report()
    setup.run(0.1)
    assert "/usage" in [call["path"] for call in setup.pool.calls[:2]]
    setup.run(0.9)
    assert 20 <= len(setup.pool.calls) <= 26
    setup.run(2.0)
    assert len(setup.replies) == 61
