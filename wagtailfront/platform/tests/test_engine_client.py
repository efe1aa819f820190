"""Calls to engines outside of callers' requests."""

from types import SimpleNamespace

import msgspec
import pytest

from wagtailfront.forwarding.tests.builders import make_record
from wagtailfront.platform.engine_client import EngineClient


class EnginePool:
    """Responds to each request with the same status and body."""

    def __init__(self, status, body=b"", headers=()):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.calls = []

    def request(self, *, sink, may_send=None, **call):
        if may_send is not None and not may_send():
            sink.on_failure("not sent", False)
            return
        self.calls.append(call)
        if self.status is None:
            sink.on_failure("timed out", True)
            return
        sink.on_head(self.status, self.headers)
        sink.on_data(self.body)
        sink.on_end()


def order(pool, *, may_send=True):
    """Order an engine to change to the prefill stage; return the replies."""
    replies = []
    EngineClient(pool=pool, instance="a").order_stage(
        make_record("i-1", stage="decode"),
        "prefill",
        SimpleNamespace(fencing=3),
        lambda: may_send,
        lambda *reply: replies.append(reply),
    )
    return replies


@pytest.mark.parametrize(
    ("status", "reply"),
    [
        (202, (True, "")),
        (200, (True, "")),
        (409, (False, "status 409")),
        (412, (False, "status 412")),
        (None, (False, "timed out")),
    ],
)
def test_an_order_names_its_holder_and_the_incarnation(status, reply):
    """Guards against orders of two instances that cannot be distinguished."""
    pool = EnginePool(status)
    assert order(pool) == [reply]
    assert msgspec.json.decode(pool.calls[0]["body"]) == {
        "op": "stage",
        "stage": "prefill",
        "holder": "a",
        "fencing-token": 3,
    }
    assert ("X-Expect-Instance", "i-1") in pool.calls[0]["headers"]


def test_no_order_is_sent_after_the_lease_has_expired():
    """Guards against an order after a pause of the process.

    The lease may expire during the pause, so `may_send` is checked right
    before the request is sent.
    """
    pool = EnginePool(202)
    assert order(pool, may_send=False) == [(False, "not sent")]
    assert pool.calls == []


def test_unreadable_lists_of_cached_parts_have_a_reason():
    """Guards against failures that are reported without a reason."""
    replies = []
    for status, body in ((200, b"{"), (429, b""), (None, b"")):
        EngineClient(pool=EnginePool(status, body), instance="a").read_cached_parts(
            make_record(), lambda *reply: replies.append(reply)
        )
    assert [parts for parts, _reason in replies] == [None, None, None]
    assert all(reason for _parts, reason in replies)


def test_cached_parts_are_read_with_their_tokens():
    """Guards against a wrong meaning of the fields of a list entry."""
    replies = []
    body = msgspec.json.encode({"epoch": 1, "next": 2, "held": [["", "ab", 40, "m"]]})
    EngineClient(pool=EnginePool(200, body), instance="a").read_cached_parts(
        make_record(), lambda *reply: replies.append(reply)
    )
    ((parts, reason),) = replies
    assert [(part.part_id, part.tokens) for part in parts] == [("ab", 40)]
    assert reason == ""


@pytest.mark.parametrize("headers, rate", [({"Server-Limit": "2.5"}, 2.5), ({}, None)])
def test_answers_to_other_calls_tell_the_rate_limit_too(headers, rate):
    """Guards against limits that only callers' requests find."""
    rates = []
    client = EngineClient(
        pool=EnginePool(200, b'{"held":[]}', headers),
        instance="a",
        record_rate=lambda incarnation, rate, **times: rates.append(
            (incarnation, rate)
        ),
    )
    client.read_cached_parts(make_record("i-1"), lambda parts, reason: None)
    assert rates == [("i-1/1", rate)]


@pytest.mark.parametrize("status", [200, 202, 409, 503])
@pytest.mark.parametrize("call", ["order", "read"])
def test_answers_to_other_calls_tell_that_an_engine_leaves(status, call):
    """Guards against notices that only callers' requests find."""
    notices = []
    pool = EnginePool(status, b"{}", {"server-leaving": "1"})
    client = EngineClient(
        pool=pool,
        instance="a",
        record_notice=lambda record, notice, *, status, sent: notices.append(
            (record.incarnation, notice.is_leaving, status)
        ),
    )
    record = make_record("i-1")
    if call == "read":
        client.read_cached_parts(record, lambda parts, reason: None)
    else:
        grant = SimpleNamespace(fencing=3)
        client.order_stage(record, "decode", grant, lambda: True, lambda *reply: None)
    assert notices == [("i-1/1", True, status)]
    # On a used connection it could be a copy of an earlier answer.
    assert [each["fresh"] for each in pool.calls] == [True]
