"""Hedged requests: second attempts at idempotent requests that are late."""

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

from wagtailfront.decisions.retry_budget import RetryBudget

__all__ = ["HEDGE_SHARE", "LatenessQuantile", "HedgePlanner"]

HEDGE_SHARE = 0.02  # of requests
HEDGE_WINDOW = 500  # requests, so that the share allows 10 hedges at once
MIN_SAMPLES = 50  # fewer do not determine the 98th percentile
MAX_SAMPLES = 512  # a few minutes of one instance's requests


class LatenessQuantile:
    """Quantiles of the ratio of observed to expected first-token latency.

    Parameters
    ----------
    min_samples, max_samples : int, optional
        Number of samples below which `quantile` returns None, and size of
        the sliding window of samples.

    Notes
    -----
    Ratios are used instead of seconds because the expected latency of a
    long prompt is many times that of a short one.
    """

    def __init__(self, *, min_samples=MIN_SAMPLES, max_samples=MAX_SAMPLES):
        self.min_samples = min_samples
        self.max_samples = max_samples
        self.latest = deque()
        self.ordered = []

    def observe(self, latency, expected):
        """Add one first-token latency and its expected value, in seconds."""
        ratio = latency / expected
        self.latest.append(ratio)
        insort(self.ordered, ratio)
        if len(self.latest) > self.max_samples:
            del self.ordered[bisect_left(self.ordered, self.latest.popleft())]

    def quantile(self, share):
        """Return the `share` quantile, or None while samples are too few."""
        if len(self.ordered) < self.min_samples:
            return None
        return self.ordered[min(int(share * len(self.ordered)), len(self.ordered) - 1)]


@dataclass(kw_only=True)
class _Race:
    """Concurrent attempts at one request; the first to send a token wins."""

    idempotent: bool
    expected: float
    started: float
    attempts: list = field(default_factory=lambda: [1])
    winner: int | None = None
    hedged: bool = False


class HedgePlanner:
    """Decides when to hedge a late request and which attempt to continue.

    Parameters
    ----------
    retries : RetryBudget
        Shared with retries. Each hedge is charged to it, so that hedges and
        retries together stay within the bound on load in an outage.
    share : float, optional
        Hedges per request.
    lateness : LatenessQuantile, optional

    Notes
    -----
    A request is hedged when its latency passes the ``1 - share`` quantile.
    An earlier time would spend the budget on requests that are about to
    send a token; a later one would leave budget unused.

    References
    ----------
    .. [1] J. Dean and L. A. Barroso, "The Tail at Scale", Communications of
       the ACM 56(2), 2013.

    Examples
    --------
    >>> retries = RetryBudget()
    >>> planner = HedgePlanner(retries=retries, share=0.02)
    >>> for number in range(100):
    ...     retries.record_request()
    ...     planner.start(number, idempotent=True, expected=0.2, now=0.0)
    ...     _ = planner.handle_first_token(number, 1, now=0.2)
    >>> planner.start("late", idempotent=True, expected=0.2, now=10.0)
    >>> planner.hedge_at("late")
    10.2
    >>> planner.hedge("late", 2, now=10.3)
    True
    >>> planner.handle_first_token("late", 2, now=10.4)
    (1,)
    """

    def __init__(self, *, retries, share=HEDGE_SHARE, lateness=None):
        self.retries = retries
        self.share = share
        self.budget = RetryBudget(share=share, window=HEDGE_WINDOW)
        self.lateness = LatenessQuantile() if lateness is None else lateness
        self.races = {}

    def start(self, request, *, idempotent, expected, now):
        """Record attempt 1, whose first token is expected in `expected` s."""
        self.budget.record_request()
        self.races[request] = _Race(
            idempotent=idempotent, expected=expected, started=now
        )

    def hedge_at(self, request):
        """Return the time at which to hedge `request`, or None for never."""
        race = self.races.get(request)
        ratio = self.lateness.quantile(1 - self.share)
        if race is None or ratio is None or not race.idempotent:
            return None
        if race.hedged or race.winner is not None:
            return None
        return race.started + ratio * race.expected

    def hedge(self, request, attempt, *, now):
        """Return whether to send `attempt` now, and charge the budgets."""
        due = self.hedge_at(request)
        if due is None or now < due:
            return False
        if not self.budget.available() or not self.retries.spend():
            return False
        self.budget.spend()
        race = self.races[request]
        race.hedged = True
        race.attempts.append(attempt)
        return True

    def handle_first_token(self, request, attempt, *, now):
        """Return the attempts to cancel after `attempt` sent a token.

        The first attempt with a token wins. If an attempt that was already
        cancelled sends a token, it is returned again, because its
        cancellation may have been lost.
        """
        race = self.races.get(request)
        if race is None or attempt not in race.attempts:
            return (attempt,)
        if race.winner is None:
            race.winner = attempt
            self.lateness.observe(now - race.started, race.expected)
            losers = tuple(other for other in race.attempts if other != attempt)
            race.attempts = [attempt]
            return losers
        return ()

    def failed(self, request, attempt):
        """Record that `attempt` ended without an answer.

        Returns
        -------
        bool
            Whether another attempt is still running, so no retry is needed.
        """
        race = self.races.get(request)
        if race is None:
            return False
        race.attempts = [other for other in race.attempts if other != attempt]
        return bool(race.attempts)

    def finish(self, request):
        """Forget `request`; return the attempts that are still running."""
        race = self.races.pop(request, None)
        return () if race is None else tuple(race.attempts)
