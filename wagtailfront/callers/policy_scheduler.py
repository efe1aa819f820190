"""Scheduler with one routing policy per service."""

import random
import time
from typing import NamedTuple

from wagtailfront.authority.config_state import EMPTY
from wagtailfront.callers import scheduler
from wagtailfront.callers.scheduler import (
    Choice,
    LeastOutstandingScheduler,
    no_endpoint,
    no_engine,
)
from wagtailfront.decisions.outlier_detection import OutlierSettings, SlowDetector
from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.prefix_affinity import chain_hashes
from wagtailfront.decisions.subsetting import subset
from wagtailfront.decisions.work import PIECE_TOKENS, Role, Work
from wagtailfront.outcome import Refused

__all__ = ["PolicyScheduler", "make_work"]

SUBSET_SIZE = 24  # engines of a model that one instance uses
SUBSET_REMOTE = 8  # of these, engines in other data centres
MAX_CANDIDATES = 8  # engines that one decision compares
# Calls of plain services take milliseconds, so the threshold for slow ones is
# lower than that for gaps between tokens.
CALL_OUTLIERS = OutlierSettings(min_gap=0.020)
PROBE_METHODS = ("GET", "HEAD")
PIECE_BYTES = PIECE_TOKENS * 4  # 4 bytes per token, as in completion_request


class _Placed(NamedTuple):
    """Service and engine on which a request runs."""

    service: str
    engine: str


def make_work(request, *, request_id, now):
    """Return the description of a request for the routing policy."""
    prompt = request.prompt
    whole_length = len(prompt) // PIECE_BYTES * PIECE_BYTES
    parts = [prompt[i : i + PIECE_BYTES] for i in range(0, whole_length, PIECE_BYTES)]
    return Work(
        request_id=request_id,
        workspace=request.workspace,
        kind=f"{request.model}/{request.prompt_tokens.bit_length()}",
        model=request.model,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        deadline=now + request.deadline,
        priority=request.priority,
        pieces=tuple(chain_hashes(parts)),
    )


