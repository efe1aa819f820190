"""Tests of the table and object codecs against stand-ins without I/O."""

import json
import string

import pytest
from hypothesis import given, strategies as st

from wagtailfront.standins.http_message import HttpRequest
from wagtailfront.standins.object_service import ObjectService
from wagtailfront.standins.table_service import TableService, error_reply
from wagtailfront.stores import object_codec, table_codec
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

texts = st.text(min_size=1, max_size=20)
keys = st.builds(Key, st.sampled_from("pq") | texts, texts)
names = st.text(string.printable + "äß€", min_size=1, max_size=20).filter(
    lambda name: {"", ".", ".."}.isdisjoint(name.split("/"))
)


def send(service, encoded):
    """Return status and body of the table stand-in's reply."""
    headers, body = encoded
    lowered = {name.lower(): value for name, value in headers}
    reply = service.handle(HttpRequest("POST", "/", lowered, body), now=0.0)
    return reply.status, reply.body


@given(rows=st.dictionaries(keys, st.binary(max_size=200), max_size=8), absent=keys)
def test_rows_survive_the_round_trip(rows, absent):
    """Guards against keys or values changed by escaping, order or base64."""
    service = TableService(table="t", page_limit=400)
    for number, (key, value) in enumerate(rows.items()):
        encoded = table_codec.encode_transact(
            table="t", checks=(), puts=[Put(key, 0, value)], token=f"t{number}"
        )
        assert table_codec.decode_transact(*send(service, encoded)) == Committed()
    for key in (*rows, absent):
        encoded = table_codec.encode_get(table="t", key=key)
        found = table_codec.decode_get(*send(service, encoded))
        expected = Found(row=Row(key, 1, rows[key])) if key in rows else Missing()
        assert found == expected
    for partition in {key.partition for key in rows}:
        listed, after = [], ""
        while after is not None and len(listed) <= len(rows):
            encoded = table_codec.encode_query(
                table="t", partition=partition, after=after, limit=2
            )
            reply, after = table_codec.decode_query(*send(service, encoded))
            assert isinstance(reply, Rows) and len(reply.rows) <= 2
            listed += reply.rows
        expected = sorted(key for key in rows if key.partition == partition)
        assert [row.key for row in listed] == expected


@given(name=names, data=st.binary(max_size=200), other=st.binary(max_size=200))
def test_objects_survive_the_round_trip(name, data, other):
    """Guards against names changed by escaping and against overwriting."""
    service, path = ObjectService(bucket="b"), object_codec.object_path("b", name)

    def put(data, **options):
        headers = {
            key.lower(): value for key, value in object_codec.put_headers(**options)
        }
        reply = service.handle(HttpRequest("PUT", path, headers, data))
        lowered = {key.lower(): value for key, value in reply.headers.items()}
        return object_codec.decode_put(reply.status, lowered, reply.body, data=data)

    def get():
        reply = service.handle(HttpRequest("GET", path))
        lowered = {key.lower(): value for key, value in reply.headers.items()}
        return object_codec.decode_get(reply.status, lowered, reply.body, name=name)

    assert get() == Missing()
    assert put(data, if_absent=True) == Committed()
    assert put(other, if_absent=True) == ConditionFailed()
    assert get() == Found(row=Row(Key("object", name), 1, data))
    assert put(other) == Committed()
    assert get().row.value == other


@pytest.mark.parametrize(
    "kind, status, expected",
    [
        ("ProvisionedThroughputExceededException", 400, Unavailable),
        ("ThrottlingException", 400, Unavailable),
        ("ServiceUnavailable", 503, Unavailable),
        ("TransactionInProgressException", 400, Unknown),
        ("InternalServerError", 500, Unknown),
        ("", 502, Unknown),
    ],
)
def test_only_errors_that_guarantee_no_write_are_unavailable(kind, status, expected):
    """Guards against Unavailable for a write that may have taken effect."""
    reply = error_reply(kind, "m", status=status)
    assert type(table_codec.decode_transact(status, reply.body)) is expected
    assert type(table_codec.decode_get(status, reply.body)) is Unavailable


@given(
    status=st.sampled_from([200, 400, 404, 412, 500, 503]),
    body=st.one_of(
        st.binary(max_size=40),
        st.recursive(
            st.none() | st.integers() | st.text(max_size=3),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["Item", "Items", "pk", "sk", "S", "__type"]),
                    inner,
                    max_size=4,
                )
            ),
        ).map(lambda value: json.dumps(value).encode()),
    ),
)
def test_any_reply_decodes(status, body):
    """Guards against an exception on a malformed reply."""
    table_codec.decode_get(status, body)
    table_codec.decode_query(status, body)
    object_codec.decode_put(status, {}, body, data=b"")
    decoded = table_codec.decode_transact(status, body)
    if isinstance(decoded, Committed):
        assert status == 200 and isinstance(json.loads(body), dict)


@pytest.mark.parametrize(
    "checks, puts, token",
    [
        ((), (), "t"),
        ([Check(Key("p", "s"), 1)], [Put(Key("p", "s"), 1, b"")], "t"),
        ((), [Put(Key("p", "s"), 1, b"")], "t" * 37),
        ((), [Put(Key("p", str(n)), 0, b"") for n in range(101)], "t"),
    ],
)
def test_invalid_transactions_are_not_sent(checks, puts, token):
    """Guards against transactions that the real service would reject."""
    with pytest.raises(ValueError):
        table_codec.encode_transact(table="t", checks=checks, puts=puts, token=token)
