"""What an instance knows of room at engines, for all of its requests."""

from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.decisions.length_prediction import LengthPredictor
from wagtailfront.room.waiting_requests import WaitingRequests

__all__ = ["RoomControl"]

HOLD_HALF_LIFE = 2.0  # seconds in which the weight of an ended request halves


class RoomControl:
    """Holds what requests take, how long they are, and who waits for room.

    Parameters
    ----------
    load : FleetLoad
    timers : Timers
    clock : callable

    Attributes
    ----------
    use : FleetUse
    lengths : LengthPredictor
        Of outputs, by workspace and route.
    """

    def __init__(self, *, load, timers, clock):
        self.load = load
        self.use = load.use
        self.timers = timers
        self.clock = clock
        self.lengths = LengthPredictor()
        self.waiting = WaitingRequests(
            incarnation=load.incarnation, timers=timers, clock=clock
        )
        self.holds = {}

    def record_hold(self, service, *, tokens, seconds):
        """Record that a request has held memory for some seconds."""
        holds = self.holds.setdefault(service, RecentRatio(half_life=HOLD_HALF_LIFE))
        holds.add(tokens * seconds, tokens, now=self.clock())

    def hold_seconds(self, service):
        """Return the mean seconds for which a token is held, or None."""
        holds = self.holds.get(service)
        return None if holds is None else holds.value(now=self.clock())
