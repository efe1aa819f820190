"""Tests of a store that comes back from an older copy of itself."""

import random

import pytest

from wagtailfront.authority.lease import LeaseMachine
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.platform.store_client import StoreClient, StoreRegistry
from wagtailfront.platform.store_table import StoreTable
from wagtailfront.platform.tests.restored_store import (
    DrillStore,
    Follower,
    LeaseOwner,
    exchange_versions,
    publish_config,
    register,
    withdraw,
)
from wagtailfront.platform.tests.store_pool import StorePool

DRAINING = {"state": "draining"}


@pytest.fixture
def store():
    """Return a store that has had a configuration and two engines for 10 s."""
    store = DrillStore()
    publish_config(store, 1)
    register(store, "e1")
    register(store, "e2")
    store.timers.advance(10.0)
    return store


def advance(store, seconds):
    """Let time pass in small steps."""
    store.timers.advance(seconds)


def test_a_watch_that_spans_a_restore_leads_to_a_full_read(store):
    """Guards against rows whose versions have been given out again."""
    follower = Follower(store=store)
    advance(store, 1.0)
    register(store, "e3")
    store.rewrite_delay = 0.1
    advance(store, 0.05)
    # The watcher has its answer and waits before it calls the store again.
    store.drill(lost=5.0, away=0.05)
    advance(store, 0.06)
    register(store, "e4")
    advance(store, 2.0)
    assert follower.usable() == ["e1", "e2", "e3", "e4"]


def test_a_change_after_a_restore_ends_a_lost_watch(store):
    """Guards against peers' versions that count less than older ones."""
    followers = [Follower(store=store, peers=peers) for peers in (83, 0)]
    advance(store, 1.0)
    for version in range(2, 6):
        publish_config(store, version)
        advance(store, 0.1)
    exchange_versions(followers)
    store.drill(lost=5.0, away=1.0)
    for _ in range(40):
        advance(store, 0.1)
        exchange_versions(followers)
    followers[0].link.is_cut = True
    publish_config(store, 7)
    advance(store, 0.1)
    followers[0].link.is_cut = False
    for _ in range(10):
        exchange_versions(followers)
        advance(store, 0.1)
    assert [follower.config for follower in followers] == [7, 7]


def test_a_peer_that_has_not_heard_of_a_restore_causes_no_reads(store):
    """Guards the store against reads for versions that it has not any more."""
    followers = [Follower(store=store) for _ in range(2)]
    advance(store, 1.0)
    for version in range(2, 6):
        publish_config(store, version)
    advance(store, 1.0)
    followers[1].link.is_cut = True
    store.drill(lost=5.0, away=1.0)
    advance(store, 3.0)
    publish_config(store, 7)
    advance(store, 1.0)
    calls = len(store.calls)
    for _ in range(20):
        exchange_versions(followers)
        advance(store, 0.05)
    assert len(store.calls) - calls <= 4
    assert followers[0].config == 7


def test_an_engine_that_leaves_is_not_used_again_after_a_restore(store):
    """Guards against requests to an engine whose row is an older one."""
    follower = Follower(store=store)
    advance(store, 1.0)
    register(store, "e1", **DRAINING)
    withdraw(store, "e2")
    register(store, "e3")
    advance(store, 1.0)
    store.written.clear()
    store.drill(lost=5.0, away=0.5)
    for _ in range(20):
        advance(store, 0.1)
        assert not {"e1", "e2"} & set(follower.usable())


def test_an_engine_that_registered_is_used_until_it_has_done_so_again(store):
    """Guards live engines that are missing in the copy of the store."""
    follower = Follower(store=store)
    advance(store, 1.0)
    register(store, "e3")
    advance(store, 1.0)
    store.rewrite_delay = 1.5
    store.drill(lost=5.0, away=0.5)
    for _ in range(40):
        advance(store, 0.1)
        assert "e3" in follower.usable()


