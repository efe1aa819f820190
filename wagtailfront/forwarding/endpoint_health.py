"""Endpoint health as observed by an instance's own requests."""

from collections import defaultdict
from dataclasses import dataclass, field

from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.forwarding.placement import HANDOVER_SECONDS, PREFILL

__all__ = ["EndpointState", "EndpointHealth"]

FIRST_PAUSE = 0.5  # seconds without new work after a failure
MAX_PAUSE = 4.0  # seconds; an engine that crashed is back after some seconds
BUSY_PAUSE = 0.15  # seconds; a full engine frees a slot within a few steps
FAILURE_WEIGHT = 0.2  # weight of the latest request in the share of failures
MAX_FAILURE_SHARE = 0.25  # share of failures from which others are preferred
# Seconds in which the weight of a prefill halves, in the slowness of its own
# engine and in that of all engines like it.
OWN_HALF_LIFE = 2.0
TYPICAL_HALF_LIFE = 10.0
# Nominal seconds of prefills at the typical slowness that are assumed beside
# those observed at an engine.
PRIOR_SECONDS = 0.2
MAX_CHANGE = 8.0  # bound of one observation, as a multiple of the expected time


@dataclass(kw_only=True, slots=True)
class EndpointState:
    """Observations of one incarnation; times in seconds.

    Attributes
    ----------
    prefills : RecentRatio
        Observed time of its prefills relative to their nominal time.
    """

    outstanding: int = 0
    pending: dict[int, int] = field(default_factory=dict)
    prefills: RecentRatio = field(
        default_factory=lambda: RecentRatio(half_life=OWN_HALF_LIFE)
    )
    failures_in_row: int = 0
    failure_share: float = 0.0
    avoid_until: float = 0.0
    last_response_at: float = 0.0

    def add_pending(self, priority, tokens):
        """Add prompt tokens that wait; a negative count once prefilled."""
        self.pending[priority] = self.pending.get(priority, 0) + tokens


class EndpointHealth:
    """Records observations of endpoints and selects usable ones.

    Attributes
    ----------
    typical : dict of (str, str) to RecentRatio
        Slowness of the engines of a service and stage.

    Examples
    --------
    >>> from wagtailfront.forwarding.tests.builders import make_record
    >>> health, engine = EndpointHealth(), make_record("e1", stage="decode")
    >>> health.slowness(engine, now=0.0) is None
    True
    >>> health.state(engine.incarnation).outstanding = 1
    >>> health.record_prefill_time(engine, expected=0.1, took=0.3, now=0.0)
    >>> other = make_record("e2", stage="decode")
    >>> [round(health.slowness(each, now=0.0), 2) for each in (engine, other)]
    [3.0, 3.0]
    """

    def __init__(self):
        self.states = {}
        self.typical = defaultdict(lambda: RecentRatio(half_life=TYPICAL_HALF_LIFE))

    def state(self, incarnation):
        """Return the observations of an incarnation."""
        return self.states.setdefault(incarnation, EndpointState())

    def forget(self, record):
        """Drop the observations of an incarnation that is gone."""
        self.states.pop(record.incarnation, None)

    def slowness(self, record, *, now):
        """Return the time of an engine's prefills by the nominal time.

        None if no prefill of it or of others like it was observed.
        """
        typical = self.typical[record.service, record.stage].value(now=now)
        if typical is None:
            return None
        return self.state(record.incarnation).prefills.value(
            now=now, numerator=typical * PRIOR_SECONDS, denominator=PRIOR_SECONDS
        )

    def record_prefill_time(self, record, *, expected, took, now):
        """Record the expected and the actual seconds of a prefill."""
        if record.incarnation not in self.states or not expected:
            return
        # The expected time already includes the current slowness.
        overhead = HANDOVER_SECONDS if record.stage == PREFILL else 0.0
        slowness = self.slowness(record, now=now) or 1.0
        nominal = max(0.0, expected - overhead) / slowness
        took = max(0.0, min(took, MAX_CHANGE * expected) - overhead)
        self.typical[record.service, record.stage].add(took, nominal, now=now)
        self.state(record.incarnation).prefills.add(took, nominal, now=now)

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
