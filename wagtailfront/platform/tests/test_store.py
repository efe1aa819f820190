"""Tests of the platform store's clients with an in-memory store."""

import pytest

from wagtailfront.authority.lease import LeaseMachine, lease_key
from wagtailfront.authority.step_component import StepComponent
from wagtailfront.forwarding.interfaces import InstanceRow, StorePosition
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.platform.part_store import StoreRefusedParts
from wagtailfront.platform.store_client import (
    REGISTRY_TABLE,
    StoreClient,
    StoreRegistry,
)
from wagtailfront.platform.store_membership import StoreMembership
from wagtailfront.platform.store_table import StoreTable
from wagtailfront.platform.tests.builders import make_registration, make_row
from wagtailfront.platform.tests.store_pool import StorePool
from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Key,
    Missing,
    Put,
    Unavailable,
    Unknown,
)

KEY = Key("lease", "stages")


def make_client(pool):
    """Return a client of the store behind `pool`."""
    return StoreClient(pool=pool, host="10.0.0.1", port=80)


def register(pool, key, **changes):
    """Write an engine's registration; return its version."""
    value = make_row(key, make_registration(**changes)).value
    return pool.write(REGISTRY_TABLE, key, value)


def make_registry(pool):
    """Return a registry, and an empty list for its reads."""
    return StoreRegistry(client=make_client(pool), log=LogLines()), []


def endpoints(read):
    """Return the ids of the endpoints in a read."""
    return [record.endpoint_id for record in read.records]


def test_all_pages_of_a_table_are_read():
    """Guards against endpoints that get no requests beyond the first page."""
    pool = StorePool(page_rows=50)
    names = [f"i-{number:03}" for number in range(121)]
    for name in names:
        register(pool, name)
    registry, reads = make_registry(pool)
    registry.read(reads.append)
    assert endpoints(reads[0]) == names
    assert len(pool.calls) == 3
    assert reads[0].cursor == reads[0].changed == (pool.era, pool.ver)


def test_a_page_that_fails_makes_the_whole_read_fail():
    """Guards against endpoints taken as removed because a page failed."""
    pool = StorePool(page_rows=2)
    for name in ("i-1", "i-2", "i-3"):
        register(pool, name)
    registry, reads = make_registry(pool)
    answer = pool.request

    def fail_second_call(**call):
        if len(pool.calls) == 1:
            pool.failures.append(503)
        answer(**call)

    pool.request = fail_second_call
    registry.read(reads.append)
    assert [(read.is_known, read.records) for read in reads] == [(False, None)]
    assert reads[0].reason == "status 503"


def test_a_watch_returns_changed_and_unchanged_endpoints():
    """Guards against losing the endpoints that a change does not name."""
    pool = StorePool()
    register(pool, "i-1")
    register(pool, "i-2")
    registry, reads = make_registry(pool)
    registry.read(reads.append)
    changed = register(pool, "i-1", state="draining")
    registry.watch(reads[0].cursor, 1.0, reads.append)
    assert [(r.endpoint_id, r.is_leaving) for r in reads[1].records] == [
        ("i-2", False),
        ("i-1", True),
    ]
    assert reads[1].changed == (pool.era, changed)
    registry.watch(reads[1].cursor, 1.0, reads.append)
    assert reads[2].is_known
    assert reads[2].records is None


def test_an_outdated_watch_does_not_restore_a_removed_endpoint():
    """Guards against requests to an endpoint that a later read removed."""
    pool = StorePool()
    register(pool, "i-1")
    registry, reads = make_registry(pool)
    registry.read(reads.append)
    pool.write(REGISTRY_TABLE, "i-1", None)
    registry.read(reads.append)
    pool.rows[REGISTRY_TABLE, "i-1"] = (
        make_row("i-1", make_registration()).value,
        pool.ver - 1,
    )
    registry.watch(StorePosition(pool.era, 0), 1.0, reads.append)
    assert endpoints(reads[1]) == []
    assert reads[2].records is None


@pytest.mark.parametrize("status", [410, 503, None])
def test_a_watch_that_fails_says_whether_the_history_is_gone(status):
    """Guards the full read that must follow if the history is gone."""
    pool = StorePool()
    registry, reads = make_registry(pool)
    pool.failures.append(status)
    registry.watch(StorePosition(pool.era, 5), 1.0, reads.append)
    assert reads[0].is_known == (status == 410)
    assert reads[0].cursor is None
    assert reads[0].reason


