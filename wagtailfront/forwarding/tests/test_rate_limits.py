"""Tests of the rate limits of endpoints, counted where requests arrive."""

import pytest

from wagtailfront.forwarding.tests.limited_fleet import LimitedFleet, make_engines

LIMIT = 4.0


def restart_in_turn(fleet, names):
    """Restart instances one after the other, several a second in all."""
    for step in range(16):
        for name in names[step % 8 :: 8]:
            fleet.restart(name)
        fleet.serve(1.0)


def restart_most_at_once(fleet, names):
    """Restart most instances at the same moment, three times."""
    for _ in range(3):
        for name in names[: len(names) * 2 // 3]:
            fleet.restart(name)
        fleet.serve(5.0)


def add_half(fleet, names):
    """Add half as many instances as there are, over some seconds."""
    for number in range(len(names) // 2):
        fleet.join(f"j{number:03}")
        fleet.serve(10.0 / len(names))
    fleet.serve(6.0)


def freeze_some(fleet, names):
    """Freeze a third of the instances, twice, for longer than reports last."""
    for first in (0, 1):
        fleet.isolate(names[first::3], freeze=True)
        fleet.serve(5.0)
        fleet.reconnect(names[first::3])
        fleet.serve(4.0)


def cut_some(fleet, names):
    """Cut a third of the instances off from the others, twice."""
    for first in (0, 1):
        fleet.isolate(names[first::3], freeze=False)
        fleet.serve(5.0)
        fleet.reconnect(names[first::3])
        fleet.serve(4.0)


DISRUPTIONS = [
    lambda fleet, names: fleet.serve(12.0),
    restart_in_turn,
    restart_most_at_once,
    add_half,
    freeze_some,
    cut_some,
]
DISRUPTION_IDS = ["none", "roll", "herd", "join", "freeze", "cut"]


def make_fleet(size, *, limited, seed=1):
    """Return a fleet under load before engines of which some are limited."""
    engines = make_engines(3 + size // 8, 3 + size // 8, limited=limited, limit=LIMIT)
    return LimitedFleet(size, engines=engines, requests=30 + 2 * size, seed=seed)


@pytest.mark.parametrize("size", [6, 84])
@pytest.mark.parametrize("disrupt", DISRUPTIONS, ids=DISRUPTION_IDS)
def test_all_instances_together_keep_the_rate_limit_of_an_engine(disrupt, size):
    """Guards against a limit that no instance or each one keeps by itself."""
    fleet = make_fleet(size, limited=2)
    fleet.serve(4.0)
    disrupt(fleet, sorted(fleet.scenes))
    engines = [engine for engine in fleet.engines.values() if engine.limit]
    assert max(engine.excess(LIMIT) for engine in engines) <= 0
