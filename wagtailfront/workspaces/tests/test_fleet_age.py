"""Tests of the configuration's age in whole fleets."""

import pytest

from wagtailfront.platform.tests.restored_store import DrillStore, publish_config
from wagtailfront.platform.tests.wire import tenants
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
