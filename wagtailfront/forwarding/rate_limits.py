"""Rate limits that endpoints name for all instances together."""

import math
from typing import NamedTuple

from wagtailfront.decisions.subsetting import ranked
from wagtailfront.membership.messages import EndpointRate

__all__ = ["RateLimits"]

# Senders to an endpoint beyond one for each request per second of its limit.
# Few senders keep the error small while instances disagree about the fleet;
# several keep an endpoint in use when one of them has no requests.
EXTRA_SENDERS = 2
BURST_SECONDS = 0.25  # seconds of an unused share that may be sent at once
# Requests per second to an endpoint whose limit permits fewer: only an answer
# shows that a limit has ended.
PROBE_RATE = 0.25
ENDED_REPORT_SECONDS = 10.0  # seconds for which the end of a limit is reported


class _Observation(NamedTuple):
    """What an endpoint said last.

    Attributes
    ----------
    rate : float or None
        Requests per second of all instances; None if it names no limit.
    at : float
        When it said so, in seconds.
    is_own : bool
        Whether this instance got the answer, so that it tells the peers.
    """

    rate: float | None
    at: float
    is_own: bool


class RateLimits:
    """Rate limits by incarnation of an endpoint, and this instance's shares.

    Parameters
    ----------
    fleet : FleetLoad
    log : DecisionLog

    Notes
    -----
    An endpoint in need names its limit in each answer, for as long as it
    holds. An answer without a limit ends it if the request was sent after
    the limit was last named: answers on different connections may overtake
    each other. Of what several instances heard, the latest counts.

    Rendezvous hashing gives each limited endpoint a few senders among the
    live instances, each with an equal share; no other instance sends to it.
    An instance that has lost touch with a part of the fleet scales its share
    down by that part, so the sum over the parts of a divided fleet stays
    below the limit. An endpoint whose limit is 0 gets a request now and then
    from one instance, as no answer would end the limit otherwise.

    Examples
    --------
    >>> from wagtailfront.forwarding.endpoint_health import EndpointHealth
    >>> from wagtailfront.forwarding.fleet_load import FleetLoad
    >>> from wagtailfront.observe.decision_log import DecisionLog
    >>> health = EndpointHealth()
    >>> fleet = FleetLoad(incarnation="a", address="a:7", health=health)
    >>> fleet.instances = 1
    >>> log = DecisionLog(instance="a", write=len)
    >>> limits = RateLimits(fleet=fleet, log=log)
    >>> limits.record_answer("e1/1", 2.0, sent=0.0, now=0.0)
    >>> [limits.reserve("e1/1", now=1.0) for _ in range(3)]
    [0.0, 0.25, 0.75]
    """

    def __init__(self, *, fleet, log):
        self.fleet = fleet
        self.log = log
        self.observations = {}
        self.unreported = set()
        self.slots = {}  # latest reserved time, by incarnation
        self.without_share = frozenset()  # incarnations left to other instances
        self.basis = None  # what `without_share` was determined from

    def limit(self, incarnation):
        """Return an endpoint's limit in requests per second, or None."""
        observation = self.observations.get(incarnation)
        return None if observation is None else observation.rate

    def count_limited(self):
        """Return the number of endpoints that name a limit."""
        return sum(each.rate is not None for each in self.observations.values())

    # Observations

    def record_answer(self, incarnation, rate, *, sent, now):
        """Record the limit in an answer, None if it names none.

        Parameters
        ----------
        sent : float
            When the request was sent.
        """
        known = self.observations.get(incarnation)
        if rate is None and (known is None or sent < known.at):
            return
        if self._observe(incarnation, _Observation(rate, now, True)):
            self.unreported.add(incarnation)

    def merge(self, reports, *, now):
        """Apply what a peer reports; see `make_report`."""
        for report in reports:
            observation = _Observation(report.rate, now - report.age, False)
            known = self.observations.get(report.endpoint)
            if known is None or known.at < observation.at:
                self._observe(report.endpoint, observation)

    def make_report(self, *, now, full):
        """Return what peers have to know, as a tuple of EndpointRate.

        Parameters
        ----------
        full : bool
            Include what has been reported before.
        """
        reports = tuple(
            EndpointRate(incarnation, each.rate, max(0.0, now - each.at))
            for incarnation, each in self.observations.items()
            if each.is_own
            and (each.rate is not None or now - each.at < ENDED_REPORT_SECONDS)
            and (full or incarnation in self.unreported)
        )
        self.unreported.clear()
        return reports

    def _observe(self, incarnation, observation):
        before = self.limit(incarnation)
        self.observations[incarnation] = observation
        if observation.rate == before:
            return False
        self.basis = None
        if before is None:
            # The share is earned from now on.
            self.slots[incarnation] = observation.at
        self.log.decision(
            "rate_limit",
            outcome="ended" if observation.rate is None else "named",
            endpoint=incarnation,
            rate=observation.rate,
            before=before,
            is_own=observation.is_own,
        )
        return True

    def forget(self, record):
        """Drop what an incarnation that is gone has said."""
        self.observations.pop(record.incarnation, None)
        self.unreported.discard(record.incarnation)
        self.slots.pop(record.incarnation, None)
        self.without_share -= {record.incarnation}

    # Shares

    def share(self, incarnation, *, now):
        """Return the requests per second that this instance may send.

        Infinite if the endpoint names no limit, and 0 for an instance that
        is not one of its senders or does not know the fleet yet.
        """
        rate = self.limit(incarnation)
        if rate is None:
            return math.inf
        live = self.fleet.live_addresses(now=now)
        count = int(rate) + EXTRA_SENDERS if rate > PROBE_RATE else 1
        senders = ranked(live, key=incarnation)[:count]
        if not self.fleet.instances or self.fleet.address not in senders:
            return 0.0
        in_touch = min(1.0, len(live) / self.fleet.instances)
        return max(rate, PROBE_RATE) * in_touch / len(senders)

    def update_shares(self, *, now):
        """Let a share that comes later be earned from then on.

        Call it regularly: time since the last call counts as earned.
        """
        basis = (self.fleet.live_addresses(now=now), self.fleet.instances)
        if basis != self.basis:
            self.basis = basis
            self.without_share = frozenset(
                incarnation
                for incarnation in self.observations
                if not self.share(incarnation, now=now)
            )
        for incarnation in self.without_share:
            self.slots[incarnation] = max(now, self.slots.get(incarnation, now))

    def wait(self, incarnation, *, now):
        """Return the seconds until this instance may send a request.

        Infinite if the endpoint is left to other instances.
        """
        if incarnation not in self.observations:
            return 0.0
        return max(0.0, self._next_slot(incarnation, now) - now)

    def reserve(self, incarnation, *, now):
        """Reserve the next request; return the seconds to wait for it."""
        slot = self._next_slot(incarnation, now)
        if self.limit(incarnation) is not None and slot < math.inf:
            self.slots[incarnation] = slot
        return max(0.0, slot - now)

    def _next_slot(self, incarnation, now):
        """Return when the next request may be sent."""
        share = self.share(incarnation, now=now)
        if share == math.inf:
            return now
        if not share:
            return math.inf
        slot = self.slots.get(incarnation, now) + 1 / share
        return max(slot, now - BURST_SECONDS)
