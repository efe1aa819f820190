"""Tests of the store clients over sockets with the platform's stand-in."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.standins.fault_plan import parse_fault
from wagtailfront.standins.platform import StandinPlatform
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


class StoreHarness:
    """Stand-in and clients in one event loop that the test runs."""

    def __init__(self, **options):
        self.root = EventLoop()
        self.standin = StandinPlatform(bind=("127.0.0.1", 0), **options)
        self.standin.register(self.root)
        address = ("127.0.0.1", self.standin.port)
        timeouts = {"read_timeout": 0.3, "write_timeout": 0.3}
        self.table = TableClient(address=address, **timeouts).register(self.root)
        self.objects = ObjectClient(address=address, **timeouts).register(self.root)
        self.pool = HttpPool(channel="test_pool").register(self.root)

    def call(self, function, **arguments):
        """Call a client's method and return its reply."""
        replies = []
        function(**arguments, reply=replies.append)
        return self.root.wait_for(lambda: replies)[0]

    def send(self, method, path, value=None):
        """Send a request to the stand-in; return status, headers and body."""
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
def harness():
    harness = StoreHarness()
    yield harness
    harness.standin.server.stop_listening()


def test_table_over_sockets(harness):
    """Guards against a client that does not meet the TableStore Protocol."""
    first = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert harness.call(harness.table.get, key=KEY) == Missing()
    assert harness.call(harness.table.transact, **first) == Committed()
    assert harness.call(harness.table.transact, **first) == Committed()
    stale = {"checks": [Check(KEY, 2)], "puts": [Put(Key("a", "b"), 0, b"")]}
    reply = harness.call(harness.table.transact, **stale, token="t2")
    assert reply == ConditionFailed()
    assert harness.call(harness.table.get, key=KEY) == Found(row=Row(KEY, 1, b"one"))


def test_query_joins_short_pages(harness):
    """Guards against a short page that is taken as the last one."""
    harness.standin.table.page_limit = 100
    keys = [Key("log", f"{number:02}") for number in range(9)]
    puts = [Put(key, 0, b"x" * 50) for key in keys]
    assert harness.call(harness.table.transact, puts=puts, token="t") == Committed()
    reply = harness.call(harness.table.query, partition="log", after="01", limit=6)
    assert isinstance(reply, Rows)
    assert [row.key for row in reply.rows] == keys[2:8]


def test_objects_over_sockets(harness):
    """Guards against a client that does not meet the ObjectStore Protocol."""
    objects, name = harness.objects, "snapshots/a b%2Fc"
    assert harness.call(objects.get, name=name) == Missing()
    assert harness.call(objects.put, name=name, data=b"\0" * 70_000) == Committed()
    reply = harness.call(objects.put, name=name, data=b"", if_absent=True)
    assert reply == ConditionFailed()
    assert harness.call(objects.get, name=name).row.value == b"\0" * 70_000


@pytest.mark.parametrize("answer", ["close", "silent"])
def test_lost_answer_is_unknown_and_was_written(harness, answer):
    """Guards against reporting a write that took effect as without effect."""
    harness.fault(kind="lose_answers", seconds=60, answer=answer)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(harness.call(harness.table.transact, **write), Unknown)
    reply = harness.call(harness.objects.put, name="a", data=b"b")
    assert isinstance(reply, Unknown)
    assert isinstance(harness.call(harness.table.get, key=KEY), Unavailable)
    harness.standin.faults.clear()
    assert harness.call(harness.table.get, key=KEY).row.value == b"one"
    assert harness.call(harness.table.transact, **write) == Committed()
    assert harness.call(harness.objects.get, name="a").row.value == b"b"


@pytest.mark.parametrize("answer", ["refuse", "close", "silent"])
def test_outage_has_no_effect(harness, answer):
    """Guards against an outage that writes, or is reported as Committed."""
    harness.fault(kind="outage", seconds=60, answer=answer)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    expected = Unavailable if answer == "refuse" else Unknown
    assert isinstance(harness.call(harness.table.transact, **write), expected)
    assert isinstance(harness.call(harness.table.get, key=KEY), Unavailable)
    harness.standin.faults.clear()
    assert harness.call(harness.table.get, key=KEY) == Missing()


