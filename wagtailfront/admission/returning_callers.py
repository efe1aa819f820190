"""Places in the queue for refused callers that were told when to return."""

from typing import NamedTuple

__all__ = ["Place", "ReturningCallers"]


class Place(NamedTuple):
    """Place of a caller that is to return; times in seconds.

    Attributes
    ----------
    priority : int
        Rank of its request, 0 for the most urgent.
    latest_start : float
        Time by which work on its request must begin.
    work : float
        Engine time that its request takes.
    returns_at : float
    """

    priority: int
    latest_start: float
    work: float
    returns_at: float

    @property
    def order(self):
        """Return a key that is smaller the earlier the request is served."""
        return self.priority, self.latest_start


class ReturningCallers:
    """Keeps a place for each refused caller until it returns.

    Without it, requests that arrive in the meantime take the room that a
    caller was told of, and under overload hardly any caller that returns is
    served.

    Notes
    -----
    A caller returns to any instance, with a new request that names no earlier
    one. An instance therefore keeps the places of the callers that it refused
    itself, and takes those that return to it to be as many. A place counts
    only against requests that come after it in order: the more urgent first,
    then those with the least time to spare. A caller that returns has less of
    it than one of the same kind that comes for the first time.

    Examples
    --------
    >>> callers = ReturningCallers()
    >>> callers.keep(Place(1, latest_start=9.0, work=0.2, returns_at=3.0))
    >>> [callers.work_before((1, start), now=2.0) for start in (8.0, 10.0)]
    [0, 0.2]
    >>> callers.work_before((1, 10.0), now=3.0)
    0
    """

    def __init__(self):
        self.places = []

    def keep(self, place):
        """Keep a Place until its caller returns."""
        self.places.append(place)

    def work_before(self, order, *, now):
        """Return the work of callers still to return that come before."""
        self.places = [place for place in self.places if place.returns_at > now]
        return sum(place.work for place in self.places if place.order < order)
