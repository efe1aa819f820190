"""Protection of less urgent requests against starvation."""

from collections import defaultdict

from wagtailfront.admission.recent_ratio import RecentRatio

__all__ = ["FairShare"]

# Share of the requests of a rank that is to be admitted at the least, relative
# to that of all requests: the platform's rules on starved requests.
MIN_RELATIVE_SHARE = 0.25
HALF_LIFE = 1.0  # seconds in which the weight of a decision halves


class FairShare:
    """Raises the rank of some requests of a rank that is starved.

    More urgent requests come first, but while there are enough of them to fill
    the engines for long, no other would be served at all.

    Examples
    --------
    >>> share = FairShare()
    >>> for step in range(20):
    ...     share.record(0, True, now=step * 0.1)
    ...     share.record(1, False, now=step * 0.1)
    >>> [round(share.missing(rank, now=2.0), 3) for rank in (0, 1, 2)]
    [0.0, 0.125, 0.0]
    """

    def __init__(self):
        self.total = RecentRatio(half_life=HALF_LIFE)
        self.by_rank = defaultdict(lambda: RecentRatio(half_life=HALF_LIFE))

    def record(self, rank, is_admitted, *, now):
        """Record a decision on a request by its own rank."""
        for ratio in (self.total, self.by_rank[rank]):
            ratio.add(float(is_admitted), 1.0, now=now)

    def record_raised(self):
        """Record that a request was admitted by its raised rank."""
        self.total.numerator += 1.0

    def record_unserved(self, rank):
        """Record that a request admitted by its own rank was not served."""
        for ratio in (self.total, self.by_rank[rank]):
            ratio.numerator = max(0.0, ratio.numerator - 1.0)

    def missing(self, rank, *, now, min_share=MIN_RELATIVE_SHARE):
        """Return which share of a rank's refused requests is to be raised.

        Parameters
        ----------
        rank : hashable
        now : float
        min_share : float, optional
            Share to be admitted at the least, relative to that of all.
        """
        if rank not in self.by_rank:
            return 0.0
        admitted = self.by_rank[rank].value(now=now)
        missing = min_share * self.total.value(now=now) - admitted
        return missing / (1.0 - admitted) if missing > 0.0 else 0.0

    def highest_rank(self):
        """Return the highest rank of the requests so far."""
        return min(self.by_rank)
