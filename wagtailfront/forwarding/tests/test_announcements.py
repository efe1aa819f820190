"""Tests of how instances announce themselves and find their peers."""

import random

from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.forwarding.begun_streams import StreamMemory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.forwarder import PrefixCachesByService
from wagtailfront.forwarding.interfaces import (
    InstanceRow,
    StorePosition,
)
from wagtailfront.forwarding.load_exchange import INSTANCE_LIFETIME, LoadExchange
from wagtailfront.forwarding.rate_limits import RateLimits
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    VirtualTimers,
    make_confirmations,
)
from wagtailfront.forwarding.version_history import VersionHistory

ERA = 3


def at(ver):
    """Return the position of a version in the store's present era."""
    return StorePosition(ERA, ver)


class FakeMembership:
    """Table of instances with rows supplied by the test."""

    def __init__(self):
        self.rows = []
        self.announced = 0
        self.is_up = True

    def announce(self, row, reply):
        self.announced += 1
        reply(self.is_up)

    def read(self, reply):
        reply(list(self.rows) if self.is_up else None)


def make_exchange(store, timers):
    """Return the load exchange of instance "a"."""
    load = FleetLoad(incarnation="a", address="10.0.0.1:1", health=EndpointHealth())
    return LoadExchange(
        row=InstanceRow("a", "10.0.0.1:1"),
        store=store,
        load=load,
        rate_limits=RateLimits(fleet=load, log=LogLines()),
        prefix_caches=PrefixCachesByService(),
        evidence=CrashEvidence(),
        crashing_parts=CrashingParts(source="a"),
        streams=StreamMemory(),
        history=VersionHistory(),
        versions=StoreVersions(tables=("routing", "registry")),
        contact=StoreContact(),
        confirmations=make_confirmations("routing", "registry"),
        pace=FleetPace(count_peers=lambda: 0, rng=random.Random(1)),
        find_service=lambda endpoint: None,
        timers=timers,
        log=LogLines(),
        clock=timers.clock,
    )


def test_peers_are_those_that_announced_themselves_recently():
    """Guards against messages to instances that no longer exist."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    store.rows = [
        InstanceRow("a", "10.0.0.1:1", at(1)),
        InstanceRow("b", "10.0.0.2:1", at(2)),
        InstanceRow("c", "10.0.0.3:1", at(3)),
    ]
    exchange._on_started(None)
    timers.advance(1.0)
    assert exchange.addresses == ("10.0.0.2:1", "10.0.0.3:1")
    for step in range(int(INSTANCE_LIFETIME) + 2):
        store.rows[2] = store.rows[2]._replace(version=at(10 + step))
        timers.advance(1.0)
    assert exchange.addresses == ("10.0.0.3:1",)


def test_instances_that_lost_touch_still_count_for_a_while():
    """Guards against larger parts of the repeat slack during a partition."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    assert exchange.load.instances == 0
    store.rows = [
        InstanceRow(name, f"10.0.0.{number}:1", at(number))
        for number, name in enumerate("abcd", start=1)
    ]
    exchange._on_started(None)
    timers.advance(1.0)
    assert exchange.load.instances == 4
    store.is_up = False
    timers.advance(4 * INSTANCE_LIFETIME)
    assert exchange.load.instances == 4


def test_an_instance_announces_itself_until_the_store_accepts_it():
    """Guards against an instance unknown to its peers after an outage."""
    store, timers = FakeMembership(), VirtualTimers()
    store.is_up = False
    make_exchange(store, timers)._on_started(None)
    timers.advance(3.5)
    store.is_up = True
    timers.advance(5.0)
    assert store.announced == 5


def test_an_instance_announces_itself_again_to_a_restored_store():
    """Guards against an instance that those which start later do not find."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    exchange.versions.handle_era(1)
    exchange._on_started(None)
    timers.advance(3.0)
    assert store.announced == 1
    exchange.versions.handle_era(2)
    timers.advance(1.0)
    assert store.announced == 2
    timers.advance(15.5)
    assert store.announced == 3


def test_a_restore_during_an_announcement_does_not_double_it():
    """Guards the store against announcements that multiply."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    exchange.versions.handle_era(1)
    exchange._on_started(None)
    for era in (2, 3, 4):
        timers.advance(2.0)
        exchange.versions.handle_era(era)
        exchange._announce()
    announced = store.announced
    timers.advance(31.0)
    assert store.announced == announced + 2


def test_rows_of_an_older_copy_do_not_show_that_an_instance_is_live():
    """Guards against messages to instances that are gone, after a restore."""
    store, timers = FakeMembership(), VirtualTimers()
    exchange = make_exchange(store, timers)
    store.rows = [InstanceRow("b", "10.0.0.2:1", StorePosition(1, 7))]
    exchange._on_started(None)
    timers.advance(INSTANCE_LIFETIME - 5)
    store.rows = [InstanceRow("b", "10.0.0.2:1", StorePosition(2, 5))]
    timers.advance(10.0)
    assert exchange.addresses == ()
    store.rows = [InstanceRow("b", "10.0.0.2:1", StorePosition(2, 9))]
    timers.advance(5.0)
    assert exchange.addresses == ("10.0.0.2:1",)
