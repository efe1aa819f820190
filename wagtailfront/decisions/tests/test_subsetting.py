"""Tests of subsets by rendezvous hashing."""

from hypothesis import given, strategies as st

from wagtailfront.decisions.subsetting import subset

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
