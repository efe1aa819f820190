"""Intervals between calls to the store, by the size of the fleet."""

__all__ = ["FleetPace"]

# Largest fleet that uses the base interval; a larger fleet makes as many calls
# in total as this one.
REFERENCE_INSTANCES = 3
MAX_SECONDS = 25.0  # the store's watches wait for 30 s at most
JITTER = 0.3  # share by which intervals vary, so that peers do not call at once


class FleetPace:
    """Stretches intervals so that the fleet's calls do not grow with it.

    The store's limit on calls does not grow with the fleet. The first
    instance that reads a change reports its version to the peers, which read
    it at once, so changes are detected as early as in a small fleet.

    Parameters
    ----------
    count_peers : callable
        Returns the number of peers that reported recently.
    rng : random.Random

    Examples
    --------
    >>> import random
    >>> pace = FleetPace(count_peers=lambda: 29, rng=random.Random(1))
    >>> 8.4 <= pace.stretch(1.2) <= 12.0
    True
    >>> FleetPace(count_peers=lambda: 2, rng=random.Random(1)).stretch(1.2)
    1.2
    """

    def __init__(self, *, count_peers, rng):
        self.count_peers = count_peers
        self.rng = rng

    def spread(self, seconds):
        """Return a random delay, so that all instances do not call at once.

        Parameters
        ----------
        seconds : float
            Upper limit of the result.
        """
        return self.rng.uniform(0, seconds)

    def stretch(self, seconds, *, max_seconds=MAX_SECONDS):
        """Return an interval of a small fleet adapted to the present size.

        Parameters
        ----------
        seconds : float
            Interval of a small fleet.
        max_seconds : float, optional
            Upper limit of the result.
        """
        instances = self.count_peers() + 1
        if instances <= REFERENCE_INSTANCES:
            return seconds
        stretched = min(max_seconds, seconds * instances / REFERENCE_INSTANCES)
        return max(seconds, stretched * self.rng.uniform(1 - JITTER, 1))
