"""Rows of the sums of usage, and the store's clock in its answers."""

import pytest

from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.platform.store_answers import read_store_time
from wagtailfront.platform.store_client import StoreClient
from wagtailfront.platform.tests.store_pool import StorePool
from wagtailfront.platform.usage_store import StoreUsage


class Setup:
    """A table, and the replies to calls."""

    def __init__(self, **options):
        self.pool = StorePool()
        self.log, self.replies = LogLines(), []
        client = StoreClient(pool=self.pool, host="h", port=1, **options)
        self.usage = StoreUsage(client=client, log=self.log)

    def write(self, window, counts, removed=()):
        self.usage.write(window, counts, removed, self.replies.append)
        return self.replies[-1]

    def read(self):
        self.usage.read(self.replies.append)
        return self.replies[-1]


def test_a_sum_is_written_once_and_old_ones_are_removed():
    """Guards against a second sum of a window, and a table that grows."""
    setup = Setup()
    assert setup.write(7, {"w": 1})
    assert not setup.write(7, {"w": 2})
    assert setup.write(8, {}, removed=[6])
    assert setup.read() == {7: {"w": 1}, 8: {}}
    assert setup.write(9, {"w": 3}, removed=[7])
    assert setup.read() == {8: {}, 9: {"w": 3}}


@pytest.mark.parametrize("status", [None, 429, 503])
def test_a_failure_is_not_taken_for_an_empty_table(status):
    """Guards against sums that start anew while the store is away."""
    setup = Setup()
    setup.pool.failures = [status, status]
    assert setup.read() is None
    assert not setup.write(7, {})
    assert len(setup.log) == 2


def test_a_row_that_cannot_be_read_is_left_out_with_a_line():
    """Guards against one row that ends all reports."""
    setup = Setup()
    setup.write(7, {"w": 1})
    setup.pool.write("usage", "8", "x")
    setup.pool.write("usage", "y", "e30=")
    assert setup.read() == {7: {"w": 1}}
    assert len(setup.log) == 2


def test_the_stores_clock_is_read_from_its_answers():
    """Guards against true time without a common clock."""
    clocks = []
    setup = Setup(on_clock=clocks.append)
    setup.read()
    assert clocks == []
    perform = setup.pool.perform
    setup.pool.perform = lambda *call: (200, {**perform(*call)[1], "now-ms": 4321})
    setup.read()
    (clock,) = clocks
    assert (clock.store, clock.era) == (4.321, 1)
    assert clock.sent <= clock.received


@pytest.mark.parametrize("body", [b"", b"{}", b"{", b'{"now-ms":"x"}'])
def test_an_answer_without_a_clock_is_passed_over(body):
    """Guards against an exception in the answer of any call."""
    assert read_store_time(body) is None
