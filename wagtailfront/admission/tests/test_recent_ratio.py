"""Tests of ratios over recent observations."""

from hypothesis import given, strategies as st

from wagtailfront.admission.fair_share import FairShare
from wagtailfront.admission.recent_ratio import RecentRatio

# None, or at least a nanosecond: a weight turns subnormal numbers into 0.
SECONDS = st.just(0.0) | st.floats(1e-9, 10.0)


@given(
    pairs=st.lists(
        st.tuples(SECONDS, st.floats(0.01, 10.0), st.floats(0.0, 1e6)),
        min_size=1,
    ),
    pause=st.floats(0.0, 1e7),
)
def test_a_ratio_without_a_prior_lies_among_its_observations(pairs, pause):
    """Guards the first request after a long pause, in which weights vanish."""
    ratio, now = RecentRatio(half_life=1.0), 0.0
    for numerator, denominator, gap in pairs:
        now += gap
        ratio.add(numerator, denominator, now=now)
    ratios = [numerator / denominator for numerator, denominator, _gap in pairs]
    value = ratio.value(now=now + pause)
    assert min(ratios) * 0.999 <= value <= max(ratios) * 1.001


def test_a_share_is_known_after_a_long_pause():
    """Guards the first request of a quiet morning against an exception."""
    share = FairShare()
    share.record(0, True, now=0.0)
    share.record(1, False, now=0.0)
    assert 0.0 <= share.missing(1, now=1e6) <= 0.25
