"""Tests of the stand-in table against a model of its contract."""

import json

from hypothesis import example, given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailfront.standins.http_message import HttpRequest
from wagtailfront.standins.table_service import TOKEN_LIFETIME, TableService
from wagtailfront.stores import table_codec
from wagtailfront.stores.interfaces import (
    Check,
    Committed,
    ConditionFailed,
    Found,
    Key,
    Missing,
    Put,
    Row,
    Unknown,
)

KEYS = [Key(partition, sort) for partition in ("a", "b") for sort in ("x", "y", "é")]
versions = st.integers(0, 3)
actions = st.dictionaries(
    st.sampled_from(KEYS),
    st.tuples(versions, st.none() | st.binary(max_size=3)),
    min_size=1,
    max_size=4,
)


class TableMachine(RuleBasedStateMachine):
    """Transactions with conditions and tokens, under an advancing clock."""

    def __init__(self):
        super().__init__()
        self.service = TableService(table="t")
        self.now = 0.0
        self.rows = {}
        self.committed = {}

    def send(self, encoded):
        headers = {name.lower(): value for name, value in encoded[0]}
        request = HttpRequest("POST", "/", headers, encoded[1])
        reply = self.service.handle(request, now=self.now)
        return reply.status, reply.body

    def expect(self, content, token):
        """Return the reply that the contract requires; update the model."""
        time, earlier = self.committed.get(token, (float("-inf"), None))
        if self.now - time <= TOKEN_LIFETIME:
            return Committed() if earlier == content else Unknown
        present = {key: row[0] for key, row in self.rows.items()}
        if any(present.get(key, 0) != expected for key, (expected, _) in content):
            return ConditionFailed()
        for key, (expected, value) in content:
            if value is not None:
                self.rows[key] = (expected + 1, value)
        self.committed[token] = (self.now, content)
        return Committed()

    @rule(actions=actions, token=st.sampled_from("1234"), is_satisfied=st.booleans())
    def transact(self, actions, token, is_satisfied):
        """Send a transaction, with conditions that hold if `is_satisfied`."""
        if is_satisfied:
            actions = {
                key: (self.rows.get(key, (0,))[0], value)
                for key, (_expected, value) in actions.items()
            }
        self.perform(tuple(actions.items()), token)

    @rule(token=st.sampled_from("1234"))
    def repeat(self, token):
        """Resend a transaction, as a client does after a lost reply."""
        if token in self.committed:
            self.perform(self.committed[token][1], token)

    def perform(self, content, token):
        encoded = table_codec.encode_transact(
            table="t",
            checks=[
                Check(key, version)
                for key, (version, value) in content
                if value is None
            ],
            puts=[
                Put(key, version, value)
                for key, (version, value) in content
                if value is not None
            ],
            token=token,
        )
        # The encoding lists checks first; a replay must match that order.
        content = tuple(sorted(content, key=lambda item: item[1][1] is not None))
        reply = table_codec.decode_transact(*self.send(encoded))
        expected = self.expect(content, token)
        assert reply == expected or type(reply) is expected

    @rule(seconds=st.sampled_from([1.0, TOKEN_LIFETIME, TOKEN_LIFETIME + 1]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def rows_match(self):
        """Guards against partial, repeated or unconditional writes."""
        for key in KEYS:
            encoded = table_codec.encode_get(table="t", key=key)
            reply = table_codec.decode_get(*self.send(encoded))
            row = self.rows.get(key)
            assert reply == (Found(row=Row(key, *row)) if row else Missing())


TestTable = TableMachine.TestCase
TestTable.settings = settings(max_examples=60, stateful_step_count=25)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["pk", "sk", "S", "N", "B", "version", "Put", "Item"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(
    operation=st.sampled_from(["GetItem", "Query", "TransactWriteItems", "Other", ""]),
    members=st.dictionaries(
        st.sampled_from(
            ["Key", "TransactItems", "ExpressionAttributeValues", "Limit"]
            + ["KeyConditionExpression", "ClientRequestToken"]
        ),
        json_values | st.just("pk = :p") | st.lists(json_values, max_size=2),
    ),
    cut=st.integers(0, 40),
)
# A condition that is not a string once raised TypeError.
@example(operation="Query", members={"KeyConditionExpression": []}, cut=0)
def test_malformed_requests_get_an_error(operation, members, cut):
    """Guards against an exception on a request that breaks the protocol."""
    body = json.dumps({"TableName": "t", **members}).encode()
    body = body[: len(body) - cut]
    headers = {"x-amz-target": f"DynamoDB_20120810.{operation}"}
    request = HttpRequest("POST", "/", headers, body)
    service = TableService(table="t")
    reply = service.handle(request, now=0.0)
    assert reply.status in (200, 400)
    assert service.items == {}


def perform(service, encoded, decode, *, now):
    """Send a request to a table; return the decoded reply with its era."""
    headers = {name.lower(): value for name, value in encoded[0]}
    request = HttpRequest("POST", "/", headers, encoded[1])
    reply = service.handle(request, now=now)
    decoded = decode(reply.status, reply.body)
    return table_codec.with_era(decoded, reply.headers)


def test_a_restored_table_has_lost_what_was_written_since():
    """Guards the stand-in for tests of a table that loses commits."""
    service = TableService(table="t")

    def write(key, expected, value, now):
        encoded = table_codec.encode_transact(
            table="t",
            checks=(),
            puts=(Put(key, expected, value),),
            token=f"{key.sort}{now}",
        )
        return perform(service, encoded, table_codec.decode_transact, now=now)

    def read(key):
        encoded = table_codec.encode_get(table="t", key=key)
        return perform(service, encoded, table_codec.decode_get, now=30.0)

    first, second = KEYS[:2]
    assert write(first, 0, b"1", 10.0).era == 1
    write(first, 1, b"2", 20.0)
    write(second, 0, b"3", 21.0)
    service.restore(lost=15.0, now=30.0)
    found = read(first)
    assert (found.row.version, found.row.value, found.era) == (1, b"1", 2)
    assert read(second) == Missing()
    assert write(second, 0, b"4", 31.0).era == 2
    assert read(second).row.value == b"4"