def test_an_answer_of_an_earlier_era_changes_nothing():
    """Guards against answers that arrive after those of the restored store."""
    pool = StorePool()
    client = StoreClient(pool=pool, host="10.0.0.1", port=80)
    registry, reads = StoreRegistry(client=client, log=LogLines()), []
    register(_Published(pool), "e1")
    pool.era = 2
    registry.read(reads.append)
    pool.era = 1
    registry.read(reads.append)
    pool.era = 2
    registry.read(reads.append)
    assert [read.is_known for read in reads] == [True, False, True]


def disturb(rng, store, followers, version, starts):
    """Change, drill, cut or restart something; return the latest version.

    `starts` holds the time of each engine's latest start, by its id.
    """
    follower = rng.choice(followers)
    choice = rng.random()
    if choice < 0.4:
        version += rng.randrange(1, 5)
        publish_config(store, version)
    elif choice < 0.6:
        engine = f"e{rng.randrange(4, 9)}"
        if engine in starts and rng.random() < 0.5:
            register(store, engine, born=starts[engine], **DRAINING)
        else:
            starts[engine] = len(starts) + starts.get(engine, 0) + 10
            register(store, engine, born=starts[engine])
    elif choice < 0.7:
        withdraw(store, f"e{rng.randrange(4, 9)}")
    elif choice < 0.8 and not store.is_away:
        store.drill(lost=rng.uniform(1.0, 9.0), away=rng.choice((0.02, 0.3, 2.0)))
    elif choice < 0.9:
        follower.link.is_cut = not follower.link.is_cut
    else:
        follower.link.is_cut = True
        followers[followers.index(follower)] = Follower(store=store, peers=5)
    return version


@pytest.mark.parametrize("seed", range(40))
def test_all_instances_agree_after_restores_cuts_and_restarts(store, seed):
    """Guards against changes lost, or reverted, in a storm of them."""
    rng, version, starts = random.Random(seed), 1, {}
    followers = [Follower(store=store, peers=5) for _ in range(6)]
    everyone = list(followers)
    for _ in range(80):
        version = disturb(rng, store, followers, version, starts)
        everyone += [each for each in followers if each not in everyone]
        for _ in range(rng.choice((1, 1, 4, 12))):
            advance(store, 0.08)
            exchange_versions([f for f in followers if not f.link.is_cut])
    for follower in followers:
        follower.link.is_cut = False
    for _ in range(100):
        advance(store, 0.1)
        exchange_versions(followers)
    assert {follower.config for follower in followers} == {version}
    assert len({tuple(follower.usable()) for follower in followers}) == 1
    for follower in everyone:
        assert follower.configs == sorted(set(follower.configs))


class _Published:
    """A StorePool to which operator and engines write."""

    def __init__(self, pool):
        self.publish = pool.write


def make_owners(pool, names):
    """Return owners of one lease on the platform's rows."""
    return [
        LeaseOwner(
            machine=LeaseMachine(group="stages", instance=name, new_token=lambda: "t"),
            store=StoreTable(client=StoreClient(pool=pool, host="h", port=80)),
        )
        for name in names
    ]


@pytest.mark.parametrize("seed", range(20))
def test_no_fencing_number_is_given_out_twice(seed):
    """Guards orders of two holders against numbers of a lost lease."""
    rng = random.Random(seed)
    pool = StorePool()
    owners = make_owners(pool, "abc")
    copies, holders, last = [pool.copy()], {}, 0
    for step in range(400):
        now = step * 0.5
        if rng.random() < 0.02:
            pool.restore(rng.choice(copies[-20:]))
        copies.append(pool.copy())
        for owner in owners:
            if rng.random() < 0.7:
                owner.advance(now, wanted=rng.random() < 0.9)
        held = [owner for owner in owners if owner.grant() is not None]
        assert len(held) <= 1
        for owner in held:
            fencing = owner.grant().fencing
            assert fencing >= last
            assert holders.setdefault(fencing, owner) is owner
            last = fencing
    assert len(holders) > 3
