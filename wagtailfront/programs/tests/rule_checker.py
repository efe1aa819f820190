"""Checks of what callers and endpoints saw of a fleet of instances."""

from collections import Counter, defaultdict
from typing import NamedTuple

__all__ = ["ONCE_PREFIX", "RuleChecker", "Violation"]

# Seconds from the acknowledgement of a change until it is in force.
DRAIN_SECONDS = CONFIG_SECONDS = 2.0
# Seconds from the end of a disruption until instances are in touch again.
STABLE_WINDOW = 3.0
REFUSED_AS_WRONG = range(400, 405)
NOT_RUN = (408, 421, 429, 503)  # statuses that say so
ONCE_PREFIX = "/order"  # of requests that must not repeat


class Violation(NamedTuple):
    """A broken rule, `after` so many seconds beyond what is allowed."""

    rule: str
    request: str
    instance: str
    after: float


class RuleChecker:
    """Collects what was seen and finds broken rules; times in seconds.

    Examples
    --------
    >>> checker = RuleChecker()
    >>> checker.record_departure("e1", at=10.0)
    >>> checker.record_request("r1", "i1", "/a/", at=12.5)
    >>> checker.record_arrival("r1", "e1")
    >>> [violation.rule for violation in checker.find_violations()]
    ['DRAIN']
    """

    def __init__(self):
        self.disrupted_at = None
        self.departures = {}
        self.routes = {}
        self.requests = {}
        self.arrivals = []
        self.statuses = {}
        self.versions = defaultdict(set)
        self.foreign = set()

    def record_disruption(self, *, at):
        """Record a disruption of all instances."""
        self.disrupted_at = at

    def record_departure(self, endpoint, *, at):
        """Record that an endpoint is draining or gone."""
        self.departures[endpoint] = at

    def record_route(self, prefix, *, at):
        """Record that the store has acknowledged a route."""
        self.routes[prefix] = at

    def record_request(self, request, instance, path, *, at):
        """Record that a caller sends a request."""
        self.requests[request] = (at, instance, path)

    def record_arrival(self, request, endpoint):
        """Record that a request has reached an endpoint."""
        self.arrivals.append((request, endpoint))

    def record_status(self, request, status):
        """Record how a request was answered."""
        self.statuses[request] = status

    def record_event(self, stream, version, request):
        """Record the software version of an event of a stream."""
        self.versions[stream].add((version, request))

    def _bound(self, acknowledged, seconds):
        bound = acknowledged + seconds
        if self.disrupted_at is not None:
            bound = max(bound, self.disrupted_at + STABLE_WINDOW)
        return bound

    def find_violations(self):
        """Return all violations, in no order."""
        return [
            *self._late_arrivals(),
            *self._denials(),
            *self._mixed_streams(),
            *self._repeated_runs(),
            *self._false_refusals(),
            *self._foreign_answers(),
        ]

    def record_answer(self, request, data):
        """Record the bytes of an answer, its head included."""
        if data and request.encode() not in data and self.statuses[request] == 200:
            self.foreign.add(request)

    def _runs(self):
        """Return how often each request that must not repeat has run."""
        return Counter(
            request
            for request, _endpoint in self.arrivals
            if self.requests[request][2].startswith(ONCE_PREFIX)
        )

    def _repeated_runs(self):
        for request, runs in self._runs().items():
            if runs > 1:
                yield Violation("TWICE", request, self.requests[request][1], 0.0)

    def _false_refusals(self):
        for request in self._runs():
            if self.statuses.get(request) in NOT_RUN:
                yield Violation("REFUSED", request, self.requests[request][1], 0.0)

    def _foreign_answers(self):
        for request in self.foreign:
            yield Violation("MIXED", request, self.requests[request][1], 0.0)

    def _late_arrivals(self):
        for request, endpoint in self.arrivals:
            at, instance, _path = self.requests[request]
            if endpoint in self.departures:
                after = at - self._bound(self.departures[endpoint], DRAIN_SECONDS)
                if after > 0:
                    yield Violation("DRAIN", request, instance, after)

    def _denials(self):
        for request, status in self.statuses.items():
            at, instance, path = self.requests[request]
            prefix = max(filter(path.startswith, self.routes), key=len, default=None)
            if status in REFUSED_AS_WRONG and prefix is not None:
                after = at - self._bound(self.routes[prefix], CONFIG_SECONDS)
                if after > 0:
                    yield Violation("DENIED", request, instance, after)

    def _mixed_streams(self):
        for stream, events in self.versions.items():
            if len({version for version, _request in events}) > 1:
                request = max(request for _version, request in events)
                _at, instance, _path = self.requests[request]
                yield Violation("ORDER", stream, instance, 0.0)
