"""Tests of the configuration's age in whole fleets."""

import random

import pytest

from wagtailfront.platform.tests.restored_store import DrillStore, publish_config
from wagtailfront.platform.tests.wire import tenants
from wagtailfront.workspaces.keys import key_digest
from wagtailfront.workspaces.tests.builders import KEY, LIMIT, StrictFleet

REFUSED_FROM = 0.9 * LIMIT


@pytest.mark.parametrize("size", [1, 3, 6, 84])
@pytest.mark.parametrize("config_apply", [2.0, 3.0, 30.0])
def test_keyed_work_goes_on_in_calm_times(size, config_apply):
    """Guards against watches that wait longer than the bound allows."""
    fleet = StrictFleet(DrillStore(), size, config_apply=config_apply)
    fleet.advance(1.0)
    fleet.advance(25.0)
    assert fleet.oldest < REFUSED_FROM


@pytest.mark.parametrize("size", [6, 84])
def test_reports_of_peers_suffice(size):
    """Guards an instance that is cut from the store alone."""
    fleet = StrictFleet(DrillStore(), size)
    fleet.advance(10.0)
    fleet.followers[0].link.is_cut = True
    fleet.advance(25.0)
    assert fleet.oldest < REFUSED_FROM


@pytest.mark.parametrize("size", [6, 84])
def test_instances_ask_where_peers_do_not_tell_the_time(size):
    """Guards against peers of older builds that confirm without a time."""
    fleet = StrictFleet(DrillStore(), size)
    for follower in fleet.followers:
        follower.config_age.fields = lambda **options: {}
    fleet.advance(1.0)
    fleet.advance(25.0)
    assert fleet.oldest < REFUSED_FROM


@pytest.mark.parametrize("size", [1, 6, 84])
def test_keyed_work_ends_while_the_store_is_away_and_goes_on_after(size):
    """Guards against a bound that answers without a sound path stretch."""
    store = DrillStore()
    fleet = StrictFleet(store, size)
    fleet.advance(20.0)
    store.is_away = True
    store.watches = []
    fleet.advance(REFUSED_FROM)
    assert not any(each.config_age.age() < 2.0 for each in fleet.followers)
    store.is_away = False
    fleet.advance(2.0)
    fleet.advance(10.0)
    assert fleet.oldest < REFUSED_FROM


def test_an_instance_without_a_later_version_does_not_count_reports():
    """Guards against ages that a peer's newer configuration has."""
    store = DrillStore()
    fleet = StrictFleet(store, 6)
    fleet.advance(20.0)
    cut = fleet.followers[0]
    cut.link.is_cut = True
    publish_config(store, 2, tenants=tenants())
    changed_at = store.timers.now
    fleet.advance(20.0)
    assert cut.config == 1
    assert cut.config_age.newest_at <= changed_at
    assert all(each.config == 2 for each in fleet.followers[1:])


@pytest.mark.parametrize("lost", [0.0, 3.0])
def test_a_restored_store_is_believed_when_it_is_written_again(lost):
    """Guards against answers that lack a removal, and a refusal for good."""
    store = DrillStore()
    store.rewrite_delay = 1.9
    fleet = StrictFleet(store, 6)
    fleet.advance(20.0)
    publish_config(store, 2, tenants=tenants(KEY, "later"))
    fleet.advance(1.0)
    store.drill(lost=lost, away=0.5)
    returned_at = store.timers.now + 0.5
    while store.timers.now < returned_at + 1.9:
        fleet.advance(0.1)
        assert all(each.config_age.newest_at < returned_at for each in fleet.followers)
    fleet.advance(2.0)
    fleet.advance(10.0)
    assert fleet.oldest < REFUSED_FROM


class Revocations:
    """Keys that the operator adds and removes while things fail.

    Attributes
    ----------
    removed_at : dict of str to float
        When the store acknowledged the removal, by the key's digest.
    """

    def __init__(self, *, seed):
        self.rng = random.Random(seed)
        self.store = DrillStore()
        self.fleet = StrictFleet(self.store, 6)
        self.fleet.advance(5.0)
        self.keys, self.version = [KEY], 1
        self.removed_at = {}
        self.served = 0

    def change(self):
        """Replace the oldest key, if the store takes the change."""
        if self.store.is_away:
            return
        self.version += 1
        removed, self.keys = self.keys[0], [f"key-{self.version}"]
        publish_config(self.store, self.version, tenants=tenants(*self.keys))
        self.removed_at[key_digest(removed)] = self.store.timers.now

    def disturb(self):
        """Let one thing fail, or be whole again."""
        fleet, rng = self.fleet, self.rng
        number = rng.randrange(6)
        follower = fleet.followers[number]
        step = rng.randrange(6)
        if step == 0:
            follower.link.is_cut = not follower.link.is_cut
        elif step == 1:
            fleet.deaf ^= {follower}
        elif step == 2:
            follower.link.silence()
        elif step == 3:
            fleet.restart(number, bytes_per_second=rng.choice([200.0, 1e6]))
        elif step == 4 and not self.store.is_away:
            self.store.drill(lost=rng.uniform(0.0, 3.0), away=rng.uniform(0.2, 3.0))

    def check(self):
        """Check that no removed key is served too late."""
        for follower in self.fleet.followers:
            if follower.config_age.age() < REFUSED_FROM:
                for digest in follower.forwarder.config.workspaces:
                    removed_at = self.removed_at.get(digest, self.store.timers.now)
                    assert self.store.timers.now - removed_at < LIMIT
                self.served += 1


@pytest.mark.parametrize("seed", range(12))
def test_no_removed_key_is_served_after_the_limit(seed):
    """Guards against each way in which an old configuration seems new."""
    play = Revocations(seed=seed)
    for step in range(600):
        if step % 25 == 24:
            play.change()
        if step % 12 == 11:
            play.disturb()
        play.fleet.advance(0.1)
        play.check()
    assert play.served > 600
