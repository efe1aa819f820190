"""Tests of the choice of connections that are closed at the limit."""

import itertools
import resource

import pytest

from wagtailfront.intake.descriptors import allow_descriptors
from wagtailfront.intake.eviction import OpenConnection, choose_evicted

NOW = 10.0
BUSY = OpenConnection("busy", 0.0, 0.0, has_work=True)
SERVED = OpenConnection("served", 0.0, 0.0, was_served=True)
STALLED = OpenConnection("stalled", 0.0, 0.0, has_part_of_body=True)
SENDING = OpenConnection("sending", 0.0, NOW, has_part_of_body=True)
REFUSED = OpenConnection("refused", 1.0, NOW, was_served=True, is_refused=True)
SILENT = OpenConnection("silent", 2.0, 2.0)
TRICKLING = OpenConnection("trickling", 1.5, NOW)
ALL = (BUSY, SERVED, STALLED, SENDING, REFUSED, SILENT, TRICKLING)
ORDER = ["refused", "trickling", "silent", "stalled", "served"]


@pytest.mark.parametrize("count", [1, 3, len(ALL)])
def test_those_who_ask_for_nothing_leave_first(count):
    """Guards requests in progress, and callers who were served."""
    for connections in itertools.islice(itertools.permutations(ALL), 0, None, 97):
        leaving = choose_evicted(connections, count=count, now=NOW)
        assert leaving == ORDER[:count]


def test_nobody_leaves_among_requests_in_progress():
    """Guards accepted requests against new connections."""
    assert choose_evicted([BUSY, SENDING], count=2, now=NOW) == []


def test_descriptors_stay_below_the_limit_of_the_process(monkeypatch):
    """Guards against a listener without a descriptor for a connection."""
    raised = []
    monkeypatch.setattr(resource, "getrlimit", lambda _kind: (256, 1024))
    monkeypatch.setattr(resource, "setrlimit", lambda _kind, to: raised.append(to))
    assert [allow_descriptors(wanted) for wanted in (100, 512, 4096)] == [
        100,
        512,
        1024,
    ]
    assert raised == [(512, 1024), (1024, 1024)]
