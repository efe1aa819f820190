"""Budget of repeated attempts with a limit across all instances."""

from collections import deque

__all__ = ["AttemptBudget"]


class AttemptBudget:
    """Limits repeated attempts to a share of this instance's requests.

    Parameters
    ----------
    share : float
        Repeated attempts per request that the service tolerates.
    window : float
        Length of the sliding window in seconds.
    slack : float, optional
        Repeated attempts beyond `share` that this instance may make in a
        window.

    Notes
    -----
    The limit holds for all instances together. Each instance spends only
    what its own requests in the window allow, so the sum stays below the
    limit without communication between instances.

    Examples
    --------
    >>> budget = AttemptBudget(share=0.5, slack=1, window=10.0)
    >>> for _ in range(2):
    ...     budget.record_request(now=0.0)
    >>> [budget.spend(now=1.0) for _ in range(3)]
    [True, True, False]
    >>> budget.spend(now=11.5)
    True
    """

    def __init__(self, *, share, window, slack=0):
        self.share = share
        self.slack = slack
        self.window = window
        self.requests = deque()
        self.repeats = deque()

    def record_request(self, *, now):
        """Count a caller's request."""
        self.requests.append(now)

    def allowed(self, *, now):
        """Return the repeated attempts allowed in the window up to now."""
        _drop_until(self.requests, now - self.window)
        return self.share * len(self.requests) + self.slack

    def spend(self, count=1, *, now):
        """Spend repeated attempts if the budget allows all of them.

        Returns
        -------
        bool
            Whether the attempts may be made.
        """
        _drop_until(self.repeats, now - self.window)
        if len(self.repeats) + count > self.allowed(now=now):
            return False
        self.repeats.extend([now] * count)
        return True


def _drop_until(times, limit):
    while times and times[0] <= limit:
        times.popleft()
