"""Tests that the log tells how each version of the store's rows arrived."""

import pytest

from wagtailfront.forwarding.interfaces import StorePosition
from wagtailfront.platform.tests.restored_store import (
    DrillStore,
    Follower,
    publish_config,
)


@pytest.fixture
def store():
    store = DrillStore()
    publish_config(store, 1)
    return store


@pytest.fixture
def follower(store):
    follower = Follower(store=store, peers=29)
    store.timers.advance(1.0)
    return follower


def test_the_return_of_the_store_tells_which_calls_failed(store, follower):
    """Guards against retries that fail again without a trace in the log."""
    follower.link.is_cut = True
    store.timers.advance(20.0)
    follower.link.is_cut = False
    store.timers.advance(1.0)
    lost, reached = [
        inputs
        for kind, outcome, inputs in follower.log
        if (kind, outcome) in {("routing", "lost"), ("routing", "reached")}
    ][-2:]
    assert lost["failures"] == 0
    assert reached["failures"] > 5
    assert reached["failed_for"] > 5.0
    assert set(reached["latest_failures"]) == {"timed out"}
    assert reached["call"] >= lost["call"] + reached["failures"]
    assert reached["cause"] == "failure"


def test_an_answer_tells_the_largest_age_of_its_change(store, follower):
    """Guards against versions whose delay cannot be traced afterwards."""
    follower.link.is_cut = True
    store.timers.advance(5.0)
    publish_config(store, 2)
    store.timers.advance(1.0)
    follower.link.is_cut = False
    follower.versions.handle_peer_versions(1, (store.ver, 0))
    store.timers.advance(1.0)
    assert follower.configs == [1, 2]
    arrival = follower.routing_arrivals[-1]
    assert arrival.since_answer >= 6.0
    assert 0.0 < arrival.since_report < 1.0
    assert arrival.cause in ("report of a peer", "failure")
    assert follower.routing.cursor >= StorePosition(1, store.ver)


def test_an_answer_tells_how_long_the_store_was_asked_to_wait(store, follower):
    """Guards against a wait of a large fleet that no line of the log shows."""
    publish_config(store, 2)
    store.timers.advance(0.1)
    arrival = follower.routing_arrivals[-1]
    assert arrival.wait >= 1.2
    assert arrival.peers == 29


def test_a_change_that_no_answer_contained_is_logged_once(store, follower):
    """Guards against a position that moves past a change without a trace."""
    store.is_deaf = True
    publish_config(store, 2)
    missed = store.ver
    store.timers.advance(25.0)
    store.is_deaf = False
    for _ in range(3):
        follower.versions.handle_peer_versions(1, (missed, 0))
        store.timers.advance(1.0)
    [line] = [
        inputs
        for kind, outcome, inputs in follower.log
        if (kind, outcome) == ("routing", "passed over")
    ]
    assert line["heard"] == StorePosition(1, missed) <= line["known"]
    assert line["seen"] < line["heard"]
