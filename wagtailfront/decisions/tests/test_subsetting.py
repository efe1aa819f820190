"""Tests of subsets by rendezvous hashing."""

import pytest
import xxhash
from hypothesis import given, strategies as st

from wagtailfront.authority.lease import candidates
from wagtailfront.decisions.subsetting import ranked, subset

NAMES = [f"engine-{number}" for number in range(24)]


@given(
    names=st.sets(st.sampled_from(NAMES), min_size=1),
    home=st.sets(st.sampled_from(NAMES)),
    size=st.integers(0, 12),
    remote=st.integers(0, 4),
    data=st.data(),
)
def test_one_departure_moves_at_most_one_name(names, home, size, remote, data):
    """Guards against replacing all connections when one engine is removed."""
    gone = data.draw(st.sampled_from(sorted(names)))
    choices = {"key": "instance-1", "size": size, "home": home, "remote": remote}
    before = subset(names, **choices)
    after = subset(names - {gone}, **choices)
    assert len(before) == min(size, len(names))
    assert set(before) - set(after) <= {gone}
    assert len(set(after) - set(before)) <= (gone in before)
    assert (gone in before) or before == after
    remotes = len(set(before) - home)
    wanted = min(remote, size, len(names - home))
    assert remotes == max(wanted, len(before) - len(names & home))


INSTANCES = [f"i{number}" for number in range(8)]


@pytest.mark.parametrize(
    ("key", "for_leases", "for_senders"),
    [
        ("desk-assist/brum", "62305174", "36475201"),
        ("config", "14057362", "50327164"),
        ("e1/1", "51324706", "06523471"),
    ],
)
def test_orders_agree_with_those_of_earlier_versions(key, for_leases, for_senders):
    """Guards against instances of two versions that choose differently."""
    for_leases, for_senders = ([f"i{n}" for n in o] for o in (for_leases, for_senders))
    assert candidates(key, INSTANCES, 8) == for_leases
    assert candidates(key, INSTANCES) == for_leases[:2]
    assert ranked(INSTANCES, key=key) == for_senders
    digest = xxhash.xxh64_intdigest
    assert ranked(INSTANCES, key=key, digest=digest) == for_leases
