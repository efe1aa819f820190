"""Tests of stage assignment before the first request without a network."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.endpoint_notices import EndpointNotices
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.interfaces import EndpointNotice
from wagtailfront.forwarding.stage_manager import SUCCESSION_SECONDS, StageManager
from wagtailfront.forwarding.stage_plan import plan_stages
from wagtailfront.forwarding.tests.builders import LogLines, make_record
from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Missing,
    Row,
)


def make_engines(prefill, decode, data_centres=3):
    """Return engines of both stages, spread over the data centres."""
    stages = ["prefill"] * prefill + ["decode"] * decode
    return [
        make_record(
            f"e{number:02}", stage=stage, data_centre=f"dc{number % data_centres}"
        )
        for number, stage in enumerate(stages)
    ]


@given(
    prefill=st.integers(0, 40),
    decode=st.integers(0, 40),
    share=st.floats(0.05, 0.95),
)
def test_changes_lead_to_the_share_and_keep_both_stages(prefill, decode, share):
    """Guards against a service without engines of one stage."""
    engines = {e.endpoint_id: e for e in make_engines(prefill, decode)}
    for change in plan_stages(engines.values(), prefill_share=share):
        record = change.record
        assert record.stage != change.stage
        engines[record.endpoint_id] = record._replace(stage=change.stage)
    count = Counter(engine.stage for engine in engines.values())
    if len(engines) >= 2:
        assert min(count["prefill"], count["decode"]) >= 1
        assert abs(count["prefill"] - share * len(engines)) <= 1
    assert plan_stages(engines.values(), prefill_share=share) == []


def test_data_centres_keep_their_share_of_both_stages():
    """Guards against KV caches that all have to leave their data centre."""
    engines = make_engines(0, 12)
    changes = plan_stages(engines, prefill_share=0.5)
    count = Counter(change.record.data_centre for change in changes)
    assert set(count.values()) == {2}


class MemoryRow:
    """Table with a single row, that of the lease."""

    def __init__(self):
        self.row = None
        self.version = 0
        self.calls = 0

    def get(self, *, key, reply):
        self.calls += 1
        reply(Missing() if self.row is None else Found(row=self.row))

    def transact(self, *, puts, token, reply, checks=()):
        self.calls += 1
        if puts[0].expected != self.version:
            reply(ConditionFailed())
            return
        self.version += 1
        self.row = Row(puts[0].key, self.version, puts[0].value)
        reply(Committed())


class FakeOrders:
    """Engines that accept all orders."""

    def __init__(self):
        self.sent = []

    def order_stage(self, record, stage, grant, may_send, reply):
        if may_send():
            self.sent.append((record.endpoint_id, stage, grant.fencing))
        reply(True, "")


class Fleet:
    """Instances that share a table and engines, in virtual time."""

    def __init__(self, names, engines):
        self.now = 100.0
        self.table = MemoryRow()
        self.directory = EndpointDirectory()
        self.directory.replace(engines, now=self.now)
        self.managers = {}
        for name in names:
            self.add(name)

    def add(self, name):
        """Start an instance."""
        orders = FakeOrders()
        load = FleetLoad(incarnation=name, address=name, health=EndpointHealth())
        self.managers[name] = manager = StageManager(
            incarnation=name,
            directory=self.directory,
            load=load,
            notices=EndpointNotices(
                log=LogLines(), rng=random.Random(1), clock=lambda: self.now
            ),
            orders=orders,
            table=self.table,
            prefill_share=0.5,
            log=LogLines(),
            clock=lambda: self.now,
        )
        manager.orders = orders
        return manager

    def run(self, seconds):
        """Let all check the stages for some seconds."""
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            for manager in self.managers.values():
                for other in self.managers.values():
                    digest = other.load.make_digest(full=True)
                    manager.load.merge(digest, now=self.now)
                manager.lease.wake_if_due(self.now)
                manager._on_check_stages()

    def sent(self):
        """Return all orders."""
        return [
            order for manager in self.managers.values() for order in manager.orders.sent
        ]


@pytest.mark.parametrize("count", [1, 6, 40])
def test_one_instance_orders_before_the_first_request(count):
    """Guards against orders to one engine by two instances."""
    fleet = Fleet([f"i{number}" for number in range(count)], make_engines(3, 7))
    fleet.run(4.0)
    assert sorted(fleet.sent()) == [("e03", "prefill", 1), ("e04", "prefill", 1)]
    assert fleet.table.calls <= 4


def test_no_order_goes_out_while_engines_are_still_registering():
    """Guards against orders that are wrong once all engines are known."""
    engines = make_engines(3, 7)
    fleet = Fleet(["i1", "i2"], engines[:4])
    for count in range(4, 11):
        fleet.directory.replace(engines[:count], now=fleet.now)
        fleet.run(1.0)
    assert fleet.sent() == []
    fleet.run(3.0)
    assert len(fleet.sent()) == 2


def test_no_engine_changes_after_the_first_request():
    """Guards requests against engines that are unavailable in a change."""
    fleet = Fleet(["i1", "i2"], make_engines(3, 7))
    manager = fleet.managers["i1"]
    manager.load.health.state("e03/1").outstanding = 1
    fleet.run(5.0)
    assert fleet.sent() == []
    manager.load.health.state("e03/1").outstanding = 0
    fleet.run(5.0)
    assert fleet.sent() == []


def test_an_engine_that_leaves_gets_no_order():
    """Guards an engine that says so only in its answer to an order."""
    engines = make_engines(3, 7)
    fleet = Fleet(["i1"], engines)
    notices = fleet.managers["i1"].notices
    notices.record_answer(engines[3], EndpointNotice(is_leaving=True), status=200)
    fleet.run(4.0)
    assert [endpoint for endpoint, _stage, _fencing in fleet.sent()] == ["e04"]


def test_an_engine_that_pauses_gets_its_order_afterwards():
    """Guards against an order that is sent in the pause, or never."""
    engines = make_engines(3, 7)
    fleet = Fleet(["i1"], engines)
    notices = fleet.managers["i1"].notices
    notices.record_answer(engines[3], EndpointNotice(retry_after=6.0), status=503)
    fleet.run(4.0)
    assert [endpoint for endpoint, _stage, _fencing in fleet.sent()] == ["e04"]
    fleet.run(3.0)
    assert ("e03", "prefill", 1) in fleet.sent()


def test_a_successor_waits_before_its_orders():
    """Guards against orders of two holders within a short time."""
    fleet = Fleet(["i1"], make_engines(3, 7))
    fleet.run(4.0)
    assert len(fleet.sent()) == 2
    fleet.managers.clear()
    successor = fleet.add("i2")
    lost_at = fleet.now
    fleet.run(30.0)
    assert [fencing for _, _, fencing in successor.orders.sent] == [2, 2]
    assert fleet.now - lost_at >= SUCCESSION_SECONDS
