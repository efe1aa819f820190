"""Routing: the policy interface, latency estimate and two baselines."""

import math
from collections import Counter
from typing import NamedTuple, Protocol

import xxhash

from wagtailfront.decisions.work import Size
from wagtailfront.outcome import Refused

__all__ = [
    "Placement",
    "Actions",
    "FleetState",
    "RoutingPolicy",
    "RoundRobin",
    "LeastOutstanding",
    "expected_seconds",
    "near_best",
    "reserve_order",
]

# Engines this close to the best are equal within the accuracy of load reports
# that are 5 s old; a random choice among them prevents herding.
NEAR_SHARE = 0.10
NEAR_SECONDS = 0.010
MAX_SHORTER_UTILISATION = 0.8
# Peers have the same reports and make similar choices, so this share of their
# load is assumed to be distributed like own load. Without it, all instances
# overload one engine in the first seconds of a peak.
CORRELATED_SHARE = 0.8


class Placement(NamedTuple):
    """Engine for an attempt, and the priority to send to the engine."""

    engine: str
    priority: int
    is_probe: bool = False


class Actions(NamedTuple):
    """Actions of an instance after a tick.

    Attributes
    ----------
    moves : tuple of str
        Requests to cancel on their engine and to resume on another.
    slow_hints : tuple of str
        Engines to report as slow to the peers.
    """

    moves: tuple[str, ...] = ()
    slow_hints: tuple[str, ...] = ()


class RoutingPolicy(Protocol):
    """Routing of one instance; all times are on one monotonic clock."""

    def place(self, work, *, now, exclude=(), attempt=1) -> Placement | Refused:
        """Choose an engine for an attempt and count it as sent.

        A request is accepted at attempt 1; later attempts are rejected only
        when no engine can run it.
        """

    def place_decode(self, work, *, now) -> Placement | Refused:
        """Choose the engine that decodes after prefill on another one."""

    def handle_first_token(self, request_id, *, now) -> None:
        """Handle the first token of a request."""

    def record_progress(self, request_id, tokens, *, now) -> None:
        """Record the tokens received of a request; call every tick."""

    def finished(self, request_id, tokens, *, now) -> None:
        """Handle the end of a request's complete answer."""

    def failed(self, request_id, *, now) -> None:
        """Handle an attempt that its engine rejected, dropped or lost."""

    def handle_load_report(self, engine, report, *, now) -> None:
        """Handle an engine's load report, which lags."""

    def handle_cache_events(self, engine, events, *, now) -> None:
        """Handle an engine's cache events, in order but with gaps."""

    def handle_slow_hint(self, engine, peer, *, now) -> None:
        """Handle a peer's hint that an engine is slow."""

    def tick(self, *, now) -> Actions:
        """Return what to do now; call about four times a second."""


class _Baseline:
    """Base class of the baselines, without admission control or feedback.

    Parameters
    ----------
    engines : sequence of str
    rng : random.Random
    """

    def __init__(self, *, engines, rng):
        self.engines = list(engines)
        self.rng = rng
        self.placed = {}
        self.outstanding = Counter()

    def place(self, work, *, now, exclude=(), attempt=1):
        """Choose an engine; the priority is the caller's."""
        candidates = [each for each in self.engines if each not in exclude]
        engine = self.choose(candidates or self.engines)
        self.forget(work.request_id)
        self.placed[work.request_id] = engine
        self.outstanding[engine] += 1
        return Placement(engine, work.priority)

    def place_decode(self, work, *, now):
        """Choose as for new work."""
        return self.place(work, now=now)

    def forget(self, request_id):
        """Stop counting a request."""
        engine = self.placed.pop(request_id, None)
        if engine is not None:
            self.outstanding[engine] -= 1

    def finished(self, request_id, tokens, *, now):
        """Stop counting a request."""
        self.forget(request_id)

    def failed(self, request_id, *, now):
        """Stop counting a request."""
        self.forget(request_id)

    def handle_first_token(self, request_id, *, now):
        """Ignore the observation."""

    def record_progress(self, request_id, tokens, *, now):
        """Ignore the observation."""

    def handle_load_report(self, engine, report, *, now):
        """Ignore the report."""

    def handle_cache_events(self, engine, events, *, now):
        """Ignore the events."""

    def handle_slow_hint(self, engine, peer, *, now):
        """Ignore the hint."""

    def tick(self, *, now):
        """Return no actions."""
        return Actions()