def test_slow_write_takes_effect_after_its_timeout(harness):
    """Guards against taking an Unknown write as without effect.

    A slow store applies the write after the client's timeout.
    """
    harness.fault(kind="slow", seconds=60, delay=0.8, parts=["table"])
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(harness.call(harness.table.transact, **write), Unknown)
    harness.standin.faults.clear()
    harness.root.wait_for(lambda: harness.standin.table.items)
    assert harness.call(harness.table.get, key=KEY).row.value == b"one"


def test_unreachable_store_is_unavailable(harness):
    """Guards against Unknown for a write that was not sent."""
    harness.table.address = ("127.0.0.1", 1)
    write = {"puts": [Put(KEY, 0, b"one")], "token": "t1"}
    assert isinstance(harness.call(harness.table.transact, **write), Unavailable)


def test_requests_above_the_rate_limit_are_rejected(harness):
    """Guards against a stand-in that does not enforce its rate limits."""
    harness.standin.clock = lambda: 0.0
    for _request in range(2_000):
        assert harness.standin.limits["read"].take(1, now=0.0)
    assert isinstance(harness.call(harness.table.get, key=KEY), Unavailable)
    harness.standin.clock = lambda: 0.1
    assert harness.call(harness.table.get, key=KEY) == Missing()


def test_instance_list_is_delayed():
    """Guards against a list that shows changes before its delay has passed."""
    now = [100.0]
    harness = StoreHarness(list_delay=5.0, clock=lambda: now[0])
    entry = {"address": "127.0.0.1:7000", "data_centre": "brum", "state": "live"}
    assert harness.send("PUT", "/instances/i1", entry)[0] == 204
    now[0] += 4.0
    assert harness.send("PUT", "/instances/i1", entry | {"state": "leaving"})[0] == 204
    now[0] += 1.0
    listed = json.loads(harness.send("GET", "/instances")[2])["instances"]
    assert listed == [entry | {"id": "i1"}]
    assert harness.send("DELETE", "/instances/i1")[0] == 204
    assert harness.send("DELETE", "/instances/i1")[0] == 404
    assert harness.send("PUT", "/instances/i2", {"state": "live"})[0] == 400
    now[0] += 5.0
    assert json.loads(harness.send("GET", "/instances")[2]) == {"instances": []}


def test_faults_are_started_by_request(harness):
    """Guards against a control path that accepts malformed faults."""
    outage = {"kind": "outage", "seconds": 60, "seed": 3}
    for wrong in ([], {"kind": "x", "seconds": 1}, outage | {"share": 2}, {}, None):
        assert harness.send("POST", "/faults", wrong)[0] == 400
    assert harness.send("POST", "/faults", outage)[0] == 200
    assert harness.send("GET", "/instances")[0] == 503
    assert harness.send("DELETE", "/faults")[0] == 200
    assert harness.send("GET", "/instances")[0] == 200


faults = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["outage", "lose_answers"]),
        "answer": st.sampled_from(["refuse", "close"]),
        "share": st.sampled_from([0.0, 0.5, 1.0]),
        "seed": st.integers(0, 9),
    }
).map(lambda f: f if f["kind"] == "outage" else f | {"answer": "close"})
EFFECTS = {  # possible increases of the row's version after each reply
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
    """Guards against a reply that contradicts the effect of the write."""
    harness = StoreHarness(reads=0, writes=0)
    items = harness.standin.table.items

    def version(key):
        return int(items[key]["version"]["N"]) if key in items else 0

    for number, (fault, sort, offset) in enumerate(steps):
        key = Key("p", sort)
        before = version(key)
        write = {"puts": [Put(key, before + offset, b"x")], "token": f"t{number}"}
        harness.fault(seconds=60, **fault)
        reply = harness.call(harness.table.transact, **write)
        increase = version(key) - before
        assert increase in EFFECTS[type(reply)]
        harness.standin.faults.clear()
        if isinstance(reply, Unknown):
            # A repeat returns the outcome and has no second effect.
            expected = ConditionFailed() if offset else Committed()
            assert harness.call(harness.table.transact, **write) == expected
            assert version(key) == before + (not offset)
    harness.standin.server.stop_listening()
