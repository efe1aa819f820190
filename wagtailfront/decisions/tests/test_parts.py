"""Property tests of the decision modules by themselves."""

import random

import pytest
from hypothesis import given, strategies as st

from wagtailfront.decisions.admission import Admission, TokenBucket
from wagtailfront.decisions.length_prediction import LengthPredictor
from wagtailfront.decisions.outlier_detection import SlowDetector
from wagtailfront.decisions.prefix_affinity import PrefixMap, chain_hashes
from wagtailfront.decisions.routing import near_best
from wagtailfront.decisions.tests.builders import build_work
from wagtailfront.decisions.work import PIECE_TOKENS, CacheEvent
from wagtailfront.outcome import Refused

EVENTS = st.lists(st.tuples(st.integers(0, 6), st.booleans(), st.booleans()))


@given(EVENTS, st.lists(st.integers(0, 6), max_size=5), st.floats(0, 1e4))
def test_prefix_map_claims_only_pieces_seen(events, pieces, now):
    """Guards against pieces counted as cached that no event reported."""
    prefixes = PrefixMap(pieces_per_engine=3)
    seen, truth = set(), {}
    is_complete = True
    for number, (piece, stored, lost) in enumerate(events):
        truth[piece] = stored
        if lost:
            is_complete = False
            continue
        seen |= {piece} if stored else set()
        prefixes.apply("a", [CacheEvent(number, piece, stored)], now=now)
    cached = prefixes.cached_tokens("a", pieces, now=now) // PIECE_TOKENS
    assert set(pieces[:cached]) <= seen
    if is_complete:
        assert all(truth[piece] for piece in pieces[:cached])
    assert prefixes.cached_tokens("b", pieces, now=now) == 0
    assert prefixes.cached_tokens("a", pieces, now=now + 200) == 0


@given(st.lists(st.binary(max_size=4), max_size=6), st.integers(0, 5))
def test_chained_hashes_of_a_prefix_are_a_prefix(parts, length):
    """Guards against hashes that depend on later parts of the prompt."""
    assert chain_hashes(parts[:length]) == chain_hashes(parts)[:length]


@given(st.lists(st.tuples(st.floats(0.01, 20), st.floats(0, 5)), max_size=40))
def test_bucket_passes_at_most_burst_and_refill(takes):
    """Guards against a workspace that exceeds its rate limit."""
    bucket = TokenBucket(rate=2.0, burst=10.0, level=10.0, filled_at=0.0)
    now = passed = 0.0
    for amount, wait in takes:
        now += wait
        needed = bucket.take(amount, now=now)
        passed += amount if needed == 0.0 else 0.0
        # One oversized amount may overdraw the full bucket.
        assert passed <= 10.0 + 2.0 * now + 20.0
        assert needed >= 0.0


@given(
    st.lists(st.tuples(st.floats(0.1, 50), st.floats(0.01, 500)), max_size=60),
    st.floats(0.01, 60),
    st.floats(0, 60),
)
def test_admission_refuses_exactly_the_late(errors, expected, timeout):
    """Guards against accepted work whose predicted finish is too late."""
    admission = Admission(rng=random.Random(1))
    for predicted, actual in errors:
        admission.observe("label", expected=predicted, actual=actual, timeout=1.0)
    margin = admission.margin("label")
    work = build_work(deadline=10.0 + timeout)
    refused = admission.decide(work, cost=0.01, expected=expected, now=10.0)
    assert 1.0 <= margin <= admission.settings.max_margin
    assert (refused is not None) == (10.0 + expected * margin - work.deadline > 0)
    if refused is not None:
        assert isinstance(refused, Refused)
        assert 0.5 <= refused.retry_after <= 60.0


@given(st.lists(st.integers(1, 5_000), min_size=60), st.integers(1, 400))
def test_length_prediction_stays_in_bounds(lengths, max_tokens):
    """Guards against predictions above the request's own limit."""
    predictor = LengthPredictor()
    for tokens in lengths:
        predictor.observe("w", "label", tokens)
    of_workspace = predictor.predict("w", "label", max_tokens)
    of_other = predictor.predict("new", "label", max_tokens)
    for prediction in (of_workspace, of_other):
        assert 0 < prediction.expected <= prediction.high <= max_tokens


@given(st.lists(st.floats(0.001, 100), min_size=1, max_size=9), st.integers())
def test_near_best_is_near_the_best(scores, seed):
    """Guards against a random choice outside the near-best engines."""
    options = [(score, index) for index, score in enumerate(scores)]
    score, _ = near_best(options, random.Random(seed))
    assert score <= min(scores) * 1.1 + 0.0101


@pytest.mark.parametrize(("peers", "is_ejected"), [("x", False), ("xy", True)])
def test_one_hint_alone_ejects_nothing(peers, is_ejected):
    """Guards against a single mistaken peer that gets an engine ejected."""
    detector = SlowDetector(group_size=6)
    for peer in peers * 3:
        detector.record_hint("a", peer, now=1.0)
    assert bool(detector.evaluate(now=1.0)) == is_ejected


def test_ejected_engine_returns_after_two_good_probes():
    """Guards against an engine that stays ejected after it has recovered."""
    detector = SlowDetector(group_size=6)
    for engine in "bcd":
        detector.observe_gap(engine, 0.03, now=0.0)
    detector.observe_gap("a", 0.4, now=0.1)
    detector.observe_gap("a", 0.4, now=0.2)
    assert detector.evaluate(now=0.2) == ["a"]
    assert detector.probe_due(now=1.0) is None
    for at in (3.0, 4.0):
        assert detector.probe_due(now=at) == "a"
        detector.probe_sent("a", "r")
        assert detector.probe_due(now=at) is None
        detector.probe_ended("a", is_good=True, now=at)
    assert not detector.ejected