def test_instances_find_each_other():
    """Guards against a wrong address for the connections of peers."""
    membership = StoreMembership(client=make_client(StorePool()), log=LogLines())
    written, rows = [], []
    membership.announce(InstanceRow("a", "10.0.0.2:7"), written.append)
    membership.read(rows.append)
    assert written == [True]
    assert [(row.instance, row.address) for row in rows[0]] == [("a", "10.0.0.2:7")]


def test_refused_parts_are_kept_until_they_are_removed():
    """Guards the parts that an instance reads when it starts."""
    parts = StoreRefusedParts(client=make_client(StorePool()), log=LogLines())
    written, read = [], []
    for part in ("5c1e07a2", "91bd3f06"):
        parts.record(part, written.append)
    parts.remove("5c1e07a2", written.append)
    parts.read(read.append)
    assert written == [True] * 3
    assert read == [["91bd3f06"]]


def make_table(pool):
    """Return functions that read and write the lease row of a new table."""
    table = StoreTable(client=make_client(pool))

    def get():
        replies = []
        table.get(key=KEY, reply=replies.append)
        return replies[0]

    def put(expected, value):
        replies = []
        table.transact(
            puts=(Put(KEY, expected, value),), token="t", reply=replies.append
        )
        return replies[0]

    return get, put


def test_rows_have_versions_that_count_their_writes():
    """Guards the row versions that leases depend on."""
    get, put = make_table(StorePool())
    assert get() == Missing(era=1)
    assert put(0, b"one") == Committed()
    assert put(1, b"two") == Committed()
    found = get()
    assert isinstance(found, Found)
    assert (found.row.version, found.row.value) == (2, b"two")


def test_only_one_of_two_writers_creates_a_row():
    """Guards against two holders of a lease."""
    pool = StorePool()
    (get_a, put_a), (get_b, put_b) = make_table(pool), make_table(pool)
    assert get_a() == get_b() == Missing(era=1)
    assert put_a(0, b"a") == Committed()
    assert put_b(0, b"b") == ConditionFailed()
    assert get_b().row.value == b"a"
    assert put_b(1, b"b") == Committed()
    assert put_a(1, b"a") == ConditionFailed()


@pytest.mark.parametrize(
    ("status", "kind"), [(503, Unavailable), (429, Unavailable), (None, Unknown)]
)
def test_a_failed_write_differs_from_one_with_unknown_outcome(status, kind):
    """Guards against a lease taken as held, or as free, without knowing it."""
    pool = StorePool()
    get, put = make_table(pool)
    get()
    pool.failures.append(status)
    assert isinstance(put(0, b"one"), kind)
    # After an unknown outcome the row must be read before the next write.
    expected = Committed() if kind is Unavailable else ConditionFailed()
    assert put(0, b"one") == expected


def test_a_lease_is_acquired_and_renewed_on_the_platforms_rows():
    """Guards the whole path from the lease to the store."""
    pool = StorePool()
    machine = LeaseMachine(group="stages", instance="a", new_token=lambda: "t")
    other = LeaseMachine(group="stages", instance="b", new_token=lambda: "t")
    owners = [
        _Owner(machine=m, store=StoreTable(client=make_client(pool)))
        for m in (machine, other)
    ]
    for owner in owners:
        owner.step(owner.machine.want(0.0, True))
    assert machine.is_held(1.0)
    assert not other.is_held(1.0)
    for second in range(1, 9):
        for owner in owners:
            owner.now = float(second)
            owner.step(owner.machine.on_time(float(second)))
    assert machine.is_held(12.0)
    assert not other.is_held(9.0)
    assert lease_key("stages") == KEY


class _Owner(StepComponent):
    """Performs the effects of one lease."""

    def __init__(self, *, machine, store):
        self.now = 0.0
        super().__init__(store=store, clock=lambda: self.now)
        self.machine = machine

    def step(self, effects):
        self.perform(effects)

    def on_store_reply(self, tag, reply):
        self.perform(self.machine.on_reply(self.now, tag, reply))
