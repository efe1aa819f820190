"""Tests of rows and answers that another writer left unreadable."""

import random

import msgspec
import pytest
from hypothesis import given, strategies as st

from wagtailfront.authority.lease import Lease
from wagtailfront.authority.lease_manager import LeaseManager
from wagtailfront.decoding import decode_address
from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.forwarding.registry_follower import RegistryFollower
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.store_watcher import StoreWatcher
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    VirtualTimers,
    make_confirmations,
    make_record,
)
from wagtailfront.membership.messages import (
    EndpointPending,
    PlacementDigest,
    decode_message,
    encode_message,
)
from wagtailfront.platform.engine_client import EngineClient
from wagtailfront.platform.headers import PlatformDialect
from wagtailfront.platform.rows import (
    MAX_SLOTS,
    read_registry,
    read_routing,
    read_rows,
)
from wagtailfront.platform.store_client import (
    REGISTRY_TABLE,
    StoreClient,
    StoreRegistry,
)
from wagtailfront.platform.store_membership import (
    INSTANCE_TABLE,
    StoreMembership,
)
from wagtailfront.platform.store_table import StoreTable
from wagtailfront.platform.tests.builders import (
    make_config,
    make_registration,
    make_row,
)
from wagtailfront.platform.tests.store_pool import StorePool
from wagtailfront.platform.tests.test_engine_client import EnginePool
from wagtailfront.stores.interfaces import Key, Unavailable

DEPTH = 100_000  # nested lists, far above the limit of recursion
LEASES = "leases"


def nest(depth=DEPTH):
    """Return nested lists as JSON."""
    return b"[" * depth + b"]" * depth


def with_nested_field(value):
    """Return an object as JSON, with a further field of nested lists."""
    return msgspec.json.encode(value)[:-1] + b',"odd":' + nest() + b"}"


NUMBERS = st.integers(-(2**70), 2**70) | st.sampled_from([10**400, -(10**400)])
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)
ODD_REGISTRATIONS = st.one_of(
    st.binary(max_size=40),
    JSON.map(msgspec.json.encode),
    st.integers(1, 3000).map(nest),
    st.dictionaries(st.sampled_from(sorted(make_registration())), JSON, min_size=1).map(
        lambda changes: msgspec.json.encode(make_registration(**changes))
    ),
    st.sampled_from(
        [
            with_nested_field(make_registration()),
            b'{"service":"s","address":"10.0.0.8:80","state":"ready","slots":1e400}',
            b'{"service":"\\ud800","address":"10.0.0.8:80","state":"ready"}',
        ]
    ),
)


class Fleet:
    """A registry that an instance follows, in virtual time."""

    def __init__(self):
        self.pool = StorePool()
        self.timers = VirtualTimers()
        self.log = LogLines()
        self.directory = EndpointDirectory()
        follower = RegistryFollower(
            directory=self.directory,
            contact=StoreContact(),
            on_change=lambda change: None,
            log=self.log,
            timers=self.timers,
            clock=self.timers.clock,
        )
        client = StoreClient(pool=self.pool, host="10.0.0.1", port=80)
        self.watcher = StoreWatcher(
            table="registry",
            source=StoreRegistry(client=client, log=self.log),
            on_read=follower.apply_read,
            versions=StoreVersions(tables=("registry",)),
            pace=FleetPace(count_peers=lambda: 0, rng=random.Random(1)),
            timers=self.timers,
            log=self.log,
            confirmations=make_confirmations("registry"),
            bound=2.0,
            min_gap=0.05,
        )

    def write(self, key, value):
        """Write a registration, as bytes or a value for JSON."""
        self.pool.write(REGISTRY_TABLE, key, make_row(key, value).value)

    def follow(self):
        """Let the instance follow what was written."""
        if self.watcher.call_number == 0:
            self.watcher._on_started(None)
        self.timers.advance(0.3)

    def sound(self):
        """Return the ids of the endpoints whose entries are sound."""
        return sorted(key for key in self.directory.records if key != "odd")


@given(odd=ODD_REGISTRATIONS)
def test_an_instance_follows_the_registry_beside_any_odd_entry(odd):
    """Guards against one entry that ends the following of all others."""
    fleet = Fleet()
    fleet.write("i-1", make_registration())
    fleet.write("odd", odd)
    fleet.follow()
    assert fleet.sound() == ["i-1"]
    fleet.write("i-2", make_registration(address="10.0.0.7:80"))
    fleet.write("odd", odd)
    fleet.follow()
    assert fleet.sound() == ["i-1", "i-2"]


