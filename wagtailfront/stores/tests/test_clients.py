"""Tests of the store clients over sockets against the platform stand-in."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.standins.fault_plan import parse_fault
from wagtailfront.standins.platform import PlatformStandIn
from wagtailfront.stores.interfaces import (
    Check,
    Committed,
    ConditionFailed,
    Found,
    Key,
    Missing,
    Put,
    Row,
    Rows,
    Unavailable,
    Unknown,
)
from wagtailfront.stores.object_client import ObjectClient
from wagtailfront.stores.table_client import TableClient
from wagtailfront.transport.http_client import HttpPool, WholeResponse
from wagtailfront.transport.tests.event_loop import EventLoop

KEY = Key("config", "head")


class Fleet:
    """Stand-in and clients in one event loop that the test drives."""

    def __init__(self, **options):
        self.root = EventLoop()
        self.standin = PlatformStandIn(bind=("127.0.0.1", 0), **options)
        self.standin.register(self.root)
        address = ("127.0.0.1", self.standin.port)
        times = {"read_timeout": 0.3, "write_timeout": 0.3}
        self.table = TableClient(address=address, **times).register(self.root)
        self.objects = ObjectClient(address=address, **times).register(self.root)
        self.pool = HttpPool(channel="test_pool").register(self.root)

    def call(self, function, **arguments):
        """Return the only reply to a call."""
        replies = []
        function(**arguments, reply=replies.append)
        return self.root.wait_for(lambda: replies)[0]

    def send(self, method, path, value=None):
        """Return status and body of a request to the stand-in."""
        replies = []
        self.pool.request(
            host="127.0.0.1",
            port=self.standin.port,
            method=method,
            path=path,
            body=b"" if value is None else json.dumps(value).encode(),
            sink=WholeResponse(lambda *reply: replies.append(reply)),
        )
        return self.root.wait_for(lambda: replies)[0]

    def fault(self, **fields):
        self.standin.faults.start(parse_fault(fields), now=self.standin.clock())


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.standin.server.stop_listening()


def test_table_over_sockets(fleet):
    """Guards against a client that does not meet the TableStore Protocol."""
    first = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert fleet.call(fleet.table.get, key=KEY) == Missing()
    assert fleet.call(fleet.table.transact, **first) == Committed()
    assert fleet.call(fleet.table.transact, **first) == Committed()
    stale = {"checks": [Check(KEY, 2)], "puts": [Put(Key("a", "b"), 0, b"")]}
    reply = fleet.call(fleet.table.transact, **stale, token="t2")
    assert reply == ConditionFailed()
    assert fleet.call(fleet.table.get, key=KEY) == Found(row=Row(KEY, 1, b"one"))


def test_query_joins_short_pages(fleet):
    """Guards against a short page taken for the end of the rows."""
    fleet.standin.table.page_limit = 100
    keys = [Key("log", f"{number:02}") for number in range(9)]
    puts = [Put(key, 0, b"x" * 50) for key in keys]
    assert fleet.call(fleet.table.transact, puts=puts, token="t") == Committed()
    reply = fleet.call(fleet.table.query, partition="log", after="01", limit=6)
    assert isinstance(reply, Rows)
    assert [row.key for row in reply.rows] == keys[2:8]


def test_objects_over_sockets(fleet):
    """Guards against a client that does not meet the ObjectStore Protocol."""
    objects, name = fleet.objects, "snapshots/a b%2Fc"
    assert fleet.call(objects.get, name=name) == Missing()
    assert fleet.call(objects.put, name=name, data=b"\0" * 70_000) == Committed()
    reply = fleet.call(objects.put, name=name, data=b"", if_absent=True)
    assert reply == ConditionFailed()
    assert fleet.call(objects.get, name=name).row.value == b"\0" * 70_000


@pytest.mark.parametrize("answer", ["close", "silent"])
def test_lost_answer_is_unknown_and_was_written(fleet, answer):
    """Guards against "no effect" for a write that took effect."""
    fleet.fault(kind="lose_answers", seconds=60, answer=answer)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(fleet.call(fleet.table.transact, **write), Unknown)
    reply = fleet.call(fleet.objects.put, name="a", data=b"b")
    assert isinstance(reply, Unknown)
    assert isinstance(fleet.call(fleet.table.get, key=KEY), Unavailable)
    fleet.standin.faults.clear()
    assert fleet.call(fleet.table.get, key=KEY).row.value == b"one"
    assert fleet.call(fleet.table.transact, **write) == Committed()
    assert fleet.call(fleet.objects.get, name="a").row.value == b"b"


@pytest.mark.parametrize("answer", ["refuse", "close", "silent"])
def test_outage_has_no_effect(fleet, answer):
    """Guards against an outage that writes or is taken for one that did."""
    fleet.fault(kind="outage", seconds=60, answer=answer)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    expected = Unavailable if answer == "refuse" else Unknown
    assert isinstance(fleet.call(fleet.table.transact, **write), expected)
    assert isinstance(fleet.call(fleet.table.get, key=KEY), Unavailable)
    fleet.standin.faults.clear()
    assert fleet.call(fleet.table.get, key=KEY) == Missing()


def test_slow_write_takes_effect_after_its_timeout(fleet):
    """Guards against Unknown taken for "no effect so far, none later"."""
    fleet.fault(kind="slow", seconds=60, delay=0.8, parts=["table"])
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(fleet.call(fleet.table.transact, **write), Unknown)
    fleet.standin.faults.clear()
    fleet.root.wait_for(lambda: fleet.standin.table.items)
    assert fleet.call(fleet.table.get, key=KEY).row.value == b"one"


def test_unreachable_store_is_unavailable(fleet):
    """Guards against Unknown for a write of which no byte was sent."""
    fleet.table.address = ("127.0.0.1", 1)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(fleet.call(fleet.table.transact, **write), Unavailable)


def test_rate_limit_refuses(fleet):
    """Guards against a stand-in that hides use above the given limits."""
    fleet.standin.clock = lambda: 0.0
    for _request in range(2_000):
        assert fleet.standin.limits["read"].take(1, now=0.0)
    assert isinstance(fleet.call(fleet.table.get, key=KEY), Unavailable)
    fleet.standin.clock = lambda: 0.1
    assert fleet.call(fleet.table.get, key=KEY) == Missing()


def test_instance_list_lags():
    """Guards against a list that shows changes before its delay."""
    now = [100.0]
    fleet = Fleet(list_delay=5.0, clock=lambda: now[0])
    entry = {"address": "127.0.0.1:7000", "data_centre": "brum", "state": "live"}
    assert fleet.send("PUT", "/instances/i1", entry)[0] == 204
    now[0] += 4.0
    assert fleet.send("PUT", "/instances/i1", entry | {"state": "leaving"})[0] == 204
    now[0] += 1.0
    listed = json.loads(fleet.send("GET", "/instances")[2])["instances"]
    assert listed == [entry | {"id": "i1"}]
    assert fleet.send("DELETE", "/instances/i1")[0] == 204
    assert fleet.send("DELETE", "/instances/i1")[0] == 404
    assert fleet.send("PUT", "/instances/i2", {"state": "live"})[0] == 400
    now[0] += 5.0
    assert json.loads(fleet.send("GET", "/instances")[2]) == {"instances": []}


def test_faults_are_started_by_request(fleet):
    """Guards against a control path that takes malformed faults."""
    outage = {"kind": "outage", "seconds": 60, "seed": 3}
    for wrong in ([], {"kind": "x", "seconds": 1}, outage | {"share": 2}, {}, None):
        assert fleet.send("POST", "/faults", wrong)[0] == 400
    assert fleet.send("POST", "/faults", outage)[0] == 200
    assert fleet.send("GET", "/instances")[0] == 503
    assert fleet.send("DELETE", "/faults")[0] == 200
    assert fleet.send("GET", "/instances")[0] == 200


faults = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["outage", "lose_answers"]),
        "answer": st.sampled_from(["refuse", "close"]),
        "share": st.sampled_from([0.0, 0.5, 1.0]),
        "seed": st.integers(0, 9),
    }
).map(lambda f: f if f["kind"] == "outage" else f | {"answer": "close"})
EFFECTS = {  # rise of the row's version that each reply allows
    Committed: {1},
    ConditionFailed: {0},
    Unavailable: {0},
    Unknown: {0, 1},
}


@settings(max_examples=60)
@given(
    steps=st.lists(
        st.tuples(faults, st.sampled_from("ab"), st.sampled_from([0, 0, 0, 1])),
        max_size=8,
    )
)
def test_replies_match_the_effect(steps):
    """Guards against a reply that says more than is known of the effect."""
    fleet = Fleet(reads=0, writes=0)
    items = fleet.standin.table.items

    def version(key):
        return int(items[key]["version"]["N"]) if key in items else 0

    for number, (fault, sort, off) in enumerate(steps):
        key = Key("p", sort)
        before = version(key)
        write = {"puts": [Put(key, before + off, b"x")], "token": f"t{number}"}
        fleet.fault(seconds=60, **fault)
        reply = fleet.call(fleet.table.transact, **write)
        rise = version(key) - before
        assert rise in EFFECTS[type(reply)]
        fleet.standin.faults.clear()
        if isinstance(reply, Unknown):
            # The repeat tells the outcome, and has no second effect.
            expected = ConditionFailed() if off else Committed()
            assert fleet.call(fleet.table.transact, **write) == expected
            assert version(key) == before + (not off)
    fleet.standin.server.stop_listening()
