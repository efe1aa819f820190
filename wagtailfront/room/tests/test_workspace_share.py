"""What workspaces get while one of them brings ten times its requests.

Guards callers of a workspace against the demand of another one.
"""

import functools
import random

import pytest

from wagtailfront.admission.tests import prompt_load
from wagtailfront.admission.tests.test_heavy_load import ENGINES
from wagtailfront.room.tests.memory_load import KINDS, Simulation, full_rate
from wagtailfront.room.workspace_share import WorkspaceShares

SEEDS = (1, 2, 3)
NAMES = ("a", "b", "c", "d", "e")
BUSY, OTHERS = NAMES[0], NAMES[1:]
LOADS = (0.6, 0.9)  # without the burst
BURST = 10


@functools.cache
def play_memory(load, seed, burst=1, names=NAMES):
    """Return the Outcome after a calm start, while memory is short."""
    simulation = Simulation(seed=seed)

    def rates(factor):
        each = load * full_rate() / len(names)
        return [
            (k._replace(priority=0), n, each * k.share * (factor if n == BUSY else 1))
            for n in names
            for k in KINDS
        ]

    simulation.run(rates(1), 4.0)
    simulation.results.clear()
    simulation.run(rates(burst), 12.0)
    outcome = simulation.outcome()
    return outcome.served, outcome.served_by


@functools.cache
def play_time(load, seed, burst=1):
    """Return the outcome of a phase in which time is short."""
    weights = {name: burst if name == BUSY else 1 for name in NAMES}
    outcome = prompt_load.simulate(
        ENGINES,
        load=load * sum(weights.values()) / len(NAMES),
        seed=seed,
        kinds=[kind._replace(priority=0) for kind in prompt_load.KINDS],
        workspaces=weights,
    )
    return outcome.served, outcome.served_by_workspace


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("play", [play_memory, play_time])
def test_a_burst_does_not_take_the_capacity_of_others(play, load, seed):
    """Guards the share of other workspaces' requests that is served."""
    _served, calm = play(load, seed)
    _served, ours = play(load, seed, BURST)
    for name in OTHERS:
        assert ours[name] >= calm[name] - 0.1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("play", [play_memory, play_time])
def test_no_workspace_is_starved(play, load, seed):
    """Guards the workspace that brings more than its share."""
    served, by_workspace = play(load, seed, BURST)
    assert min(by_workspace[name] for name in NAMES) >= served / 4


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("play", [play_memory, play_time])
def test_with_room_for_all_nothing_changes(play, seed):
    """Guards a workspace that brings most requests while there is room."""
    assert play(0.15, seed, BURST)[0] == 1.0


def test_requests_without_a_workspace_never_give_way():
    """Guards deployments without workspaces: theirs is not even asked for."""
    served, _by_workspace = play_memory(0.9, 1, names=(None,))
    assert served > 0.8


def test_a_workspace_gives_way_by_what_it_had_at_all_instances():
    """Guards against a workspace whose requests all come to one instance."""
    here, there = WorkspaceShares(), WorkspaceShares()
    for shares, workspace, work in ((here, "a", 9.0), (there, "b", 1.0)):
        shares.record("s", workspace, True, work=work, now=0.0)
        shares.record("s", workspace, True, work=0.0, waits=True, now=0.0)
    rng = random.Random(1)
    assert not here.gives_way("s", "a", now=0.0, rng=rng)
    report = _Digest("there", **there.fields(now=0.0, full=True))
    here.merge(report, now=0.0)
    assert here.gives_way("s", "a", now=0.0, rng=rng)
    assert not here.gives_way("s", "a", now=60.0, rng=rng)


class _Digest:
    def __init__(self, incarnation, workspace_work):
        self.incarnation = incarnation
        self.workspace_work = workspace_work
