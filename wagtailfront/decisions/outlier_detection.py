"""Detection of slow engines from this instance's own requests."""

import statistics
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["OutlierSettings", "SlowDetector"]

OWN_EVIDENCE = 0.5
HINT_EVIDENCE = 0.5
EJECT_EVIDENCE = 1.0
# Hints and own observations expire after this.
EVIDENCE_LIFETIME_SECONDS = 3.0
# Weight of a new token gap in an engine's moving mean.
GAP_WEIGHT = 0.2
# An engine's mean gap counts in the group's median for this long.
GAP_LIFETIME_SECONDS = 20.0


class OutlierSettings(NamedTuple):
    """Thresholds for the ejection of engines and their return.

    A token gap is the time in seconds between two tokens of a stream.

    Attributes
    ----------
    eject_ratio : float
        Token gap, relative to the group's median, from which an engine is
        slow.
    min_gap : float
        Seconds; an engine with shorter token gaps is never ejected, since a
        step with a full chunk of a long prompt is slow without a fault.
    return_ratio : float
        Token gap, relative to the group's median, up to which a probe is
        good.
    first_probe, last_probe : float
        Seconds from the ejection to the first probe, and upper bound of the
        delay, which doubles after each failed probe.
    probes_to_return : int
        Consecutive good probes after which an engine returns.
    min_serving : float
        Share of the group that always stays in service.
    """

    eject_ratio: float = 4.0
    min_gap: float = 0.150
    return_ratio: float = 2.0
    first_probe: float = 2.0
    last_probe: float = 16.0
    probes_to_return: int = 2
    min_serving: float = 0.5


@dataclass(kw_only=True, slots=True)
class _Engine:
    """Observations of one engine; times in seconds.

    `gap` is the moving mean of normal token gaps, last updated at `gap_at`;
    `hints_at` maps peers to their latest hints; `probe` is the id of the
    request that probes the engine, or empty.
    """

    gap: float = 0.0
    gap_at: float = -1e9
    slow_at: list[float] = field(default_factory=list)
    hints_at: dict[str, float] = field(default_factory=dict)
    ejected: bool = False
    probe: str = ""
    probe_delay: float = 0.0
    next_probe: float = 0.0
    good_probes: int = 0


class SlowDetector:
    """Ejects engines much slower than their group; good probes reinstate them.

    Parameters
    ----------
    group_size : int
        Number of engines in the group, including those without
        observations.
    settings : OutlierSettings

    Examples
    --------
    >>> detector = SlowDetector(group_size=3)
    >>> for engine in ("e1", "e2", "e3"):
    ...     _ = detector.observe_gap(engine, 0.03, now=0.0)
    >>> [detector.observe_gap("e3", 0.5, now=now) for now in (1.0, 1.5)]
    [True, True]
    >>> detector.evaluate(now=1.5)
    ['e3']
    """

    def __init__(self, *, group_size, settings=None):
        self.group_size = group_size
        self.settings = settings or OutlierSettings()
        self.engines = {}
        self.ejected = set()

    def observe_gap(self, engine, seconds, *, now):
        """Record the mean token gap of one request over its last window.

        Returns
        -------
        bool
            Whether the gap counts as evidence that the engine is slow.
        """
        state = self.engines.setdefault(engine, _Engine())
        is_slow = self._is_slow(seconds, now)
        if is_slow:
            state.slow_at.append(now)
            return True
        weight = GAP_WEIGHT if now - state.gap_at < GAP_LIFETIME_SECONDS else 1.0
        state.gap += weight * (seconds - state.gap)
        state.gap_at = now
        return False

    def observe_silence(self, engine, *, now):
        """Record evidence from a request that is far later than expected."""
        self.engines.setdefault(engine, _Engine()).slow_at.append(now)

    def record_hint(self, engine, peer, *, now):
        """Record a peer's hint, half the evidence that ejects an engine.

        If the engine is already ejected, its next probe is delayed.
        """
        state = self.engines.setdefault(engine, _Engine())
        state.hints_at[peer] = now
        if state.ejected:
            state.next_probe = max(state.next_probe, now + state.probe_delay)

    def evaluate(self, *, now):
        """Eject engines and return their names; call every tick."""
        found = [
            name
            for name, state in self.engines.items()
            if not state.ejected and self._evidence(state, now) >= EJECT_EVIDENCE
        ]
        return [name for name in found if self._eject(name, now)]

    def has_own_evidence(self, engine, *, now):
        """Return whether an own recent observation shows a slow `engine`."""
        state = self.engines.get(engine)
        return state is not None and any(
            at > now - EVIDENCE_LIFETIME_SECONDS for at in state.slow_at
        )

    def probe_due(self, *, now):
        """Return an ejected engine that is due for a probe, or None."""
        due = (
            name
            for name in sorted(self.ejected)
            if not self.engines[name].probe and self.engines[name].next_probe <= now
        )
        return next(due, None)

    def probe_sent(self, engine, request_id):
        """Record the request that probes `engine`; there is one at a time."""
        self.engines[engine].probe = request_id

    def probe_ended(self, engine, *, is_good, now):
        """Handle a probe's result; enough good ones reinstate the engine."""
        state = self.engines[engine]
        state.probe = ""
        if not is_good:
            state.good_probes = 0
            state.probe_delay = min(2 * state.probe_delay, self.settings.last_probe)
            state.next_probe = now + state.probe_delay
            return
        state.good_probes += 1
        state.next_probe = now
        if state.good_probes >= self.settings.probes_to_return:
            self.ejected.discard(engine)
            self.engines[engine] = _Engine()

    def probe_gap_is_good(self, seconds, *, now):
        """Return whether a probe's token gap is normal for the group."""
        median = self.median_gap(now)
        limit = self.settings.return_ratio * (median or seconds)
        return seconds <= max(limit, self.settings.min_gap / 2)

    def median_gap(self, now):
        """Return the median token gap of the group in seconds, or None."""
        gaps = [
            state.gap
            for state in self.engines.values()
            if not state.ejected and now - state.gap_at < GAP_LIFETIME_SECONDS
        ]
        return statistics.median(gaps) if gaps else None

    def _is_slow(self, seconds, now):
        median = self.median_gap(now)
        if median is None:
            return False
        limit = max(self.settings.eject_ratio * median, self.settings.min_gap)
        return seconds >= limit

    def _evidence(self, state, now):
        oldest = now - EVIDENCE_LIFETIME_SECONDS
        # Two slow gaps, of two requests or two ticks, suffice to eject.
        state.slow_at = [at for at in state.slow_at if at > oldest]
        hints = sum(at > oldest for at in state.hints_at.values())
        return OWN_EVIDENCE * min(len(state.slow_at), 2) + HINT_EVIDENCE * hints

    def _eject(self, name, now):
        limit = int(self.group_size * (1 - self.settings.min_serving))
        if len(self.ejected) >= limit:
            return False
        state = self.engines[name]
        state.ejected = True
        state.probe_delay = self.settings.first_probe
        state.next_probe = now + state.probe_delay
        state.good_probes = 0
        self.ejected.add(name)
        return True
