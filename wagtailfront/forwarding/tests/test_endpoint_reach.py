"""Tests of whether the endpoints of a service are out of reach."""

import random

import pytest

from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.endpoint_reach import EndpointReach
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    VirtualTimers,
    make_record,
)

CONNECT_TIMEOUT = 0.42  # seconds


class LinkedReach:
    """Reach of endpoints, and the links to them, in virtual time.

    Parameters
    ----------
    size : int
        Number of endpoints.
    seed : int, optional
    """

    def __init__(self, size, *, seed=1):
        self.timers = VirtualTimers()
        self.records = [make_record(f"e{number}") for number in range(size)]
        directory = EndpointDirectory()
        directory.replace(self.records, now=0.0)
        self.dark = set()
        self.has_silent_connects = False
        self.probes = 0
        self.health = EndpointHealth()
        self.reach = EndpointReach(
            directory=directory,
            timers=self.timers,
            clock=self.timers.clock,
            log=LogLines(),
            rng=random.Random(seed),
            on_restored=self._on_restored,
        )
        self.reach.probe = self.connect
        self.reach.ask = self.ask

    def _on_restored(self, records):
        for record in records:
            self.health.forgive(record, now=self.timers.now)

    def connect(self, record):
        """Open a connection, which a dark endpoint does not accept."""
        self.probes += 1
        if record not in self.dark or self.has_silent_connects:
            self.reach.handle_connected(record)
            return
        self.health.record_failure(record, now=self.timers.now)
        self.timers.after(
            CONNECT_TIMEOUT, lambda: self.reach.handle_unconnected(record)
        )

    def ask(self, record):
        """Ask an endpoint for an answer, which a dark one does not give."""
        if record not in self.dark:
            self.reach.handle_response(record)

    @property
    def is_lost(self):
        return self.reach.is_lost("s")


@pytest.mark.parametrize("size", [1, 2, 3, 6, 50])
def test_a_cut_is_known_within_a_second_and_ends_as_soon(size):
    """Guards callers against an instance that tries what it cannot reach."""
    linked = LinkedReach(size)
    linked.dark = set(linked.records)
    linked.connect(linked.records[0])
    linked.timers.advance(1.0)
    assert linked.is_lost
    linked.timers.advance(12.0)
    assert linked.is_lost
    linked.dark = set()
    linked.timers.advance(1.0)
    assert not linked.is_lost


@pytest.mark.parametrize("size", [2, 6, 50])
def test_endpoints_that_are_dark_are_not_taken_for_a_cut(size):
    """Guards peers against requests for which endpoints are in reach."""
    for seed in range(50):
        linked = LinkedReach(size, seed=seed)
        linked.dark = set(linked.records[: size // 3 or 1])
        for _ in range(30):
            linked.connect(linked.reach.rng.choice(linked.records))
            linked.timers.advance(0.1)
        linked.timers.advance(1.0)
        assert not linked.is_lost, f"seed {seed}"


def test_probes_are_few():
    """Guards endpoints and links against probes while a cut lasts."""
    linked = LinkedReach(50)
    linked.dark = set(linked.records)
    linked.connect(linked.records[0])
    linked.timers.advance(12.0)
    assert linked.probes <= 60
    linked.dark = set()
    linked.timers.advance(1.0)
    probes = linked.probes
    linked.timers.advance(60.0)
    assert linked.probes == probes


def test_connections_that_open_and_stay_silent_are_a_cut():
    """Guards callers against a link that only seems to work."""
    linked = LinkedReach(6)
    linked.dark, linked.has_silent_connects = set(linked.records), True
    for record in linked.records[:2]:
        linked.connect(record)
        linked.reach.handle_silence(record)
    assert linked.is_lost
    linked.timers.advance(10.0)
    assert linked.is_lost
    linked.dark = set()
    linked.timers.advance(1.0)
    assert not linked.is_lost


def test_silence_beside_answers_is_no_cut():
    """Guards peers against requests while most endpoints answer."""
    linked = LinkedReach(6)
    for number in range(20):
        linked.reach.handle_silence(linked.records[number % 5])
        linked.reach.handle_response(linked.records[5])
        linked.timers.advance(0.1)
    assert not linked.is_lost


def test_nothing_is_kept_against_endpoints_after_a_cut():
    """Guards the instance's own return against pauses of the cut."""
    linked = LinkedReach(6)
    linked.dark = set(linked.records)
    for record in linked.records:
        for _ in range(5):
            linked.connect(record)
    linked.timers.advance(1.0)
    assert linked.is_lost
    linked.dark = set()
    linked.timers.advance(1.0)
    now = linked.timers.now
    assert linked.health.usable(linked.records, now=now) == linked.records
    assert all(
        linked.health.state(r.incarnation).avoid_until <= now for r in linked.records
    )
