"""Seeded open-loop arrivals of requests of several kinds."""

import itertools
import random
from typing import NamedTuple

__all__ = ["KINDS", "MIXES", "Kind", "Arrival", "LoadPlan", "make_arrivals"]

FILLER = "oat milk wax order batch slot "
BYTES_PER_TOKEN = 4


class Kind(NamedTuple):
    """A kind of request.

    Attributes
    ----------
    interface : str
        "completion", "lookup" or "booking".
    prompt_tokens, output_tokens : (int, int)
        Ranges, drawn uniformly.
    stream_share : float
        Share of completions that ask for a stream, 0 to 1.
    """

    name: str
    interface: str
    prompt_tokens: tuple[int, int] = (0, 0)
    output_tokens: tuple[int, int] = (0, 0)
    path: str = ""
    stream_share: float = 0.5


KINDS = {
    kind.name: kind
    for kind in (
        Kind("label_draft", "completion", (50, 300), (10, 40)),
        Kind("allergen_check", "completion", (300, 1500), (10, 60)),
        Kind("batch_log", "completion", (6000, 20000), (60, 200)),
        Kind("service_history", "completion", (6000, 20000), (30, 120)),
        Kind("account_lookup", "lookup", path="/accounts"),
        Kind("stock_check", "lookup", path="/stock"),
        Kind("slot_booking", "booking", path="/slots"),
        Kind("refill_order", "booking", path="/orders"),
        Kind("long_draft", "completion", (50, 50), (100, 100), stream_share=1.0),
        Kind("brief_draft", "completion", (50, 50), (2, 2), stream_share=1.0),
    )
}

# Shares of the kinds before and after a shift of the mix.
MIXES = {
    "association": (
        {
            "label_draft": 0.55,
            "allergen_check": 0.1,
            "batch_log": 0.02,
            "account_lookup": 0.23,
            "slot_booking": 0.1,
        },
        {
            "label_draft": 0.25,
            "allergen_check": 0.1,
            "batch_log": 0.3,
            "account_lookup": 0.25,
            "slot_booking": 0.1,
        },
    ),
    "pettigrew": (
        {"service_history": 0.1, "stock_check": 0.6, "refill_order": 0.3},
        {"service_history": 0.5, "stock_check": 0.3, "refill_order": 0.2},
    ),
    # Streams of one length, to measure the cost per token.
    "long_draft": ({"long_draft": 1.0}, {"long_draft": 1.0}),
    "brief_draft": ({"brief_draft": 1.0}, {"brief_draft": 1.0}),
}


class Arrival(NamedTuple):
    """One request; `at` is in seconds from the start of the run."""

    at: float
    number: int
    kind: Kind
    prompt_tokens: int
    output_tokens: int
    priority: int
    stream: bool


class LoadPlan(NamedTuple):
    """Shape of the offered load.

    Attributes
    ----------
    rate : float
        Requests per second outside the peak.
    duration : float
        Seconds.
    peak_factor, peak_start, peak_duration : float
        Factor on the rate within the peak, and its start and duration in
        seconds.
    shift_start, shift_end : float
        Seconds between which the second shares of the mix apply.
    """

    mix: str = "association"
    rate: float = 20.0
    duration: float = 10.0
    peak_factor: float = 1.0
    peak_start: float = 0.0
    peak_duration: float = 0.0
    shift_start: float = 0.0
    shift_end: float = 0.0


def make_arrivals(plan, *, seed):
    """Return an iterator over the arrivals of a plan.

    Parameters
    ----------
    plan : LoadPlan
    seed : int

    Notes
    -----
    Arrivals do not depend on answers (open loop), so a slow system cannot
    hide its own delay by slowing the load. Times are a Poisson process at the
    highest rate, thinned to the rate of the plan.

    Examples
    --------
    >>> plan = LoadPlan(rate=50.0, duration=2.0)
    >>> first = list(make_arrivals(plan, seed=1))
    >>> first == list(make_arrivals(plan, seed=1))
    True
    """
    rng = random.Random(seed)
    highest = plan.rate * max(1.0, plan.peak_factor)
    times = itertools.accumulate(
        rng.expovariate(highest) for _ in itertools.count() if highest > 0
    )
    within = itertools.takewhile(lambda at: at < plan.duration, times)
    accepted = (at for at in within if rng.random() * highest < _rate_at(plan, at))
    for number, at in enumerate(accepted):
        yield _draw(plan, rng, at, number)


def _rate_at(plan, at):
    in_peak = plan.peak_start <= at < plan.peak_start + plan.peak_duration
    return plan.rate * (plan.peak_factor if in_peak else 1.0)


def _draw(plan, rng, at, number):
    before, after = MIXES[plan.mix]
    shifted = plan.shift_start <= at < plan.shift_end
    shares = after if shifted else before
    name = rng.choices(list(shares), weights=list(shares.values()))[0]
    kind = KINDS[name]
    return Arrival(
        at=at,
        number=number,
        kind=kind,
        prompt_tokens=rng.randint(*kind.prompt_tokens),
        output_tokens=rng.randint(*kind.output_tokens),
        priority=2 if kind.prompt_tokens[1] <= 1500 else 5,
        stream=rng.random() < kind.stream_share,
    )


def prompt_text(arrival, *, seed):
    """Return the prompt of a completion, unique to the arrival."""
    head = f"{arrival.kind.name} {seed}/{arrival.number} "
    head += f"tokens={arrival.output_tokens} "
    missing = arrival.prompt_tokens * BYTES_PER_TOKEN - len(head)
    return head + (FILLER * (missing // len(FILLER) + 1))[: max(0, missing)]
