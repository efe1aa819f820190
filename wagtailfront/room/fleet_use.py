"""KV cache that the requests of all instances take at each engine."""

import math

from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.room.engine_use import EngineUse
from wagtailfront.room.request_size import Held

__all__ = ["MAX_SHARED", "FleetUse"]

MAX_SHARED = 64  # shared parts that a report names of one engine
# Seconds in which the weight of what peers placed halves: demand may rise to
# a multiple within a few seconds.
GROWTH_HALF_LIFE = 1.0
GROWTH_WEIGHT = math.log(2) / GROWTH_HALF_LIFE
GAP_HALF_LIFE = 1.0  # seconds in which the weight of a report's gap halves
# Standard deviations above the mean of what peers place until they report it.
# With 5, one of 60 runs of tests/memory_load.py at a load of 1.3 overfilled an
# engine: few large prompts are not distributed normally.
RESERVE_DEVIATIONS = 6.0
MAX_GAP = 0.5  # seconds; peers without load report less often


class FleetUse:
    """Counts what requests take, by incarnation of the engine.

    Notes
    -----
    Peers report a state, not increments, as in FleetLoad. A part that requests
    of several instances use at an engine is reported by each with the same
    key, so it counts once.

    Examples
    --------
    >>> use, held = FleetUse(), Held(160, ((7, 320),))
    >>> use.hold("e1/1", held)
    >>> use.replace_report("e1/1", Held(), use.report("e1/1"), now=0.0)
    >>> use.committed("e1/1")
    640
    """

    def __init__(self):
        self.own = {}
        self.total = {}
        self.growth = {}
        self.gaps = RecentRatio(half_life=GAP_HALF_LIFE)

    def hold(self, endpoint, held):
        """Count a request of this instance."""
        _add(self.own, endpoint, held)
        _add(self.total, endpoint, held)

    def release(self, endpoint, held):
        """Stop counting a request of this instance."""
        _remove(self.own, endpoint, held)
        _remove(self.total, endpoint, held)

    def report(self, endpoint):
        """Return what requests of this instance take, as a Held.

        Shared parts beyond `MAX_SHARED` are reported as if only this instance
        used them.
        """
        use = self.own.get(endpoint)
        if use is None:
            return Held()
        parts = sorted((key, entry[0]) for key, entry in use.shared.items())
        rest = sum(tokens for _key, tokens in parts[MAX_SHARED:])
        return Held(use.own + rest, tuple(parts[:MAX_SHARED]))

    def replace_report(self, endpoint, before, held, *, now):
        """Count what a peer reports instead of what it reported before."""
        committed = self.committed(endpoint)
        self.remove_report(endpoint, before)
        _add(self.total, endpoint, held)
        self._grow(endpoint, self.committed(endpoint) - committed, now)

    def remove_report(self, endpoint, held):
        """Stop counting what a peer reported of an engine."""
        _remove(self.total, endpoint, held)

    def record_gap(self, seconds, *, now):
        """Record the seconds between two reports of a peer."""
        self.gaps.add(min(seconds, MAX_GAP), 1.0, now=now)

    def committed(self, endpoint):
        """Return the tokens that requests of all instances take."""
        use = self.total.get(endpoint)
        return 0 if use is None else use.tokens

    def missing(self, endpoint, held):
        """Return the tokens that one more request would take."""
        use = self.total.get(endpoint)
        if use is None:
            return held.total
        return use.missing(held)

    def reserve(self, endpoint, *, now):
        """Return the tokens that peers may have placed without a report."""
        grown = self.growth.get(endpoint)
        if grown is None:
            return 0.0
        tokens, squares, at = grown
        weight = GROWTH_WEIGHT * 0.5 ** ((now - at) / GROWTH_HALF_LIFE)
        weight *= self.gaps.value(now=now) or 0.0
        deviation = math.sqrt(weight * squares)
        return weight * tokens + RESERVE_DEVIATIONS * deviation

    def forget(self, endpoint):
        """Drop what peers placed at an engine that is gone."""
        self.growth.pop(endpoint, None)

    def _grow(self, endpoint, tokens, now):
        if tokens > 0:
            grown, squares, at = self.growth.get(endpoint, (0.0, 0.0, now))
            weight = 0.5 ** ((now - at) / GROWTH_HALF_LIFE)
            self.growth[endpoint] = (
                weight * grown + tokens,
                weight * squares + tokens**2,
                now,
            )


def _add(uses, endpoint, held):
    if held.own or held.shared:
        use = uses.get(endpoint)
        if use is None:
            use = uses[endpoint] = EngineUse()
        use.add(held)


def _remove(uses, endpoint, held):
    if held.own or held.shared:
        use = uses[endpoint]
        use.remove(held)
        if not use.tokens and not use.shared:
            # Entries of past incarnations must not accumulate.
            del uses[endpoint]
