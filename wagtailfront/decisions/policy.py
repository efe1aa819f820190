"""Routing policy that combines the decision modules for one instance."""

from typing import NamedTuple

from wagtailfront.decisions.admission import Admission, aged_priority
from wagtailfront.decisions.engine_view import FleetView, NominalCosts, SentRequest
from wagtailfront.decisions.length_prediction import LengthPredictor
from wagtailfront.decisions.outlier_detection import SlowDetector
from wagtailfront.decisions.prefill_rotation import PrefillRotation
from wagtailfront.decisions.prefix_affinity import PrefixMap
from wagtailfront.decisions.reservation import MovingRate, ShortReserve
from wagtailfront.decisions.routing import (
    Actions,
    FleetState,
    Placement,
    expected_seconds,
    near_best,
)
from wagtailfront.decisions.stream_watch import StreamWatch
from wagtailfront.decisions.work import Role, Size
from wagtailfront.outcome import Refused

__all__ = ["PolicySettings", "ExpectedFinish"]

# Averaging time of the prompt tokens sent; short relative to a demand peak.
RATE_SECONDS = 5.0
# Upper bound of the peers whose load is assumed to be distributed like own
# load; with more of them, own requests are too few to estimate it.
MAX_CORRELATED_PEERS = 8
RETRY_WITHOUT_ENGINE_SECONDS = 2.0


class PolicySettings(NamedTuple):
    """Settings of the routing policy.

    Attributes
    ----------
    long_prefill : int
        Uncached prompt tokens from which work is long.
    short_prefill : int
        Uncached prompt tokens up to which work is short.
    long_penalty, short_bonus : int
        Amounts by which the priority sent to the engine is lowered for long
        and raised for short work.
    reserve_utilisation : float
        Utilisation of a reserved engine by short work above which one more
        engine is reserved.
    reserve_window : float
        Seconds over which the short work is averaged.
    long_utilisation : float
        Utilisation of the engines open to long work above which one more is
        opened.
    min_open : float
        Share of the engines that are always open to long work.
    """

    long_prefill: int = 8_000
    short_prefill: int = 1_000
    long_penalty: int = 2
    short_bonus: int = 1
    reserve_utilisation: float = 0.5
    reserve_window: float = 30.0
    long_utilisation: float = 0.7
    min_open: float = 0.33


