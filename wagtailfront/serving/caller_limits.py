"""Limits of callers that hold around a change of the configuration."""

import math
from typing import NamedTuple

__all__ = ["CallerLimits", "LimitsInForce", "fit_body", "widest"]

# A buffer that grows takes an eighth more than it contains.
GROWTH_COST = 9 / 8
# Seconds after a change until all callers keep to the new limits.
CHANGE_SECONDS = 10.0


class CallerLimits(NamedTuple):
    """Limits on callers' requests in bytes, and timeouts in seconds.

    Attributes
    ----------
    head_timeout : float
        Without a byte of a request that has begun.
    request_timeout : float
        From the first byte of a request to its last.
    """

    max_head: int = 16384
    max_body: int = 4 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0
    request_timeout: float = math.inf


def widest(first, second):
    """Return the CallerLimits that permit all that either of two permits.

    Examples
    --------
    >>> widest(CallerLimits(1, 2, 3.0, 4.0), CallerLimits(2, 1, 3.0, 5.0))[:4]
    (2, 2, 3.0, 5.0)
    """
    if first is second:
        return first
    return CallerLimits(*map(max, first, second))


def fit_body(limits, *, shares, log):
    """Return limits whose largest body fits into the memory.

    Parameters
    ----------
    limits : CallerLimits
    shares : MemoryShares
    log : DecisionLog
        Gets a line if the limit has to be lower.
    """
    largest = int(shares.largest / GROWTH_COST)
    if limits.max_body <= largest:
        return limits
    log.decision(
        "limits",
        outcome="the largest body does not fit into the memory",
        max_body=limits.max_body,
        used=largest,
    )
    return limits._replace(max_body=largest)


class LimitsInForce:
    """Limits of the latest configurations that callers may know.

    Examples
    --------
    >>> limits = LimitsInForce()
    >>> limits.replace(CallerLimits(idle_timeout=9.0), now=0.0)
    >>> limits.replace(CallerLimits(idle_timeout=1.0), now=5.0)
    >>> [limits.at(now).idle_timeout for now in (6.0, 16.0)]
    [9.0, 1.0]
    """

    def __init__(self):
        self.latest = None
        self.replaced = []  # CallerLimits, time until which they hold

    def replace(self, limits, *, now):
        """Use the limits of a new configuration."""
        if self.latest not in (None, limits):
            self.replaced.append((self.latest, now + CHANGE_SECONDS))
        self.latest = limits

    def at(self, now):
        """Return the widest limits that hold at a time."""
        if self.replaced:
            self.replaced = [entry for entry in self.replaced if entry[1] > now]
        limits = self.latest or CallerLimits()
        for earlier, _until in self.replaced:
            limits = widest(limits, earlier)
        return limits
