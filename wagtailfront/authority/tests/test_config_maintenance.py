"""Tests of when an instance commits changes again that the table lost."""

import pytest

from wagtailfront.authority.config_log import PARTITION
from wagtailfront.authority.config_maintenance import LogRestorer
from wagtailfront.authority.lease import candidates
from wagtailfront.authority.tests.config_builders import limit_change
from wagtailfront.authority.tests.config_fleet import Fleet


@pytest.fixture
def restorer():
    """Return the restorer of an instance that is not among the first ones."""
    fleet = Fleet(size=5, seed=1)
    fleet.run(4.0)
    fleet.propose(0, limit_change("till", 3))
    fleet.run(4.0)
    replicas = [node.replica for node in fleet.nodes.values()]
    first = candidates(PARTITION, replicas[0].config.roster)
    later = [each for each in replicas if each.member.incarnation not in first]
    return LogRestorer(replica=later[0])


def read_heads(restorer, times):
    """Return at which of `times` a head that is behind leads to a write."""
    behind = restorer.replica.log.version - 1
    due = []
    for now in times:
        before = restorer.attempts
        restorer.handle_head(now, behind)
        if restorer.attempts > before:
            due.append(now)
    return due


def test_time_without_reads_of_the_head_does_not_count(restorer):
    """Guards against writes by all instances at once after an outage."""
    assert read_heads(restorer, [100.0, 101.0, 120.0, 121.0, 122.0, 123.0]) == [123.0]


def test_one_read_that_fails_does_not_delay_the_restorer(restorer):
    """Guards against a table that answers now and then and is not restored."""
    assert read_heads(restorer, [100.0, 102.1, 104.2]) == [104.2]
