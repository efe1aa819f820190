"""Tests of the choice between KV transfer and recomputation."""

from hypothesis import given, strategies as st

from wagtailfront.decisions.kv_transfer import Link, Source, plan_transfer

LINKS = st.builds(
    Link,
    st.sampled_from([0.0, 1e8, 1.25e9, 12.5e9, 1e12]),
    st.floats(0, 1),
    st.floats(0, 1e10),
)
SOURCES = st.builds(Source, st.text(max_size=3), st.integers(0, 40_000), LINKS)


@given(
    sources=st.lists(SOURCES, max_size=5),
    prompt=st.integers(0, 30_000),
    cached=st.integers(0, 15).map(lambda pieces: pieces * 2_000),
    token_bytes=st.integers(1, 400_000),
    speed=st.floats(100, 1e5),
)
def test_transfer_only_where_cheaper(sources, prompt, cached, token_bytes, speed):
    """Guards against prompts delayed by transfers over slow or busy links."""
    plan = plan_transfer(
        sources,
        prompt_tokens=prompt,
        cached_tokens=cached,
        bytes_per_token=token_bytes,
        prefill_speed=speed,
    )
    assert plan.recompute_seconds == max(prompt - cached, 0) / speed
    if plan.source is None:
        assert plan.seconds == plan.recompute_seconds and plan.size == 0
    else:
        assert plan.seconds < plan.recompute_seconds
        assert plan.size == plan.tokens * token_bytes > 0
        assert plan.first_token + plan.tokens <= prompt
        assert (plan.first_token + plan.tokens) % 2_000 == 0
    for source in sources:
        rate, latency, backlog = source.link
        end = min(source.tokens, prompt) // 2_000 * 2_000
        if rate and end > cached:
            transfer = latency + (backlog + (end - cached) * token_bytes) / rate
            total = transfer + (prompt - end) / speed
            assert plan.seconds <= total * (1 + 1e-9)
