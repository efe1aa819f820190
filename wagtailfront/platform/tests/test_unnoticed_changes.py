"""Tests of changes that an open watch of the store does not show."""

from wagtailfront.platform.tests.restored_store import (
    DrillStore,
    Follower,
    publish_config,
    register,
    withdraw,
)

DIGEST_INTERVAL = 0.16  # seconds
SEEDS = range(8)
# Instances of a deployment, and its seconds until a change is in force.
DEPLOYMENTS = ((6, 2.0), (59, 3.0), (84, 3.0), (195, 4.0))
DEAF_SECONDS = 1.0  # for which the store's watches may hear nothing
STABLE_MARGIN = 1.0  # seconds by which the stable window exceeds the bound


class WatchedStore:
    """A store, and one instance that follows it and hears of its changes."""

    def __init__(self, *, instances, bound, seed):
        self.store = DrillStore()
        publish_config(self.store, 1)
        register(self.store, "e1")
        self.bound = bound
        self.follower = Follower(
            store=self.store, peers=instances - 1, seed=seed, config_apply=bound
        )
        self.store.timers.advance(30.0 + seed)

    def advance(self, seconds, *, reported=None):
        """Let time pass while peers report these versions of both tables."""
        end = self.store.timers.now + seconds
        while (left := end - self.store.timers.now) > 1e-9:
            if reported is not None:
                self.follower.versions.handle_peer_versions(1, reported)
            self.store.timers.advance(min(left, DIGEST_INTERVAL))


def test_reports_are_acted_on_until_the_change_has_arrived():
    """Guards against a single call for a change that the store then hides."""
    for (instances, bound), seed in cases():
        watched = WatchedStore(instances=instances, bound=bound, seed=seed)
        store = watched.store
        watched.follower.link.silence()
        store.is_deaf, store.told_ver = True, store.ver
        publish_config(store, 2)
        reported = (store.ver, 0)
        watched.advance(DEAF_SECONDS, reported=reported)
        store.is_deaf, store.told_ver = False, None
        watched.advance(bound - DEAF_SECONDS, reported=reported)
        assert watched.follower.config == 2, f"{instances} instances, seed {seed}"


def test_a_change_before_the_position_is_read_once_it_is_reported():
    """Guards against a change that an answer without rows has passed over."""
    for (instances, bound), seed in cases():
        watched = WatchedStore(instances=instances, bound=bound, seed=seed)
        store = watched.store
        store.is_deaf = True
        publish_config(store, 2)
        reported = (store.ver, 0)
        watched.advance(30.0)
        store.is_deaf = False
        watched.advance(bound, reported=reported)
        assert watched.follower.config == 2, f"{instances} instances, seed {seed}"


def test_a_lone_instance_notices_silent_connections_in_time():
    """Guards against waits of a fleet that the instance no longer hears."""
    for (instances, bound), seed in cases():
        watched = WatchedStore(instances=instances, bound=bound, seed=seed)
        watched.follower.link.silence()
        watched.advance(0.3)
        publish_config(watched.store, 2)
        watched.advance(0.3)
        withdraw(watched.store, "e1")
        watched.advance(bound + STABLE_MARGIN - 0.6)
        assert watched.follower.config == 2, f"{instances} instances, seed {seed}"
        assert watched.follower.usable() == [], f"{instances} instances, seed {seed}"


def cases():
    """Return each deployment with each seed."""
    return [(deployment, seed) for deployment in DEPLOYMENTS for seed in SEEDS]
