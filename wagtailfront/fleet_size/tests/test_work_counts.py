"""Tests of the counts of callers' work, here and over all instances."""

from hypothesis import given, strategies as st

from wagtailfront.fleet_size.work_counts import MAX_REPORT_GAP, FleetWork, OwnWork
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    Scene,
    make_parts,
    make_record,
    make_route,
)
from wagtailfront.membership.messages import PlacementDigest


def report(peer, *, now, incarnation="p"):
    """Return the full digest of a peer in data centre "b"."""
    fields = peer.fields(now=now, full=True)
    return PlacementDigest(
        incarnation=incarnation, loads=(), prompts=(), data_centre="b", **fields
    )


def make_pair():
    """Return the sums of one instance, and a peer that reports to it."""
    here = FleetWork(own=OwnWork(), data_centre="a")
    return here, FleetWork(own=OwnWork(), data_centre="b")


def test_restarted_peer_counts_from_its_start():
    """Guards against work that is taken off when a count begins anew."""
    here, peer = make_pair()
    for now in (1.0, 2.0):
        peer.own.record_request("s", tokens=10)
        here.merge(report(peer, now=now), now=now)
    again = FleetWork(own=OwnWork(), data_centre="b")
    for now in (3.0, 4.0):
        again.own.record_request("s", tokens=10)
        here.merge(report(again, now=now, incarnation="q"), now=now)
    assert here.sums["s", "b"].requests == 2


def test_older_digest_by_another_path_counts_nothing_twice():
    """Guards against work that relayed digests count again."""
    here, peer = make_pair()
    digests = []
    for now in (1.0, 2.0, 3.0):
        peer.own.record_request("s", tokens=10)
        digests.append(report(peer, now=now))
    for number in (0, 1, 2, 1, 2, 0, 2):
        here.merge(digests[number], now=3.0)
    assert here.sums["s", "b"].requests == 2


def test_silent_peer_adds_no_burst():
    """Guards against the work of a silence that counts as one second's."""
    here, peer = make_pair()
    here.merge(report(peer, now=1.0), now=1.0)
    here.merge(report(peer, now=2.0), now=2.0)
    for _ in range(50):
        peer.own.record_request("s", tokens=10)
    back = 2.0 + MAX_REPORT_GAP + 0.1
    here.merge(report(peer, now=back), now=back)
    assert here.sums["s", "b"].requests == 0


@given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 9)), max_size=8))
def test_time_of_streams_never_falls(spans):
    """Guards against negative rates while streams are open."""
    work = OwnWork()
    events = [(start, 0, start) for start, _length in spans]
    events += [(start + length, 1, start) for start, length in spans]
    seen = [0]
    for now, is_end, start in sorted(events):
        if is_end:
            work.end_attempt("s", started=start, now=now)
        else:
            work.start_attempt("s", uncached_tokens=1, now=now)
        seen.append(work.totals("s", now=now).stream_ms)
    assert seen == sorted(seen)
    assert abs(seen[-1] - 1000 * sum(length for _start, length in spans)) <= 1


def test_requests_are_counted_where_they_are_placed_and_end():
    """Guards against demand that is not counted, or streams that stay open."""
    scene = Scene([make_record("e1", stage="decode")], is_model=True)
    route = make_route(STREAMING, timeout=5.0)
    scene.start(
        route,
        prompt_tokens=700,
        max_output_tokens=50,
        parts=make_parts("x", 500, 200),
    )
    scene.timers.advance(9.0)
    totals = scene.context.work.totals("s", now=scene.timers.now)
    assert totals[:3] == (1, 700, 750)
    assert 5000 <= totals.stream_ms < 5200
    assert scene.context.work.by_service["s"].open == 0


def test_refused_requests_are_counted():
    """Guards against a fleet that stays small while it refuses callers."""
    scene = Scene([], is_model=True)
    scene.start(make_route(STREAMING), prompt_tokens=700)
    assert scene.context.work.totals("s", now=scene.timers.now).refused == 1