class RoundRobin(_Baseline):
    """Round robin over the engines from a random start."""

    def __init__(self, *, engines, rng):
        super().__init__(engines=engines, rng=rng)
        self.turn = rng.randrange(len(self.engines))

    def choose(self, candidates):
        """Return the next candidate in turn."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOutstanding(_Baseline):
    """Choice of the engine with the fewest own outstanding requests."""

    def choose(self, candidates):
        """Return one of the least loaded candidates at random."""
        least = min(self.outstanding[each] for each in candidates)
        best = [each for each in candidates if self.outstanding[each] == least]
        return self.rng.choice(best)


class FleetState(NamedTuple):
    """Estimates for the whole fleet that a routing decision uses.

    Attributes
    ----------
    growth : float
        Factor on the peers' reported load.
    report_weight : float
        Weight of the last reports in load estimates, 0 to 1.
    busy : float
        Minimum share of time assumed for long prompts on each engine that is
        not reserved. An engine that reported none 5 s ago is likely to have
        been sent the next one.
    reserved : tuple of str
        Engines reserved for short work.
    peers : int
        Number of other instances.
    shorter_utilisation : tuple of float
        Share of the engines' prefill capacity that work shorter than each
        size takes.
    """

    growth: float
    report_weight: float
    busy: float
    reserved: tuple[str, ...]
    peers: int
    shorter_utilisation: tuple[float, ...]


def expected_seconds(view, costs, *, prefill, output, size, fleet):
    """Return the expected seconds until a new request's last token.

    Parameters
    ----------
    view : EngineView
    costs : NominalCosts
    prefill : float
        Prompt tokens to prefill, without those cached on the engine.
    output : float
        Predicted output tokens.
    size : Size
        Long work waits for all queued prompts; other work is prefilled
        before longer work, but shares steps with it.
    fleet : FleetState
    """
    peers_requests, peers_prefill = view.peers_load(fleet.report_weight)
    correlated = CORRELATED_SHARE * fleet.peers * len(view.own)
    reported = (1 - CORRELATED_SHARE) * peers_requests * fleet.growth
    requests = len(view.own) + correlated + reported
    running = min(requests, costs.max_running)
    waiting = requests - running
    base = costs.step_base + costs.step_per_sequence * running
    min_busy = 0.0 if view.name in fleet.reserved else fleet.busy
    busy = 1.0 if view.own_prefill[Size.LONG] else max(min_busy, view.prefill_busy)
    step = base + busy * costs.chunk_seconds
    ahead = sum(view.own_prefill[: size + 1])
    if size is Size.LONG:
        ahead += peers_prefill * fleet.growth
    else:
        ahead += ahead * fleet.peers
    chunks = math.ceil((ahead + prefill) / costs.chunk_tokens)
    prompt = chunks * step + (1 - busy) * (ahead + prefill) * costs.prefill_per_token
    queue = waiting * output * step / costs.max_running
    # Shorter work that arrives in the meantime is prefilled first too.
    prompt /= 1.0 - min(fleet.shorter_utilisation[size], MAX_SHORTER_UTILISATION)
    return (step / 2 + queue + prompt + output * step) * view.slowness


def near_best(options, rng):
    """Return a random option among those with a score near the lowest.

    Parameters
    ----------
    options : sequence of (float, object)
        Score in seconds and the option.
    rng : random.Random
    """
    lowest = min(score for score, _ in options)
    limit = lowest * (1 + NEAR_SHARE) + NEAR_SECONDS
    return rng.choice([option for option in options if option[0] <= limit])


def reserve_order(engines):
    """Return the engines in the order in which they are reserved.

    The order depends on the names only, so all instances reserve the same
    engines for short work without communication.

    Examples
    --------
    >>> reserve_order(["a", "b", "c"]) == reserve_order(["c", "b", "a"])
    True
    """
    return sorted(engines, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
