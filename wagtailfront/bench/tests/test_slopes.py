"""Tests of the fit of slopes and the parser of metrics."""

import pytest
from hypothesis import given, strategies as st

from wagtailfront.bench.live_slopes import (
    Phase,
    added_first_token,
    fit_processor_time,
    split_costs,
)
from wagtailfront.bench.slope_store import store_costs
from wagtailfront.bench.slopes import fit, parse_metrics
from wagtailfront.observe.metrics import Metrics

COSTS = st.floats(0.001, 1000.0)


@given(slope=COSTS, intercept=COSTS, sizes=st.sets(st.integers(1, 10_000), min_size=3))
def test_fit_finds_the_line_and_the_largest_error(slope, intercept, sizes):
    """Guards against a wrong slope or error of a fit."""
    sizes = sorted(sizes)
    values = [intercept + slope * size for size in sizes]
    line = fit("state", "bytes", "engine", sizes, values)
    assert line.slope == pytest.approx(slope, rel=1e-3)
    assert line.at(sizes[-1]) == pytest.approx(values[-1], rel=1e-6)
    assert line.error < 1e-6
    values[1] *= 2
    outlier = fit("state", "bytes", "engine", sizes, values)
    distances = [abs(outlier.at(s) / v - 1) for s, v in zip(sizes, values, strict=True)]
    assert outlier.error == pytest.approx(max(distances), abs=1e-9)


def test_two_sizes_are_rejected():
    """Guards against a line through two points, whose error is always 0."""
    with pytest.raises(ValueError, match="three sizes"):
        fit("state", "bytes", "engine", [1, 2], [1.0, 2.0])


@given(counts=st.lists(st.tuples(st.text("ab {},}", max_size=5), st.integers(1, 9))))
def test_metrics_page_is_parsed(counts):
    """Guards against label values that are parsed as the sample's value."""
    metrics = Metrics(clock=lambda: 3.0)
    for service, amount in counts:
        metrics.count("tokens_total", amount, service=service)
    samples = parse_metrics(metrics.render().decode())
    total = sum(amount for _service, amount in counts)
    assert samples.get("wagtailfront_tokens_total", 0.0) == total
    assert samples["wagtailfront_process_memory_bytes"] > 0


def make_phase(*, way, mix, rate, cores, first):
    return Phase(way, mix, rate, 0, int(rate * 10), 0, 10.0, cores, first, first, 0.0)


def test_costs_per_token_and_request_are_separated():
    """Guards against a fixed cost per request that is counted per token."""
    phases = [
        make_phase(
            way=way,
            mix=mix,
            rate=rate,
            cores=0.01 + rate * (0.0006 + tokens * 0.00008),
            first=0.02 if way == "instance" else 0.015,
        )
        for mix, tokens in (("long_draft", 100), ("brief_draft", 2))
        for rate in (10.0, 20.0, 40.0)
        for way in ("direct", "instance")
    ]
    lines = [fit_processor_time(phases, mix) for mix in ("long_draft", "brief_draft")]
    assert split_costs(*lines) == (pytest.approx(80.0), pytest.approx(600.0))
    assert added_first_token(phases)[1000.0] == pytest.approx((0.005, 0.005))


def test_claim_needs_two_writes_and_renewal_one():
    """Guards against a store budget that counts too few writes."""
    costs = {line.quantity: line for line in store_costs()}
    assert costs["table writes of claims"].slope == pytest.approx(2.0)
    assert costs["table writes of lease"].slope == pytest.approx(1.0)
