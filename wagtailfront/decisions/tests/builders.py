"""Builders for work and policies."""

import random

from hypothesis import strategies as st

from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.work import Work

__all__ = ["ENGINES", "build_work", "policy", "works"]

ENGINES = tuple("abcdef")


def policy(**changes):
    """Return a policy of one of six instances over six engines."""
    arguments = {"engines": ENGINES, "instances": 6, "rng": random.Random(7)}
    return ExpectedFinish(**(arguments | changes))


def works():
    """Return a strategy of work without a request id."""
    return st.builds(
        Work,
        request_id=st.just(""),
        workspace=st.sampled_from(["w", "x"]),
        kind=st.sampled_from(["label", "long-read"]),
        prompt_tokens=st.integers(1, 50_000),
        max_tokens=st.integers(1, 2_000),
        deadline=st.floats(0.0, 100.0),
        priority=st.integers(0, 9),
        pieces=st.lists(st.integers(0, 9), max_size=5).map(tuple),
        fingerprint=st.just(""),
        arrived=st.none() | st.floats(0.0, 100.0),
    )


def build_work(request_id="r", **changes):
    """Return work whose deadline is far away."""
    fields = {"prompt_tokens": 300, "max_tokens": 40, "deadline": 1e6}
    return Work(request_id, "w", "label", **(fields | changes))
