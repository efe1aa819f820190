"""Budget of repeated attempts with a limit across all instances."""

from collections import deque

__all__ = ["AttemptBudget"]


class AttemptBudget:
    """Limits repeated attempts to a share of this instance's requests.

    Parameters
    ----------
    share : float
        Repeated attempts per request that the service tolerates.
    slack : float
        Repeated attempts beyond `share` that this instance may make in a
        window.
    window : float
        Length of the sliding window in seconds.

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

    def __init__(self, *, share, slack, window):
        self.share = share
        self.slack = slack
        self.window = window
        self.requests = deque()
        self.repeats = deque()

    def record_request(self, *, now):
        """Count a caller's request."""
        self.requests.append(now)

    def spend(self, *, now):
        """Spend one repeated attempt if the budget allows it.

        Returns
        -------
        bool
            Whether the attempt may be made.
        """
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window:
                times.popleft()
        if len(self.repeats) + 1 > self.share * len(self.requests) + self.slack:
            return False
        self.repeats.append(now)
        return True
