"""Work that arrives at a service, by its priority."""

from collections import deque
from typing import NamedTuple

__all__ = ["ArrivingWork"]

# Seconds over which arrivals are counted. The largest rate counts: demand
# jumps within a moment, and is not known to fall until it has for a while.
WINDOWS = (0.25, 1.0)


class _Arrival(NamedTuple):
    at: float
    priority: int
    work: float


class ArrivingWork:
    """Measures how much work arrives that overtakes less urgent requests.

    Examples
    --------
    >>> arriving = ArrivingWork()
    >>> for step in range(20):
    ...     arriving.record(step % 2, 0.1, now=step * 0.1)
    >>> [round(arriving.load_before(each, now=1.9), 2) for each in (0, 1, 2)]
    [0.0, 0.5, 1.2]
    """

    def __init__(self):
        self.arrivals = deque()

    def record(self, priority, work, *, now):
        """Record an arrival with `work` seconds of engine time."""
        self.arrivals.append(_Arrival(now, priority, work))
        self._drop(now)

    def load_before(self, priority, *, now):
        """Return the engine time per second of more urgent requests."""
        self._drop(now)
        urgent = [each for each in self.arrivals if each.priority < priority]
        return max(
            sum(each.work for each in urgent if each.at > now - window) / window
            for window in WINDOWS
        )

    def _drop(self, now):
        while self.arrivals and self.arrivals[0].at <= now - max(WINDOWS):
            self.arrivals.popleft()