class PolicyScheduler:
    """Places completions by routing policies and calls by load.

    Each service with engines has a routing policy, and each plain service a
    detector of slow endpoints.

    Parameters
    ----------
    rng : random.Random
    instances : int
        Instances that send work to the same engines.
    instance, data_centre : str
        Name and data centre of this instance; they determine the subset
        of engines that it uses in a large fleet.
    clock : callable, optional
    """

    def __init__(
        self,
        *,
        rng=None,
        instances=1,
        instance="instance",
        data_centre="",
        clock=time.monotonic,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.subsets = {}
        self.not_serving = {}
        self.excluded = set()
        self.rng = rng or random.Random()
        self.clock = clock
        self.instances = instances
        self.config = EMPTY
        self.policies = {}
        self.placed = {}
        self.calls = LeastOutstandingScheduler()
        self.call_starts = {}
        self.slow_hints = []
        self.detectors = {}
        self.models = self.calls.models
        self.service = self.calls.service
        self.admit_call = self.calls.admit_call
        self.engine_names = self.calls.engine_names
        self.endpoints_in_use = self.calls.endpoints_in_use

    def configure(self, config):
        """Apply a configuration; observations of engines are retained."""
        self.config = config
        self.calls.configure(config)
        self._choose_subsets()
        by_service = {}
        for engine in config.engines.values():
            by_service.setdefault(engine.service, []).append(engine.name)
        for service, names in by_service.items():
            self._configure_service(service, sorted(names))
        for service in set(self.policies) - set(by_service):
            del self.policies[service]

    def _configure_service(self, service, names):
        old = self.policies.get(service)
        if old is not None and old.engines == names:
            return
        policy = ExpectedFinish(
            engines=names,
            instances=self.instances,
            rng=self.rng,
            candidates=self._candidates,
        )
        if old is not None:
            policy.inherit_state(old)
        self.policies[service] = policy

    def _choose_subsets(self):
        """Choose the engines that this instance uses, per model.

        Instances use different subsets, so that together they use all
        engines. Engines in the instance's own data centre are preferred.
        """
        home = {
            engine.name
            for engine in self.config.engines.values()
            if engine.data_centre == self.data_centre
        }
        self.subsets = {
            model: subset(
                [engine.name for engine in engines],
                key=self.instance,
                size=SUBSET_SIZE,
                home=home,
                remote=SUBSET_REMOTE,
            )
            for model, engines in self.calls.serving.items()
        }
        self.not_serving = {
            model: set(self.config.engines).difference(e.name for e in engines)
            for model, engines in self.calls.serving.items()
        }

    def _candidates(self, work):
        """Return the engines that one decision compares."""
        allowed = [
            name for name in self.subsets[work.model] if name not in self.excluded
        ]
        return self.rng.sample(allowed, min(MAX_CANDIDATES, len(allowed)))

    def set_instances(self, count):
        """Set the number of live instances."""
        self.instances = max(1, count)
        for policy in self.policies.values():
            policy.instances = policy.reserve.instances = self.instances

    def choose(self, request, *, request_id, attempt, exclude, now):
        """Ask the policy of the service whose engines serve the model."""
        engines = self.calls.serving.get(request.model)
        if not engines:
            return no_engine()
        service = engines[0].service
        policy = self.policies[service]
        # Slow engines are left out before the candidates are sampled.
        self.excluded = policy.detector.ejected | set(exclude)
        placement = policy.place(
            make_work(request, request_id=request_id, now=now),
            now=now,
            exclude=self.not_serving[request.model] | set(exclude),
            attempt=attempt,
        )
        if isinstance(placement, Refused):
            return placement
        self.placed[request_id] = _Placed(service, placement.engine)
        running = self.config.engine_marks[placement.engine].running
        engine = self.config.engines[placement.engine]
        expected = policy.fleet.sent[request_id].expected
        return Choice(engine, running, placement.priority, expected)

    def _policy_of(self, request_id):
        placed = self.placed.get(request_id)
        return None if placed is None else self.policies.get(placed.service)

    def handle_first_token(self, request_id, now):
        """Pass the observation to the policy."""
        policy = self._policy_of(request_id)
        if policy is not None:
            policy.handle_first_token(request_id, now=now)

    def record_progress(self, request_id, tokens, now):
        """Pass the observation to the policy."""
        policy = self._policy_of(request_id)
        if policy is not None:
            policy.record_progress(request_id, tokens, now=now)

    def finished(self, request_id, tokens, now):
        """Pass the observation to the policy and forget the request."""
        policy = self._policy_of(request_id)
        self.placed.pop(request_id, None)
        if policy is not None:
            policy.finished(request_id, tokens, now=now)

    def failed(self, request_id, now):
        """Pass the observation to the policy and forget the request."""
        policy = self._policy_of(request_id)
        self.placed.pop(request_id, None)
        if policy is not None:
            policy.failed(request_id, now=now)

    def tick(self, now):
        """Return the requests to move, and store new hints for peers."""
        actions = [policy.tick(now=now) for policy in self.policies.values()]
        self.slow_hints = [name for each in actions for name in each.slow_hints]
        for detector in self.detectors.values():
            detector.evaluate(now=now)
        return [request_id for each in actions for request_id in each.moves]

    def ejected(self):
        """Return the names of the engines and endpoints found slow."""
        detectors = [
            *(policy.detector for policy in self.policies.values()),
            *self.detectors.values(),
        ]
        return set().union(*(detector.ejected for detector in detectors))

    def handle_load_report(self, engine, report, now):
        """Pass an engine's load report to the policy.

        Every engine counts as mixed and gets whole requests, since KV caches
        are not transferred between engines here.
        """
        report = report._replace(role=Role.MIXED)
        entry = self.config.engines.get(engine)
        if entry is not None:
            self.policies[entry.service].handle_load_report(engine, report, now=now)

    def handle_slow_hint(self, engine, peer, now):
        """Pass a peer's hint that an engine is slow to the policy."""
        entry = self.config.engines.get(engine)
        if entry is not None:
            self.policies[entry.service].handle_slow_hint(engine, peer, now=now)

    def choose_endpoint(self, call, *, exclude, now):
        """Return the least loaded endpoint, if possible one that is not slow.

        An idempotent read may go to a slow endpoint as a probe.
        """
        endpoints = scheduler.serving_endpoints(self.config, call.service)
        detector = self._detector(call.service, len(endpoints))
        probe = detector.probe_due(now=now)
        # Only reads probe a slow endpoint, never calls with side effects.
        if call.method in PROBE_METHODS and probe is not None and probe not in exclude:
            found = [endpoint for endpoint in endpoints if endpoint.name == probe]
            if found:
                return found[0]
        slow = detector.ejected | set(exclude)
        return (
            self.calls.least_loaded(endpoints, slow)
            or self.calls.least_loaded(endpoints, exclude)
            or no_endpoint()
        )

    def _detector(self, service, size):
        detector = self.detectors.get(service)
        if detector is None or detector.group_size != size:
            detector = SlowDetector(group_size=size, settings=CALL_OUTLIERS)
            self.detectors[service] = detector
        return detector

    def expected_call_time(self, call):
        """Return the median seconds of a call to the service's endpoints."""
        detector = self.detectors.get(call.service)
        median = detector.median_gap(self.clock()) if detector else None
        return median or self.calls.expected_call_time(call)

    def call_started(self, attempt, endpoint, now):
        """Count a call, as a probe if its endpoint is ejected."""
        self.calls.call_started(attempt, endpoint, now)
        self.call_starts[attempt] = (endpoint, now)
        detector = self.detectors[endpoint.service]
        if endpoint.name in detector.ejected:
            detector.probe_sent(endpoint.name, attempt)

    def call_ended(self, attempt, *, answered, now):
        """Compare the call's time with those of the other endpoints."""
        self.calls.call_ended(attempt, answered=answered, now=now)
        endpoint, started = self.call_starts.pop(attempt)
        detector = self.detectors[endpoint.service]
        seconds = now - started
        state = detector.engines.get(endpoint.name)
        if state is not None and state.probe == attempt:
            is_good = answered and detector.probe_gap_is_good(seconds, now=now)
            detector.probe_ended(endpoint.name, is_good=is_good, now=now)
        elif answered:
            detector.observe_gap(endpoint.name, seconds, now=now)
        else:
            detector.observe_silence(endpoint.name, now=now)