@given(odd=ODD_REGISTRATIONS)
def test_sound_registrations_are_read_as_without_an_odd_one(odd):
    """Guards against an entry that changes how others are read."""
    rows = [make_row("i-1", make_registration()), make_row("i-2", make_registration())]
    records = read_registry([rows[0], make_row("odd", odd), rows[1]])
    assert [r for r in records if r.endpoint_id != "odd"] == read_registry(rows)


def test_a_deeply_nested_configuration_is_an_error():
    """Guards against an exception that ends the process."""
    with pytest.raises(ValueError, match="unreadable configuration"):
        read_routing([make_row("config", with_nested_field(make_config()))])


def test_a_deeply_nested_answer_of_the_store_is_a_failed_read():
    """Guards against a read that is never answered, so that none follows."""
    pool, reads = StorePool(), []
    pool.respond = lambda sink, *rest: EnginePool(
        200, with_nested_field({"rows": [], "ver": 3})
    ).request(sink=sink)
    client = StoreClient(pool=pool, host="10.0.0.1", port=80)
    StoreRegistry(client=client, log=LogLines()).read(reads.append)
    assert [read.is_known for read in reads] == [False]


def test_a_deeply_nested_lease_is_unavailable():
    """Guards against a lease row that ends the process."""
    pool, replies = StorePool(), []
    value = b"\x93\x01\xc4\x01a" + b"\x91" * DEPTH + b"\x01"
    pool.write(LEASES, "stages", make_row("stages", value).value)
    client = StoreClient(pool=pool, host="10.0.0.1", port=80)
    StoreTable(client=client).get(key=Key("lease", "stages"), reply=replies.append)
    assert [type(reply) for reply in replies] == [Unavailable]


def test_a_deeply_nested_handle_is_an_error():
    """Guards against a prefill's response that breaks the connection pool."""
    with pytest.raises(ValueError, match="unreadable handle"):
        PlatformDialect().read_handle("h", with_nested_field({"handle": "a"}))


def test_a_deeply_nested_list_of_cached_parts_is_a_failure():
    """Guards against an inquiry that is never answered."""
    replies = []
    pool = EnginePool(200, with_nested_field({"held": []}))
    EngineClient(pool=pool, instance="a").read_cached_parts(
        make_record("i-1"), lambda *reply: replies.append(reply)
    )
    assert [parts for parts, _reason in replies] == [None]


ODD_ADDRESSES = (
    "",
    ":80",
    "10.0.0.8",
    "10.0.0.8:0",
    "10.0.0.8:65536",
    "10.0.0.8:080",
    "10.0.0.8:8²",
    "10.0.0.8:٣",
    "10.0.0.8:" + "1" * 5000,
    "10.0.0:80",
    "10.0.0.256:80",
    "0.0.0.0:80",
    "engine.example:80",
    "::1:80",
    "a\0b:80",
    "x" * 3000 + ":80",
)


def read_instances(membership):
    """Return the addresses of the instances in one read of their table."""
    reads = []
    membership.read(reads.append)
    return [row.address for row in reads[0]]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_instance_row_with_an_odd_address_is_skipped(address):
    """Guards against a connection to an address that cannot be parsed."""
    pool = StorePool()
    membership = StoreMembership(
        client=StoreClient(pool=pool, host="10.0.0.1", port=80), log=LogLines()
    )
    pool.write(INSTANCE_TABLE, "a", make_row("a", b"10.0.0.2:7").value)
    pool.write(INSTANCE_TABLE, "odd", make_row("odd", address.encode()).value)
    assert read_instances(membership) == ["10.0.0.2:7"]


@given(value=st.text(max_size=20) | st.sampled_from(["=", "A", "A===", "AAAA="]))
def test_instances_are_found_beside_a_row_of_any_text(value):
    """Guards against a row that is not base64 and hides all instances."""
    pool, log = StorePool(), LogLines()
    membership = StoreMembership(
        client=StoreClient(pool=pool, host="10.0.0.1", port=80), log=log
    )
    pool.write(INSTANCE_TABLE, "a", make_row("a", b"10.0.0.2:7").value)
    pool.write(INSTANCE_TABLE, "odd", value)
    assert [read_instances(membership) for _ in range(3)] == [["10.0.0.2:7"]] * 3
    assert [(kind, key) for kind, key, _ in log] == [("instance_skipped", "odd")]


ODD_KEYS = ("", " ", "a b", "a\r\nX-Stage: prefill", "a\0", "é", "i\u2028", "\x7f")


