"""Costs of the groups of engines on every instance, in one process."""

import threading

from circuits import BaseComponent
from circuits.core.events import generate_events

from wagtailfront.authority.group_manager import GroupManager
from wagtailfront.bench.slope_fleet import make_fleet
from wagtailfront.bench.slopes import measure, memory_of, time_of_many
from wagtailfront.membership.heartbeats import config_applied
from wagtailfront.transport.supervisor import make_root

__all__ = ["authority_costs", "process_events"]

ENGINES = (137, 275, 550, 1100)
NOW = 1000.0
ITERATIONS = 20


class SilentTable:
    """Table service that never answers."""

    def get(self, **_arguments):
        """Take a read."""

    def transact(self, **_arguments):
        """Take a write."""


def _managed(config):
    """Return the root of a tree with the groups of a configuration."""
    root = make_root(BaseComponent())
    GroupManager(
        incarnation="0" * 16,
        table=SilentTable(),
        engines=None,
        marks=None,
        clock=lambda: NOW,
    ).register(root)
    process_events(root)
    root.fire(config_applied(config), "*")
    process_events(root)
    return root


def process_events(root):
    """Handle all events that are due."""
    while len(root):
        root.flush()


def _iteration_time(size):
    root = _managed(make_fleet(size))

    def iterate():
        # What circuits' loop does once per wake-up, without the poller.
        root.fire(generate_events(threading.RLock(), 0), "*")
        root.flush()

    return time_of_many(iterate, ITERATIONS)


def authority_costs():
    """Yield memory and processor time of lease keepers and change runners."""
    yield measure(
        "memory of GroupManager",
        "bytes",
        "engine",
        ENGINES,
        lambda size: memory_of(lambda: _managed(make_fleet(size))),
    )
    yield measure(
        "GroupManager, one event loop iteration",
        "us",
        "engine",
        ENGINES,
        _iteration_time,
    )