class ExpectedFinish:
    """Sends each request to an engine where it should finish earliest.

    Parameters
    ----------
    engines : sequence of str
        All engines of the service.
    instances : int
        Number of instances that send requests to them.
    rng : random.Random
    candidates : callable or None
        Maps Work to the engines to compare, in a fleet too large to compare
        all; None compares all.
    costs : NominalCosts
    settings : PolicySettings

    Examples
    --------
    >>> import random
    >>> from wagtailfront.decisions.work import Work
    >>> policy = ExpectedFinish(
    ...     engines=["e1", "e2"], instances=1, rng=random.Random(1))
    >>> work = Work("r1", "shop", "label", 300, 50, deadline=10.0)
    >>> policy.place(work, now=0.0).engine in ("e1", "e2")
    True
    """

    def __init__(
        self,
        *,
        engines,
        instances,
        rng,
        candidates=None,
        costs=None,
        settings=None,
        admission=None,
        detector=None,
    ):
        self.engines = list(engines)
        self.instances = instances
        self.rng = rng
        self.candidates = candidates or (lambda work: self.engines)
        self.costs = costs or NominalCosts()
        self.settings = settings or PolicySettings()
        self.fleet = FleetView(engines=self.engines)
        self.lengths = LengthPredictor()
        self.prefixes = PrefixMap()
        self.admission = admission or Admission(rng=rng)
        self.detector = detector or SlowDetector(group_size=len(self.engines))
        self.reserve = ShortReserve(
            engines=self.engines, instances=instances, settings=self.settings
        )
        self.prefill_rates = [MovingRate(RATE_SECONDS) for _ in Size]
        self.prefill_rotation = PrefillRotation()
        self.watch = StreamWatch(detector=self.detector)
        self.long_busy_share = 0.0

    def inherit_state(self, old):
        """Copy the observations of a policy for another set of engines.

        Requests on engines of both sets stay counted until they end.
        """
        self.lengths = old.lengths
        self.prefixes = old.prefixes
        self.admission = old.admission
        self.watch.windows = old.watch.windows
        self.fleet.sent = {
            request_id: sent
            for request_id, sent in old.fleet.sent.items()
            if sent.engine in self.fleet.views
        }
        for name in self.fleet.views.keys() & old.fleet.views.keys():
            self.fleet.views[name] = old.fleet.views[name]
        for name, state in old.detector.engines.items():
            if name in self.fleet.views:
                self.detector.engines[name] = state
        self.detector.ejected = old.detector.ejected & self.fleet.views.keys()

    def place(self, work, *, now, exclude=(), attempt=1):
        """Choose an engine; reject a first attempt that would be late."""
        length = self.lengths.predict(work.workspace, work.kind, work.max_tokens)
        probe = self._probe(work, length, now, exclude) if attempt == 1 else None
        if probe is not None:
            return probe
        options = self._options(work, length, now, exclude)
        if not options:
            return self._no_engine()
        score, sent = near_best(options, self.rng)
        if attempt == 1:
            refused = self.admission.decide(
                work, cost=self._cost(sent), expected=score, now=now
            )
            if refused is not None:
                return refused
        return self._send(sent, now)

    def place_decode(self, work, *, now):
        """Choose the engine that decodes after prefill on another one."""
        length = self.lengths.predict(work.workspace, work.kind, work.max_tokens)
        options = self._options(work, length, now, (), is_decode=True)
        if not options:
            return self._no_engine()
        return self._send(near_best(options, self.rng)[1], now)

    def handle_first_token(self, request_id, *, now):
        """Record the first token; the engine has now cached the prompt."""
        sent = self.fleet.handle_first_token(request_id, now)
        if sent is not None:
            self.prefixes.record_prompt(sent.engine, sent.work.pieces, now=now)
            self.watch.started(sent, now)

    def record_progress(self, request_id, tokens, *, now):
        """Measure the gap between tokens over the last window."""
        sent = self.fleet.sent.get(request_id)
        if sent is not None:
            self.watch.record_progress(sent, tokens, now)

    def finished(self, request_id, tokens, *, now):
        """Update the estimates with a complete answer."""
        sent = self._forget(request_id)
        if sent is None:
            return
        work = sent.work
        self.lengths.observe(work.workspace, work.kind, tokens)
        if sent.is_probe:
            self.detector.probe_ended(sent.engine, is_good=True, now=now)
        else:
            actual = now - sent.at
            self.fleet.observe_residence(actual)
            self.fleet.views[sent.engine].observe_latency(
                expected=sent.expected, actual=actual
            )
            self.admission.observe(
                work.kind,
                expected=sent.expected,
                actual=actual,
                timeout=work.deadline - sent.at,
            )

    def failed(self, request_id, *, now):
        """Stop counting a request that its engine did not run."""
        sent = self._forget(request_id)
        if sent is None:
            return
        self.prefixes.forget(sent.engine)
        if sent.is_probe:
            self.detector.probe_ended(sent.engine, is_good=False, now=now)

    def handle_load_report(self, engine, report, *, now):
        """Handle an engine's load report."""
        self.fleet.handle_report(engine, report)

    def handle_cache_events(self, engine, events, *, now):
        """Handle an engine's cache events."""
        self.prefixes.apply(engine, events, now=now)

    def handle_slow_hint(self, engine, peer, *, now):
        """Handle a peer's hint that an engine is slow."""
        self.detector.record_hint(engine, peer, now=now)

    def tick(self, *, now):
        """Eject slow engines and return the requests to move off them."""
        self.fleet.record_own_load(now)
        self.reserve.update(
            now, long_work=self.fleet.long_work(), ejected=self.detector.ejected
        )
        self.long_busy_share = self.fleet.prefill_busy(without=self.reserve.reserved)
        moves = self.watch.fail_slow_probes(self.fleet, now)
        for engine in self.detector.evaluate(now=now):
            moves += list(self.fleet.views[engine].own)
        return Actions(tuple(moves), tuple(self.watch.due_hints(now)))

    def _options(self, work, length, now, exclude, *, is_decode=False):
        unwanted = Role.PREFILL if is_decode else Role.DECODE
        state = self._fleet_state(now)
        options = [
            self._option(view, work, length, now, state, is_decode)
            for view in map(self.fleet.views.get, self.candidates(work))
            if view.available
            and view.role is not unwanted
            and view.name not in exclude
            and view.name not in self.detector.ejected
        ]
        open_to_long = [
            option
            for option in options
            if option[1].size is not Size.LONG or option[1].engine not in state.reserved
        ]
        options = open_to_long or options
        if is_decode:
            return options
        return self.prefill_rotation.narrow(options, self.fleet.views, now=now)

    def _fleet_state(self, now):
        return FleetState(
            growth=self.fleet.growth(),
            report_weight=self.fleet.report_weight(now),
            busy=self.long_busy_share,
            reserved=self.reserve.reserved,
            peers=min(self.instances - 1, MAX_CORRELATED_PEERS),
            shorter_utilisation=self._shorter_utilisation(now),
        )

    def _shorter_utilisation(self, now):
        """Return the share of prefill capacity that shorter work takes."""
        costs = self.costs
        step = costs.step_base + costs.chunk_seconds
        capacity = len(self.engines) * costs.chunk_tokens / step / self.instances
        rates = [rate.value(now) / capacity for rate in self.prefill_rates]
        return (0.0, rates[Size.SHORT], rates[Size.SHORT] + rates[Size.MEDIUM])

    def _size(self, prefill):
        if prefill >= self.settings.long_prefill:
            return Size.LONG
        is_short = prefill <= self.settings.short_prefill
        return Size.SHORT if is_short else Size.MEDIUM

    def _option(self, view, work, length, now, state, is_decode):
        """Return the expected seconds on an engine, and the request for it."""
        cached = self.prefixes.cached_tokens(view.name, work.pieces, now=now)
        prefill = 0 if is_decode else max(1, work.prompt_tokens - cached)
        size = self._size(prefill)
        score = expected_seconds(
            view,
            self.costs,
            prefill=prefill,
            output=length.expected,
            size=size,
            fleet=state,
        )
        sent = SentRequest(
            work=work,
            engine=view.name,
            at=now,
            prefill_tokens=prefill,
            output_tokens=length.expected,
            expected=score,
            size=size,
        )
        return score, sent

    def _probe(self, work, length, now, exclude):
        """Place short work as the probe of an ejected engine if one is due."""
        if work.prompt_tokens > self.settings.short_prefill:
            return None
        engine = self.detector.probe_due(now=now)
        if engine is None or engine in exclude:
            return None
        if not self.fleet.views[engine].available:
            return None
        view = self.fleet.views[engine]
        _, sent = self._option(view, work, length, now, self._fleet_state(now), False)
        sent.is_probe = True
        self.detector.probe_sent(engine, work.request_id)
        return self._send(sent, now)

    def _send(self, sent, now):
        work = sent.work
        self._forget(work.request_id)
        self.fleet.add(sent)
        self.prefill_rates[sent.size].add(sent.prefill_tokens, now)
        change = 0
        if sent.size is Size.SHORT:
            self.reserve.sent(self._cost(sent), now)
            change = -self.settings.short_bonus
        elif sent.size is Size.LONG:
            change = self.settings.long_penalty
        priority = aged_priority(
            work.priority + change,
            waited=0.0 if work.arrived is None else now - work.arrived,
            age_seconds=self.admission.settings.age_seconds,
        )
        return Placement(sent.engine, priority, sent.is_probe)

    def _forget(self, request_id):
        self.watch.forget(request_id)
        return self.fleet.remove(request_id)

    def _cost(self, sent):
        """Return the engine-seconds that a request is expected to take."""
        costs = self.costs
        return (
            sent.prefill_tokens * costs.prefill_per_token
            + sent.output_tokens * costs.step_per_sequence
        )

    def _no_engine(self):
        return Refused(
            reason="No engine can take the request.",
            code="no_engine",
            retry_after=RETRY_WITHOUT_ENGINE_SECONDS * self.rng.uniform(1.0, 2.0),
        )