@pytest.mark.parametrize(
    "changes",
    [
        *({"address": address} for address in ODD_ADDRESSES),
        *({"slots": slots} for slots in (0, -1, 2**63, 10**400, 1.5, True, None)),
        *({"born": born} for born in (-1, 2**63, 10**400, 1.5, "5")),
        *({field: 7} for field in ("service", "zone", "state", "stage")),
        {"stage": "other"},
        {"state": "stopped"},
        {"sequence": "4"},
        {"sequence": 10**400},
        {"cold-remaining-ms": []},
    ],
)
def test_a_registration_with_an_odd_field_names_no_endpoint(changes):
    """Guards against requests, orders and reports that name no engine."""
    skipped = {}
    row = make_row("odd", make_registration(**changes))
    assert read_registry([row], skipped=skipped) == []
    assert list(skipped) == ["odd"]


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_a_registration_without_a_field_names_no_endpoint(field):
    """Guards against values that another writer did not state."""
    value = make_registration()
    del value[field]
    assert read_registry([make_row("odd", value)]) == []


@pytest.mark.parametrize("key", ODD_KEYS)
def test_a_registration_under_an_odd_key_names_no_endpoint(key):
    """Guards against headers that are written into the id's header."""
    rows = [make_row(key, make_registration()), make_row("i-1", make_registration())]
    assert [record.endpoint_id for record in read_registry(rows)] == ["i-1"]


@given(key=st.text(max_size=8) | st.sampled_from(ODD_KEYS), odd=ODD_REGISTRATIONS)
def test_every_endpoint_that_is_read_can_be_connected_to(key, odd):
    """Guards against an address or a header that fails in a request."""
    for record in read_registry([make_row(key, odd)]):
        assert decode_address(record.address) == (record.host, record.port)
        assert record.endpoint_id.isascii() and record.endpoint_id.isprintable()
        assert 1 <= record.slots <= MAX_SLOTS


@pytest.mark.parametrize("changes", [{"slots": 0}, {"address": "1" * 9000}])
def test_an_odd_entry_is_logged_once_for_each_reason(changes):
    """Guards against a line, or a long one, with each read."""
    fleet = Fleet()
    fleet.write("odd", {})
    for number in range(4):
        fleet.write("i-1", make_registration(slots=1 + number))
        fleet.follow()
    fleet.write("odd", make_registration(**changes))
    fleet.follow()
    lines = [
        fields for kind, _key, fields in fleet.log if kind == "registration_skipped"
    ]
    assert len(lines) == 2
    assert all(len(fields["reason"]) < 200 for fields in lines)


def test_loads_of_an_endpoint_with_a_long_id_reach_the_peers():
    """Guards against an id that makes peers drop all loads of a digest."""
    (record,) = read_registry([make_row("i" * 200, make_registration(born=2**53))])
    load = EndpointPending(endpoint=record.incarnation, outstanding=1, pending=())
    digest = PlacementDigest(incarnation="a", loads=(load,), prompts=())
    assert decode_message(encode_message(digest)) == digest


@pytest.mark.parametrize("number", ["-1", str(2**53 + 1), str(10**30)])
@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Token-Count", "%s,8"),
        (b"X-Token-Count", "8,%s"),
        (b"X-Prompt-Prefix", "a:%s"),
    ],
)
def test_a_number_of_tokens_that_no_message_holds_is_an_error(name, value, number):
    """Guards against a request whose load cannot be sent to the peers."""
    with pytest.raises(ValueError, match="tokens"):
        PlatformDialect().read_request([(name, (value % number).encode())])


@pytest.mark.parametrize("value", [b"nan", b"inf", b"1e400", b"-inf"])
def test_a_time_limit_that_is_no_number_is_an_error(value):
    """Guards against timers that are never due or in no order."""
    with pytest.raises(ValueError, match="time limit"):
        PlatformDialect().read_request([(b"X-Deadline-Ms", value)])


@pytest.mark.parametrize(
    "parts",
    [
        [PromptPart(f"p{number}", 8) for number in range(40)],
        [PromptPart("p" * 300, 8), PromptPart("q", 8)],
    ],
)
def test_a_prompt_of_many_or_long_parts_does_not_hide_loads(parts):
    """Guards against a prompt that makes peers drop the whole digest."""
    load = FleetLoad(incarnation="a", address="10.0.0.1:1", health=EndpointHealth())
    load.record_placement("e1/1", parts)
    load.record_placement("e1/1", [PromptPart("r", 8), PromptPart("s", 8)])
    digest = load.make_digest(full=True)
    assert decode_message(encode_message(digest)) == digest
    assert digest.prompts[-1].parts == (("r", 8),)


