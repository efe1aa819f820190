"""What an instance learns from engines when it starts."""

import random

from wagtailfront.forwarding.cache_inquiry import MAX_INQUIRIES, CacheInquiry
from wagtailfront.forwarding.forwarder import PrefixCachesByService
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    make_parts,
    make_record,
    make_service,
)


class FakeClient:
    """Engines that all keep the same parts; some do not answer."""

    def __init__(self, parts):
        self.parts = parts
        self.asked = []

    def read_cached_parts(self, record, reply):
        self.asked.append(record)
        reply(self.parts, "" if self.parts else "timed out")


def make_inquiry(client):
    """Return an inquiry of the service "s", and its table of kept parts."""
    kept = PrefixCachesByService()
    kept.add_services({"s": make_service(is_model=True)})
    inquiry = CacheInquiry(
        client=client, prefix_caches=kept, log=LogLines(), rng=random.Random(1)
    )
    return inquiry, kept["s"]


def test_shared_parts_are_known_after_all_instances_were_lost():
    """Guards against reading again what engines kept through a restart."""
    parts = make_parts("a", 13_000, 3000)
    record = make_record(stage="prefill")
    inquiry, kept = make_inquiry(FakeClient(list(parts)))
    inquiry.ask([record])
    assert kept.cached_tokens(record.incarnation, make_parts("a", 13_000, 1)) == 13_000


def test_only_engines_of_the_first_read_are_asked():
    """Guards engines against questions at each change of the fleet."""
    client = FakeClient([])
    inquiry, _kept = make_inquiry(client)
    inquiry.ask([make_record("plain")])
    inquiry.ask([make_record(f"e{i}", stage="decode") for i in range(50)])
    inquiry.ask([make_record("late", stage="decode")])
    assert len(client.asked) == MAX_INQUIRIES


def test_an_engine_that_does_not_answer_is_logged():
    """Guards against a failure that leaves no trace."""
    inquiry, _kept = make_inquiry(FakeClient(None))
    inquiry.ask([make_record(stage="decode")])
    assert inquiry.log == [
        (
            "kept_parts",
            "unknown",
            {"endpoint": "e1", "parts": 0, "reason": "timed out"},
        )
    ]
