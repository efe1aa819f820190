"""Interface between requests in progress and the decision modules."""

from typing import NamedTuple, Protocol

from wagtailfront.authority.config_state import EMPTY, Engine
from wagtailfront.authority.engine_marks import EngineTarget, accepts_work
from wagtailfront.outcome import Refused

__all__ = [
    "Choice",
    "Scheduler",
    "LeastOutstandingScheduler",
    "serving_engines",
    "serving_endpoints",
    "no_engine",
    "no_endpoint",
    "unconfirmed",
]

RETRY_SECONDS = 1.0
DEFAULT_CALL_TIME = 0.05  # seconds, while a service has no measured times


class Choice(NamedTuple):
    """Engine for an attempt, what it runs, and how to send the attempt.

    Attributes
    ----------
    expected : float
        Expected seconds until the complete answer, or 0 if unknown.
    """

    engine: Engine
    running: EngineTarget
    priority: int
    expected: float = 0.0


class Scheduler(Protocol):
    """Decides on admission and placement, and observes the outcomes.

    Times are monotonic seconds.
    """

    def configure(self, config):
        """Apply a configuration."""

    def models(self):
        """Return the names of the models and adapters that are served."""

    def service(self, name):
        """Return the plain service of that name, or None."""

    def engine_names(self, request):
        """Return the engines that could run a request."""

    def choose(self, request, *, request_id, attempt, exclude, now):
        """Return a Choice for an attempt, or Refused."""

    def handle_first_token(self, request_id, now):
        """Record the time of a request's first token."""

    def record_progress(self, request_id, tokens, now):
        """Record the number of tokens received so far."""

    def finished(self, request_id, tokens, now):
        """Record that a request completed with `tokens` tokens."""

    def failed(self, request_id, now):
        """Record that an attempt ended without a complete answer."""

    def tick(self, now):
        """Return the requests to move to another engine."""

    def admit_call(self, call, now):
        """Return None to accept a call, or Refused."""

    def choose_endpoint(self, call, *, exclude, now):
        """Return an Endpoint to send a call to, or Refused."""

    def expected_call_time(self, call):
        """Return the usual seconds from a call to its answer."""

    def endpoints_in_use(self, request_id):
        """Return the names of endpoints with an open attempt at a call."""

    def call_started(self, attempt, endpoint, now):
        """Record that a call was sent to an endpoint."""

    def call_ended(self, attempt, *, answered, now):
        """Record the end of a call, and whether it was answered."""


def serving_engines(config):
    """Return the engines that accept new work, by model and adapter.

    It is computed once per configuration: a pass over 1,100 engines for each
    decision would take more time than the decision itself.

    Returns
    -------
    dict of str to list of Engine
    """
    found = {}
    for engine in config.engines.values():
        mark = config.engine_marks[engine.name]
        if accepts_work(engine, mark):
            for name in {mark.running.model, *mark.running.adapters}:
                found.setdefault(name, []).append(engine)
    return found


def serving_endpoints(config, service):
    """Return the endpoints of a plain service that accept new work."""
    return [
        endpoint
        for endpoint in config.endpoints.values()
        if endpoint.service == service and endpoint.state == "serving"
    ]


def no_engine():
    """Return the refusal for a model that no engine serves now."""
    return Refused(
        reason="no engine serves this model now",
        code="no_engine",
        retry_after=RETRY_SECONDS,
    )


def no_endpoint():
    """Return the refusal for a service that no endpoint serves now."""
    return Refused(
        reason="no endpoint serves this service now",
        code="no_endpoint",
        retry_after=RETRY_SECONDS,
    )


def unconfirmed():
    """Return the refusal while the configuration may be out of date."""
    return Refused(
        reason="this instance cannot confirm its configuration now",
        code="config_unconfirmed",
        retry_after=RETRY_SECONDS,
    )


class LeastOutstandingScheduler:
    """Chooses the endpoint with the fewest open requests of this instance."""

    def __init__(self):
        self.config = EMPTY
        self.serving = {}
        self.outstanding = {}

    def configure(self, config):
        self.config = config
        self.serving = serving_engines(config)

    def models(self):
        targets = [mark.running for mark in self.config.engine_marks.values()]
        names = {name for each in targets for name in (each.model, *each.adapters)}
        return sorted(names)

    def service(self, name):
        service = self.config.services.get(name)
        return service if service is not None and service.kind == "plain" else None

    def least_loaded(self, targets, exclude):
        """Return the least loaded target that is not excluded, or None."""
        loads = [target.name for target in self.outstanding.values()]
        allowed = [target for target in targets if target.name not in exclude]
        return min(allowed, key=lambda t: loads.count(t.name), default=None)

    def engine_names(self, request):
        return [engine.name for engine in self.serving.get(request.model, ())]

    def choose(self, request, *, request_id, attempt, exclude, now):
        engine = self.least_loaded(self.serving.get(request.model, ()), exclude)
        if engine is None:
            return no_engine()
        self.outstanding[request_id] = engine
        running = self.config.engine_marks[engine.name].running
        return Choice(engine, running, request.priority)

    def handle_first_token(self, request_id, now):
        pass

    def record_progress(self, request_id, tokens, now):
        pass

    def finished(self, request_id, tokens, now):
        self.outstanding.pop(request_id, None)

    def failed(self, request_id, now):
        self.outstanding.pop(request_id, None)

    def tick(self, now):
        return ()

    def admit_call(self, call, now):
        if self.service(call.service) is None:
            return Refused(reason="no such service", code="not_found")
        return None

    def choose_endpoint(self, call, *, exclude, now):
        endpoints = serving_endpoints(self.config, call.service)
        return self.least_loaded(endpoints, exclude) or no_endpoint()

    def expected_call_time(self, call):
        return DEFAULT_CALL_TIME

    def endpoints_in_use(self, request_id):
        return {
            endpoint.name
            for attempt, endpoint in self.outstanding.items()
            if attempt.startswith(f"{request_id}.")
        }

    def call_started(self, attempt, endpoint, now):
        self.outstanding[attempt] = endpoint

    def call_ended(self, attempt, *, answered, now):
        self.outstanding.pop(attempt, None)
