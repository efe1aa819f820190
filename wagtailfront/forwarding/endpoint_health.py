"""Endpoint health as observed by an instance's own requests."""

from dataclasses import dataclass, field

__all__ = ["EndpointState", "EndpointHealth"]

FIRST_PAUSE = 0.5  # seconds without new work after a failure
MAX_PAUSE = 4.0  # seconds; an engine that crashed is back after some seconds
BUSY_PAUSE = 0.15  # seconds; a full engine frees a slot within a few steps
FAILURE_WEIGHT = 0.2  # weight of the latest request in the share of failures
MAX_FAILURE_SHARE = 0.25  # share of failures from which others are preferred
SLOWNESS_WEIGHT = 0.1  # weight of the latest prefill in an engine's slowness
MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 8.0  # bounds of one observation
MIN_PREFILL_SECONDS = 0.03  # shorter prefills are mostly call overhead


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
        """Add prompt tokens that wait; a negative count once prefilled."""
        self.pending[priority] = self.pending.get(priority, 0) + tokens

    def record_prefill_time(self, *, expected, took):
        """Record the expected and the actual seconds of a prefill."""
        # The expected time already includes the current slowness.
        observed = self.slowness * took / max(expected, MIN_PREFILL_SECONDS)
        observed = min(MAX_SLOWNESS, max(MIN_SLOWNESS, observed))
        self.slowness += SLOWNESS_WEIGHT * (observed - self.slowness)


class EndpointHealth:
    """Records observations of endpoints and selects usable ones."""

    def __init__(self):
        self.states = {}

    def state(self, incarnation):
        """Return the observations of an incarnation."""
        return self.states.setdefault(incarnation, EndpointState())

    def forget(self, record):
        """Drop the observations of an incarnation that is gone."""
        self.states.pop(record.incarnation, None)

    def record_success(self, record, *, now):
        """Record a response."""
        state = self.state(record.incarnation)
        state.failures_in_row = 0
        state.failure_share *= 1 - FAILURE_WEIGHT
        state.last_response_at = now
        state.avoid_until = min(state.avoid_until, now)

    def record_failure(self, record, *, now):
        """Record a failure; return for how many seconds to avoid it."""
        state = self.state(record.incarnation)
        state.failures_in_row += 1
        state.failure_share += FAILURE_WEIGHT * (1 - state.failure_share)
        pause = min(MAX_PAUSE, FIRST_PAUSE * 2 ** min(state.failures_in_row - 1, 8))
        state.avoid_until = now + pause
        return pause

    def forgive(self, record, *, now):
        """Drop failures that were not the endpoint's own."""
        state = self.state(record.incarnation)
        state.failures_in_row = 0
        state.failure_share = 0.0
        state.avoid_until = min(state.avoid_until, now)

    def record_error(self, record):
        """Record a response with an error status of the endpoint."""
        state = self.state(record.incarnation)
        state.failure_share += FAILURE_WEIGHT * (1 - state.failure_share)

    def record_shed(self, record, *, now):
        """Record that the endpoint shed a request for lack of capacity."""
        state = self.state(record.incarnation)
        state.avoid_until = max(state.avoid_until, now + BUSY_PAUSE)
        state.last_response_at = now

    def usable(self, records, *, now):
        """Return the endpoints to choose from.

        Endpoints that failed recently, or that fail a large share of their
        requests, are left out while there are others.
        """
        available = [r for r in records if self.state(r.incarnation).avoid_until <= now]
        healthy = [
            r
            for r in available
            if self.state(r.incarnation).failure_share < MAX_FAILURE_SHARE
        ]
        return healthy or available or list(records)
