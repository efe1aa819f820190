"""Tests of instances whose connections to the store fall silent at once."""

import random

import pytest

from wagtailfront.platform.tests.restored_store import (
    DrillStore,
    Follower,
    exchange_versions,
    publish_config,
    register,
    withdraw,
)

DIGEST_INTERVAL = 0.16  # seconds
# Seconds from the silence, and from the change, after which it is in force.
STABLE_WINDOW, DRAIN = 3.0, 2.0
CHANGES = {
    "removed": lambda store: withdraw(store, "e1"),
    "draining": lambda store: register(store, "e1", state="draining"),
    "configured": lambda store: publish_config(store, 2),
}


class SilentFleet:
    """Instances that follow one store and tell each other what they know.

    Parameters
    ----------
    size : int
    seed : int
    relay : float, optional
        Seconds that a report takes.
    """

    def __init__(self, *, size, seed, relay=0.1):
        self.rng = random.Random(seed)
        self.relay = relay
        self.store = DrillStore()
        publish_config(self.store, 1)
        for number in range(1, 4):
            register(self.store, f"e{number}")
        self.followers = [
            Follower(store=self.store, peers=size - 1, seed=self.rng.random())
            for _ in range(size)
        ]
        self.advance(30.0 + self.rng.random() * 30.0)

    def advance(self, seconds):
        """Let time pass while the instances exchange reports."""
        end = self.store.timers.now + seconds
        while (left := end - self.store.timers.now) > 1e-9:
            self.store.timers.advance(min(left, DIGEST_INTERVAL))
            exchange_versions(self.followers, delay=self.relay)

    def silence(self):
        """Make all connections to the store silent."""
        for follower in self.followers:
            follower.link.silence()

    def outdated(self, change):
        """Return the instances that do not know of a change."""
        if change == "configured":
            return [each for each in self.followers if each.configs[-1] != 2]
        return [each for each in self.followers if "e1" in each.usable()]


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("size", [1, 2, 3, 4, 6, 12])
def test_a_change_after_a_silence_is_in_force_in_time(size, change):
    """Guards against work for a removed endpoint or by an old route."""
    for seed in range(10):
        fleet = SilentFleet(size=size, seed=seed)
        fleet.silence()
        before = fleet.rng.choice([0.02, 0.2, 0.5, 0.9])
        fleet.advance(before)
        CHANGES[change](fleet.store)
        fleet.advance(max(STABLE_WINDOW - before, DRAIN))
        assert not fleet.outdated(change), f"seed {seed}"


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("size", [40, 84])
def test_a_change_after_a_silence_is_in_force_in_a_large_fleet(size, change):
    """Guards against ages of the registry that grow with the fleet."""
    fleet = SilentFleet(size=size, seed=1, relay=0.3)
    fleet.silence()
    fleet.advance(0.5)
    CHANGES[change](fleet.store)
    fleet.advance(STABLE_WINDOW - 0.5)
    assert not fleet.outdated(change)


def test_endpoints_are_kept_after_an_outage_that_may_have_removed_them():
    """Guards sound endpoints whose entries lapse while the store is away."""
    fleet = SilentFleet(size=6, seed=1)
    store = fleet.store
    store.is_away, store.watches = True, []
    store.drill(lost=0.0, away=5.0)
    fleet.advance(4.9)
    store.written.clear()
    fleet.advance(0.05)
    for key in ("e1", "e2"):
        withdraw(store, key)
    fleet.advance(0.5)
    assert not [each for each in fleet.followers if len(each.usable()) < 3]
    fleet.advance(3.0)
    assert not [each for each in fleet.followers if each.usable() != ["e3"]]


def test_a_silence_costs_few_calls():
    """Guards the store against calls by all instances, again and again."""
    fleet = SilentFleet(size=40, seed=1, relay=0.3)
    fleet.store.calls.clear()
    fleet.advance(30.0)
    calm = len(fleet.store.calls)
    fleet.store.calls.clear()
    fleet.silence()
    fleet.advance(30.0)
    # Each instance asks for the changes of each table once more.
    assert len(fleet.store.calls) <= calm + 2 * 40
