"""Costs of managing groups of engines, measured in one process."""

import threading

from circuits import BaseComponent
from circuits.core.events import generate_events

from wagtailfront.authority.group_manager import GroupManager
from wagtailfront.bench.slope_fleet import make_fleet
from wagtailfront.bench.slopes import measure, memory_of, time_per_run
from wagtailfront.membership.heartbeats import config_applied
from wagtailfront.transport.supervisor import make_root

__all__ = ["authority_costs", "process_events"]

ENGINES = (137, 275, 550, 1100)
NOW = 1000.0
ITERATIONS = 20


class SilentTable:
    """Table service that never answers."""

    def get(self, **_arguments):
        """Ignore a read."""

    def transact(self, **_arguments):
        """Ignore a write."""


def _make_group_manager(config):
    """Return the root of a tree with a manager of a configuration's groups."""
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
    root = _make_group_manager(make_fleet(size))

    def iterate():
        # Steps of the circuits event loop per wake-up, without the poller.
        root.fire(generate_events(threading.RLock(), 0), "*")
        root.flush()

    return time_per_run(iterate, ITERATIONS)


def authority_costs():
    """Yield memory and processor time of lease managers and change runners."""
    yield measure(
        "memory of GroupManager",
        "bytes",
        "engine",
        ENGINES,
        lambda size: memory_of(lambda: _make_group_manager(make_fleet(size))),
    )
    yield measure(
        "GroupManager, one event loop iteration",
        "us",
        "engine",
        ENGINES,
        _iteration_time,
    )
