"""Budget of repeated attempts with a limit across all instances."""

from collections import deque

__all__ = ["SLACK_IN_USE", "AttemptBudget"]


# Part of the slack that instances use. An instance and the processes that
# replace it within one window use it up to twice.
SLACK_IN_USE = 0.5


class AttemptBudget:
    """Limits repeated attempts to a share of this instance's requests.

    Parameters
    ----------
    share : float
        Repeated attempts per request that the service tolerates.
    window : float
        Length of the sliding window in seconds.
    slack : float, optional
        Repeated attempts beyond `share` that all instances together may make
        in a window.
    started : float, optional
        When this process started.
    count_instances : callable, optional
        Returns the number of instances, or 0 while it is unknown.

    Notes
    -----
    The limit holds for all instances together. Each instance spends only
    what its own requests in the window and its part of the slack allow, so
    the sum stays below the limit without an agreement. A process earns its
    part of the slack over its first window, so that instances that restart
    again and again use no more than others.

    Examples
    --------
    >>> budget = AttemptBudget(share=0.5, slack=4, window=10.0, started=-10.0)
    >>> for _ in range(2):
    ...     budget.record_request(now=0.0)
    >>> [budget.spend(now=1.0) for _ in range(4)]
    [True, True, True, False]
    >>> budget.spend(now=11.5)
    True
    """

    def __init__(
        self, *, share, window, slack=0.0, started=0.0, count_instances=lambda: 1
    ):
        self.share = share
        self.window = window
        self.slack = slack
        self.started = started
        self.count_instances = count_instances
        self.requests = deque()
        self.repeats = deque()

    def record_request(self, *, now):
        """Count a caller's request."""
        self.requests.append(now)

    def allowed(self, *, now):
        """Return the repeated attempts allowed in the window up to now."""
        _drop_until(self.requests, now - self.window)
        return self.share * len(self.requests) + self._own_slack(now)

    def _own_slack(self, now):
        instances = self.count_instances()
        if not instances:
            return 0.0
        earned = min(1.0, (now - self.started) / self.window)
        return SLACK_IN_USE * self.slack * earned / instances

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
