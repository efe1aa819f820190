"""What an instance's own requests tell about endpoints."""

from dataclasses import dataclass, field

__all__ = ["EndpointState", "EndpointHealth"]

FIRST_PAUSE = 0.5  # seconds without new work after a failure
MAX_PAUSE = 4.0  # seconds; an engine that crashed is back after some seconds
BUSY_PAUSE = 0.15  # seconds; a full engine frees a place within a few steps
FAILURE_WEIGHT = 0.2  # of the latest request in the share of failures
GREY_SHARE = 0.25  # of failures above which others are preferred
SLOWNESS_WEIGHT = 0.1  # of the latest read in an engine's slowness
MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 8.0  # bounds of one observation
MIN_READ = 0.03  # seconds; shorter reads are mostly the time of the call


@dataclass(kw_only=True, slots=True)
class EndpointState:
    """Observations of one incarnation; times in seconds."""

    outstanding: int = 0
    pending: dict[int, int] = field(default_factory=dict)
    slowness: float = 1.0
    failures_in_row: int = 0
    failure_share: float = 0.0
    avoid_until: float = 0.0
    last_response_at: float = 0.0

    def add_pending(self, priority, tokens):
        """Count prompt tokens that wait; negative once they are read."""
        self.pending[priority] = self.pending.get(priority, 0) + tokens

    def record_prefill_time(self, *, expected, took):
        """Note how long a read took, both in seconds."""
        # The expected time holds the present slowness already.
        seen = self.slowness * took / max(expected, MIN_READ)
        seen = min(MAX_SLOWNESS, max(MIN_SLOWNESS, seen))
        self.slowness += SLOWNESS_WEIGHT * (seen - self.slowness)


class EndpointHealth:
    """Keeps the observations and ranks endpoints by them."""

    def __init__(self):
        self.states = {}

    def state(self, incarnation):
        """Return the observations of an incarnation."""
        return self.states.setdefault(incarnation, EndpointState())

    def forget(self, record):
        """Drop the observations of an incarnation that is gone."""
        self.states.pop(record.incarnation, None)

    def record_success(self, record, *, now):
        """Note an answer."""
        state = self.state(record.incarnation)
        state.failures_in_row = 0
        state.failure_share *= 1 - FAILURE_WEIGHT
        state.last_response_at = now
        state.avoid_until = min(state.avoid_until, now)

    def record_failure(self, record, *, now):
        """Note a failure; return the seconds for which it is avoided."""
        state = self.state(record.incarnation)
        state.failures_in_row += 1
        state.failure_share += FAILURE_WEIGHT * (1 - state.failure_share)
        pause = min(MAX_PAUSE, FIRST_PAUSE * 2 ** min(state.failures_in_row - 1, 8))
        state.avoid_until = now + pause
        return pause

    def record_error(self, record):
        """Note an answer that says that the endpoint failed."""
        state = self.state(record.incarnation)
        state.failure_share += FAILURE_WEIGHT * (1 - state.failure_share)

    def record_shed(self, record, *, now):
        """Note that the endpoint had no room."""
        state = self.state(record.incarnation)
        state.avoid_until = max(state.avoid_until, now + BUSY_PAUSE)
        state.last_response_at = now

    def usable(self, records, *, now):
        """Return the endpoints to choose from, best group first.

        Endpoints that failed lately are left out while there are others.
        """
        open_records = [
            r for r in records if self.state(r.incarnation).avoid_until <= now
        ]
        sound = [
            r
            for r in open_records
            if self.state(r.incarnation).failure_share < GREY_SHARE
        ]
        return sound or open_records or list(records)
