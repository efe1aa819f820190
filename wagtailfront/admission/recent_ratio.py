"""Ratio of two sums over recent observations."""

__all__ = ["RecentRatio"]

MIN_WEIGHT = 1e-9  # of old observations, so that their ratio stays exact


class RecentRatio:
    """Ratio of two sums in which observations lose weight with their age.

    Larger observations count for more than in a mean of ratios, so the ratios
    of small ones, which vary most, hardly matter.

    Parameters
    ----------
    half_life : float
        Seconds in which the weight of an observation halves.
    prior : float, optional
        Constant part of the denominator: the weight of the assumption that
        the ratio is 0.

    Examples
    --------
    >>> ratio = RecentRatio(half_life=1.0)
    >>> ratio.value(now=0.0) is None
    True
    >>> ratio.add(3.0, 1.0, now=0.0)
    >>> ratio.add(1.0, 1.0, now=0.0)
    >>> ratio.value(now=0.0)
    2.0
    >>> ratio.add(0.0, 1.0, now=1.0)
    >>> ratio.value(now=1.0)
    1.0
    """

    def __init__(self, *, half_life, prior=0.0):
        self.half_life = half_life
        self.prior = prior
        self.numerator = 0.0
        self.denominator = 0.0
        self.updated_at = 0.0

    def add(self, numerator, denominator, *, now):
        """Add an observation."""
        weight = self._weight(now)
        self.numerator = weight * self.numerator + numerator
        self.denominator = weight * self.denominator + denominator
        self.updated_at = now

    def value(self, *, now, numerator=0.0, denominator=0.0):
        """Return the ratio, or None without an observation or a prior.

        Parameters
        ----------
        now : float
        numerator, denominator : float, optional
            Observation that counts for this value only.
        """
        weight = self._weight(now)
        numerator += weight * self.numerator
        denominator += weight * self.denominator + self.prior
        return numerator / denominator if denominator else None

    def _weight(self, now):
        age = max(0.0, now - self.updated_at)
        return max(MIN_WEIGHT, 0.5 ** (age / self.half_life))
