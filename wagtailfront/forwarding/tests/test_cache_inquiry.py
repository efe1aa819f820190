"""Inquiry of engines' caches when an instance starts."""

import random

import pytest

from wagtailfront.forwarding.cache_inquiry import MAX_INQUIRIES, CacheInquiry
from wagtailfront.forwarding.forwarder import PrefixCachesByService
from wagtailfront.forwarding.interfaces import EndpointNotice
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    Scene,
    make_parts,
    make_record,
    make_service,
)


class FakeClient:
    """Engines with the same parts cached; none respond if `parts` is None."""

    def __init__(self, parts):
        self.parts = parts
        self.asked = []

    def read_cached_parts(self, record, reply):
        self.asked.append(record)
        reply(self.parts, "" if self.parts else "timed out")


def make_inquiry(client):
    """Return an inquiry of the service "s", and its prefix cache estimate."""
    prefix_caches = PrefixCachesByService()
    prefix_caches.add_services({"s": make_service(is_model=True)})
    context = Scene([]).context
    inquiry = CacheInquiry(
        client=client,
        prefix_caches=prefix_caches,
        rate_limits=context.rate_limits,
        notices=context.notices,
        log=LogLines(),
        rng=random.Random(1),
    )
    return inquiry, prefix_caches["s"]


def test_cached_parts_are_known_after_a_restart_of_all_instances():
    """Guards against prefilling parts that engines still have cached."""
    parts = make_parts("a", 13_000, 3000)
    record = make_record(stage="prefill")
    inquiry, prefix_cache = make_inquiry(FakeClient(list(parts)))
    inquiry.ask([record])
    assert (
        prefix_cache.cached_tokens(record.incarnation, make_parts("a", 13_000, 1))
        == 13_000
    )


def test_only_engines_of_the_first_read_are_asked():
    """Guards engines against queries at each change of the fleet."""
    client = FakeClient([])
    inquiry, _prefix_cache = make_inquiry(client)
    inquiry.ask([make_record("plain")])
    inquiry.ask([make_record(f"e{i}", stage="decode") for i in range(50)])
    inquiry.ask([make_record("late", stage="decode")])
    assert len(client.asked) == MAX_INQUIRIES


def test_an_engine_at_its_rate_limit_is_not_asked():
    """Guards against queries that come on top of an engine's limit."""
    client = FakeClient([])
    inquiry, _prefix_cache = make_inquiry(client)
    inquiry.rate_limits.record_answer("e0/1", 2.0, sent=0.0, now=0.0)
    inquiry.ask([make_record(f"e{i}", stage="decode") for i in range(3)])
    assert sorted(record.endpoint_id for record in client.asked) == ["e1", "e2"]


@pytest.mark.parametrize(
    "notice", [EndpointNotice(is_leaving=True), EndpointNotice(retry_after=5.0)]
)
def test_an_engine_that_leaves_or_pauses_is_not_asked(notice):
    """Guards against queries to an engine that takes no new work."""
    client = FakeClient([])
    inquiry, _prefix_cache = make_inquiry(client)
    engines = [make_record(f"e{i}", stage="decode") for i in range(3)]
    inquiry.notices.record_answer(engines[0], notice, status=503)
    inquiry.ask(engines)
    assert sorted(record.endpoint_id for record in client.asked) == ["e1", "e2"]


def test_an_engine_that_does_not_answer_is_logged():
    """Guards against a failed inquiry that is not logged."""
    inquiry, _prefix_cache = make_inquiry(FakeClient(None))
    inquiry.ask([make_record(stage="decode")])
    assert inquiry.log == [
        (
            "kept_parts",
            "unknown",
            {"endpoint": "e1", "parts": 0, "reason": "timed out"},
        )
    ]
