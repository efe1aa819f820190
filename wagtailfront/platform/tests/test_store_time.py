"""Tests of the store's clock in its answers."""

import itertools

import pytest

from wagtailfront.platform.rows import read_rows
from wagtailfront.platform.store_answers import read_store_time
from wagtailfront.platform.store_client import StoreClient, StoreRouting
from wagtailfront.platform.tests.builders import make_row
from wagtailfront.platform.tests.store_pool import StorePool


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (b"1500", 1.5),
        (b"1500.5", 1.5005),
        (b"0", 0.0),
        (b"-1", None),
        (b"1e300", None),
        (b'"1500"', None),
        (b"null", None),
        (b"[1]", None),
    ],
)
def test_a_clock_of_another_form_leaves_the_rows_readable(text, seconds):
    """Guards the configuration against a field that it does not need."""
    body = b'{"rows":[{"key":"config","ver":3}],"ver":3,"now-ms":%b}' % text
    rows = read_rows(body)
    assert [row.key for row in rows.rows] == ["config"]
    assert rows.store_time == read_store_time(body) == seconds


def make_client(pool, times):
    """Return a client that adds the StoreTime of each answer to `times`."""
    ticks = itertools.count(100)
    return StoreClient(
        pool=pool,
        host="h",
        port=80,
        on_clock=times.append,
        clock=lambda: float(next(ticks)),
    )


def test_a_read_of_many_pages_is_as_old_as_its_first_page():
    """Guards against changes between two pages that are taken as known."""
    pool, times, reads = StorePool(page_rows=1), [], []
    seconds = itertools.count(10)
    pool.clock = lambda: next(seconds)
    for key in ("a", "config", "z"):
        pool.write("op", key, make_row(key, {"version": 1}).value)
    StoreRouting(client=make_client(pool, times)).read(reads.append)
    assert [time.store for time in times] == [10.0, 11.0, 12.0]
    assert all(time.sent < time.received and time.era == 1 for time in times)
    assert (reads[0].config.version, reads[0].store_time) == (1, 10.0)


def test_answers_without_a_clock_or_of_an_earlier_era_tell_no_time():
    """Guards against a pair of a clock that has been replaced."""
    pool, times, reads = StorePool(), [], []
    pool.write("op", "config", make_row("config", {"version": 1}).value)
    client = make_client(pool, times)
    StoreRouting(client=client).read(reads.append)
    assert (times, reads[0].store_time) == ([], None)
    pool.clock, client.era = (lambda: 5.0), 2
    StoreRouting(client=client).read(reads.append)
    assert (times, reads[1].is_known) == ([], False)


def test_an_answer_without_changes_tells_the_time():
    """Guards the age of a configuration that does not change."""
    pool, times, reads = StorePool(), [], []
    pool.write("op", "config", make_row("config", {"version": 1}).value)
    pool.clock = lambda: 7.0
    source = StoreRouting(client=make_client(pool, times))
    source.read(reads.append)
    source.watch(reads[0].cursor, 0.0, reads.append)
    assert (reads[1].config, reads[1].store_time) == (None, 7.0)