BIG = 2**64 - 1
ODD_LEASES = st.one_of(
    st.binary(max_size=30),
    JSON.map(msgspec.json.encode),
    st.sampled_from(
        [
            b"\x91" * DEPTH + b"\x01",
            msgspec.msgpack.encode(Lease("b", BIG, 1)),
            msgspec.msgpack.encode(Lease("b", 1, -1)),
        ]
    ),
)


@given(
    value=ODD_LEASES,
    version=st.integers(-(2**63), BIG) | st.sampled_from([1, BIG]),
)
def test_an_odd_lease_row_is_neither_taken_nor_the_end_of_others(value, version):
    """Guards against a lease row that ends the process of each candidate."""
    pool = StorePool()
    client = StoreClient(pool=pool, host="10.0.0.1", port=80)
    now = 0.0
    managers = {
        name: LeaseManager(
            group=name, instance="a", store=StoreTable(client=client), clock=lambda: now
        )
        for name in ("odd", "stages")
    }
    row = msgspec.msgpack.encode([version, value])
    pool.write(LEASES, "odd", make_row("odd", row).value)
    for manager in managers.values():
        manager.want(True)
    for _ in range(60):
        now += 0.5
        for manager in managers.values():
            manager.wake_if_due(now)
    assert managers["stages"].grant() is not None
    assert managers["odd"].grant() is None


ODD_ROWS = JSON | st.fixed_dictionaries(
    {}, optional={name: JSON for name in ("key", "value", "ver", "removed")}
)


def answer_with(*rows):
    """Return an answer of the store with these rows, as JSON."""
    return b'{"rows":[' + b",".join(rows) + b'],"ver":9}'


@given(
    odd=ODD_ROWS.map(msgspec.json.encode) | st.sampled_from([b"1e400", b'"\\ud800"'])
)
def test_rows_are_read_beside_one_of_another_form(odd):
    """Guards against one row that hides all others of an answer."""
    sound = [msgspec.json.encode(make_row(key, {}, ver=3)) for key in ("a", "b")]
    rows = read_rows(answer_with(sound[0], odd, sound[1]))
    assert [rows.rows[0], rows.rows[-1]] == [make_row(key, {}, ver=3) for key in "ab"]
    assert rows.ver == 9
    assert len(rows.rows) <= 3
    assert all(0 <= row.ver <= 2**53 for row in rows.rows)


@pytest.mark.parametrize(
    "field", ['"value":3', '"ver":1e400', '"ver":-1', '"removed":[]']
)
def test_a_row_with_an_odd_field_has_no_value_and_is_new(field):
    """Guards the change to a row that can be named but not read."""
    odd = b'{"key":"odd","value":"e30=",%s}' % field.encode()
    odd = odd.replace(b'"value":"e30=","value"', b'"value"')
    (row,) = read_rows(answer_with(odd)).rows
    assert (row.key, row.value, row.removed, row.ver) == ("odd", "", False, 9)


@pytest.mark.parametrize("handle", ["", "a\r\nX-Stage: prefill", "a b", "é", "a" * 300])
def test_an_odd_handle_is_an_error(handle):
    """Guards against headers that are written into a handle's header."""
    with pytest.raises(ValueError, match="unreadable handle"):
        PlatformDialect().read_handle("h", msgspec.json.encode({"handle": handle}))


@pytest.mark.parametrize("era", ["٣", "1" * 5000, str(10**30), "-1"])
def test_an_odd_era_is_ignored(era):
    """Guards against an era that no message to the peers holds."""
    client, replies = StoreClient(pool=None, host="10.0.0.1", port=80), []
    client.pool = EnginePool(200, headers=[("Store-Era", era)])
    client.get("/", lambda *reply: replies.append(reply))
    assert (client.era, len(replies)) == (0, 1)


@pytest.mark.parametrize("tokens", [-1, 10**30])
def test_an_odd_number_of_cached_tokens_is_a_failure(tokens):
    """Guards against costs of prompts that are no sound numbers."""
    replies = []
    body = msgspec.json.encode({"held": [["", "p", 5, "m"], ["", "q", tokens, "m"]]})
    EngineClient(pool=EnginePool(200, body), instance="a").read_cached_parts(
        make_record("i-1"), lambda *reply: replies.append(reply)
    )
    assert [parts for parts, _reason in replies] == [None]
