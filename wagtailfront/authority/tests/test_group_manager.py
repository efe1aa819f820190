"""Tests of the component that owns the lease managers and change runners."""

import threading

from circuits.core.events import generate_events

from wagtailfront.authority.engine_groups import group_of
from wagtailfront.authority.group_manager import GroupManager
from wagtailfront.authority.lease import lease_key
from wagtailfront.bench.slope_authority import process_events
from wagtailfront.bench.slope_fleet import make_fleet
from wagtailfront.membership.heartbeats import config_applied
from wagtailfront.stores.interfaces import Committed, Missing


class CountingTable:
    """Empty table that commits every write."""

    def __init__(self):
        self.written = []

    def get(self, *, key, reply):
        reply(Missing())

    def transact(self, *, checks, puts, token, reply):
        self.written += [put.key for put in puts]
        reply(Committed())


def iterate(root):
    """Run one iteration of the event loop; return the wait it allows."""
    event = generate_events(threading.RLock(), 100.0)
    root.fire(event, "*")
    process_events(root)
    return event.time_left


def test_manager_renews_the_leases_of_all_groups():
    """Guards against due timers of lease managers that are not checked."""
    now = [1000.0]
    table = CountingTable()
    manager = GroupManager(
        incarnation="i-1", table=table, engines=None, marks=None, clock=lambda: now[0]
    )
    process_events(manager)
    config = make_fleet(3, models=1)
    manager.fire(config_applied(config), "*")
    process_events(manager)
    groups = {group_of(engine) for engine in config.engines.values()}
    keys = {lease_key(group) for group in groups}
    for _ in range(3):
        before = len(table.written)
        assert iterate(manager) <= 3.0
        assert len(table.written) == before
        now[0] += 3.0
        iterate(manager)
        assert keys <= set(table.written[before:])
