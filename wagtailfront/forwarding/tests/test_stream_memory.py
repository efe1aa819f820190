"""Tests of what instances remember of streams and software versions."""

from hypothesis import given, strategies as st

from wagtailfront.forwarding.begun_streams import LIFETIME, MAX_STREAMS, StreamMemory
from wagtailfront.forwarding.tests.builders import make_record
from wagtailfront.forwarding.version_history import VersionHistory
from wagtailfront.membership.messages import (
    BegunStreams,
    StreamReport,
    decode_message,
    encode_message,
)


@given(ids=st.lists(st.text(max_size=20), unique=True, min_size=1, max_size=40))
def test_a_newcomer_knows_all_streams_and_their_versions(ids):
    """Guards against identifiers that are mixed up or lost on the way."""
    sender, receiver = StreamMemory(), StreamMemory()
    for number, request_id in enumerate(ids):
        sender.record(request_id, "s", f"v{number % 3}", now=100.0 + number)
    now = 100.0 + len(ids)
    for part in sender.history(now=now):
        report = StreamReport(incarnation="i", streams=part)
        for begun in decode_message(encode_message(report)).streams:
            receiver.merge_missed(begun, now=now)
            receiver.merge_missed(begun, now=now + 0.9)
    assert receiver.count == len(ids)
    found = [receiver.find(each, now=now).software_version for each in ids]
    assert found == [f"v{number % 3}" for number in range(len(ids))]
    assert receiver.find("another" * 9, now=now) is None


def test_streams_are_forgotten_after_their_lifetime_and_above_a_number():
    """Guards the memory of an instance that runs for days."""
    memory = StreamMemory()
    memory.record("old", "s", "v1", now=100.0)
    memory.record("new", "s", "v1", now=101.0 + LIFETIME)
    assert memory.find("old", now=101.0 + LIFETIME) is None
    assert memory.find("new", now=101.0 + LIFETIME) is not None
    for second in range(40):
        many = BegunStreams("s", "v1", bytes(32_000))
        for _ in range(4):
            memory.merge(many, now=200.0 + second)
    assert memory.count <= MAX_STREAMS
    assert memory.count == sum(
        len(ids) // 8 for by_key in memory.seconds.values() for ids in by_key.values()
    )


def test_a_gap_in_what_was_watched_is_no_proof_of_a_single_version():
    """Guards against a version that came and went while the store was down."""
    history, records = VersionHistory(), [make_record("e1")]
    history.update(records, now=10.0)
    history.update(records, now=50.0, is_gap=True)
    assert history.only_version("s", since=40.0) is None
    assert history.only_version("s", since=50.0) == "v1"
    history.is_current = False
    assert history.only_version("s", since=50.0) is None


def test_a_peer_that_has_watched_longer_tells_which_versions_there_were():
    """Guards both a refusal without need and a version that had just left."""
    sender, records = VersionHistory(), [make_record("e1")]
    sender.update([*records, make_record("e0", software_version="v0")], now=10.0)
    sender.update(records, now=20.0)
    receiver = VersionHistory()
    receiver.update(records, now=60.0)
    for seen in sender.make_report(now=61.0):
        receiver.merge(seen, now=61.0)
    assert receiver.only_version("s", since=30.0) == "v1"
    assert receiver.only_version("s", since=15.0) is None
    assert receiver.only_version("s", since=5.0) is None
