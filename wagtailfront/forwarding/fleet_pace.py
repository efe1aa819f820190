"""How often an instance asks the store, given the size of the fleet."""

__all__ = ["FleetPace"]

# Instances that ask at the base interval; a larger fleet as a whole asks as
# often as this many.
REFERENCE_INSTANCES = 3
MAX_SECONDS = 25.0  # the store's watches wait for 30 s at most
JITTER = 0.3  # share by which intervals differ, so that peers do not coincide


class FleetPace:
    """Stretches intervals so that the fleet's calls do not grow with it.

    Answers a fleet that grows while the store's limit on calls stays. What
    one instance learns, the others hear of and read at once, so a change is
    noticed as soon as in a small fleet.

    Parameters
    ----------
    count_peers : callable
        Returns how many peers were heard of lately.
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

    def stretch(self, seconds, *, most=MAX_SECONDS):
        """Return the interval to use in place of one of a small fleet.

        Parameters
        ----------
        seconds : float
        most : float, optional
            Upper limit in seconds, where more would be late.
        """
        instances = self.count_peers() + 1
        if instances <= REFERENCE_INSTANCES:
            return seconds
        stretched = min(most, seconds * instances / REFERENCE_INSTANCES)
        return max(seconds, stretched * self.rng.uniform(1 - JITTER, 1))
