"""Budget and back-off of retries."""

from collections import deque

__all__ = ["RETRY_SHARE", "RetryBudget", "RetryAllowance", "retry_delay"]

RETRY_SHARE = 0.1  # of requests; bounds load in a total outage to 1.1 times
WINDOW_REQUESTS = 100  # lets the 10 requests lost with one engine retry at once
BASE_DELAY = 0.05  # seconds
MAX_DELAY = 2.0  # seconds
FLOOR_RATE = 0.2  # retries per second
FLOOR_BURST = 10  # retries


class RetryBudget:
    """Limits retries to a share of the latest requests.

    Parameters
    ----------
    share : float, optional
        Retries per request.
    window : int, optional
        Number of latest requests over which `share` holds.

    Notes
    -----
    The window counts requests instead of seconds. No clock is needed, and a
    service with few requests can retry too. Any `window` consecutive requests
    cause at most ``share * window`` retries, and all requests since the start
    at most ``share`` times their number. Unused retries do not accumulate
    beyond the window.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(20):
    ...     budget.record_request()
    >>> [budget.spend() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, *, share=RETRY_SHARE, window=WINDOW_REQUESTS):
        self.share = share
        self.window = window
        self.requests = 0
        self.spent = deque()

    def record_request(self):
        """Count the first attempt at a request."""
        self.requests += 1

    def available(self):
        """Return whether one more retry may be made now."""
        while self.spent and self.spent[0] <= self.requests - self.window:
            self.spent.popleft()
        return len(self.spent) + 1 <= self.share * min(self.requests, self.window)

    def spend(self):
        """Spend one retry if the budget allows it.

        Returns
        -------
        bool
            Whether the retry may be made.
        """
        if not self.available():
            return False
        self.spent.append(self.requests)
        return True


class RetryAllowance:
    """Retry budget with a minimum rate for instances with few requests.

    Parameters
    ----------
    budget : RetryBudget, optional
    floor_rate : float, optional
        Retries per second in addition to the budget; 340 instances at 0.2
        add 68 per second to 970 requests per second, which is 7%.
    floor_burst : int, optional
        Retries that the minimum rate allows at once.
    started : float, optional
        When the instance started; it earns the burst from then on, so that
        a restart does not renew it.

    Examples
    --------
    >>> allowance = RetryAllowance(floor_burst=1, started=0.0)
    >>> [allowance.spend(now=now) for now in (1.0, 5.0, 5.0)]
    [False, True, False]
    """

    def __init__(
        self,
        *,
        budget=None,
        floor_rate=FLOOR_RATE,
        floor_burst=FLOOR_BURST,
        started=0.0,
    ):
        self.budget = budget or RetryBudget()
        self.floor_rate = floor_rate
        self.floor_burst = floor_burst
        self.floor = 0.0
        self.filled_at = started

    def record_request(self):
        """Count the first attempt at a request."""
        self.budget.record_request()

    def available(self, *, now):
        """Return whether one more retry may be made."""
        grown = self.floor + (now - self.filled_at) * self.floor_rate
        self.floor = min(float(self.floor_burst), grown)
        self.filled_at = now
        return self.budget.available() or self.floor >= 1.0

    def spend(self, *, now):
        """Spend one retry; return whether it may be made."""
        if not self.available(now=now):
            return False
        if not self.budget.spend():
            self.floor -= 1.0
        return True


def retry_delay(attempt, *, rng, retry_after=0.0, base=BASE_DELAY, max_delay=MAX_DELAY):
    """Return the seconds to wait before a retry: back-off with full jitter.

    Parameters
    ----------
    attempt : int
        Number of the attempt that failed, from 1.
    rng : random.Random
    retry_after : float, optional
        Seconds that the endpoint asked for; the jitter is added to them.
    base, max_delay : float, optional
        Upper bound of the jitter after the first attempt, and its maximum
        after any attempt, in seconds.

    References
    ----------
    .. [1] M. Brooker, "Exponential Backoff and Jitter", AWS Architecture
       Blog, 2015.

    Examples
    --------
    >>> import random
    >>> delay = retry_delay(3, rng=random.Random(1))
    >>> 0 <= delay <= 0.2
    True
    """
    # The exponent is bounded so that a large attempt number cannot overflow.
    ceiling = min(max_delay, base * 2 ** min(attempt - 1, 30))
    return retry_after + rng.uniform(0, ceiling)
