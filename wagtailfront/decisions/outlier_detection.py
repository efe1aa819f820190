"""Detection of slow engines from this instance's own requests."""

import statistics
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["OutlierSettings", "SlowDetector"]

OWN_EVIDENCE = 0.5
HINT_EVIDENCE = 0.5
EJECT_EVIDENCE = 1.0
# A hint and an own observation older than this no longer count.
EVIDENCE_SECONDS = 3.0
# Weight of a new token gap in an engine's usual gap.
GAP_WEIGHT = 0.2
# An engine's usual gap counts in the group's median for this long.
GAP_SECONDS = 20.0


class OutlierSettings(NamedTuple):
    """When an engine is ejected and when it returns.

    Attributes
    ----------
    eject_ratio : float
        Token gap relative to the group's median.
    min_gap : float
        Seconds; an engine with shorter token gaps is never ejected, since a
        step with a full chunk of a long prompt is no sign of a fault.
    return_ratio : float
        Token gap of a probe relative to the group's median.
    first_probe, last_probe : float
        Seconds to the first probe; doubled after each failure up to the last.
    probes_to_return : int
        Good probes in a row before an engine returns.
    floor : float
        Share of the group that is never ejected.
    """

    eject_ratio: float = 4.0
    min_gap: float = 0.150
    return_ratio: float = 2.0
    first_probe: float = 2.0
    last_probe: float = 16.0
    probes_to_return: int = 2
    floor: float = 0.5


@dataclass(kw_only=True, slots=True)
class _Engine:
    """Observations of one engine; times in seconds."""

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
    """Ejects engines much slower than their group and probes them back.

    Parameters
    ----------
    group_size : int
        Engines of the group, including those without observations.
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
        """Take the mean seconds between tokens of one request's last window.

        Returns
        -------
        bool
            Whether the gap is a sign that the engine is slow.
        """
        state = self.engines.setdefault(engine, _Engine())
        is_slow = self._is_slow(seconds, now)
        if is_slow:
            state.slow_at.append(now)
            return True
        weight = GAP_WEIGHT if now - state.gap_at < GAP_SECONDS else 1.0
        state.gap += weight * (seconds - state.gap)
        state.gap_at = now
        return False

    def observe_silence(self, engine, *, now):
        """Note that a first token is far later than expected."""
        self.engines.setdefault(engine, _Engine()).slow_at.append(now)

    def hint(self, engine, peer, *, now):
        """Take a peer's hint; it counts half and delays the next probe."""
        state = self.engines.setdefault(engine, _Engine())
        state.hints_at[peer] = now
        if state.ejected:
            state.next_probe = max(state.next_probe, now + state.probe_delay)

    def evaluate(self, *, now):
        """Return the engines ejected now; call every tick."""
        found = [
            name
            for name, state in self.engines.items()
            if not state.ejected and self._evidence(state, now) >= EJECT_EVIDENCE
        ]
        return [name for name in found if self._eject(name, now)]

    def has_own_evidence(self, engine, *, now):
        """Return whether an own observation says that `engine` is slow."""
        state = self.engines.get(engine)
        return state is not None and any(
            at > now - EVIDENCE_SECONDS for at in state.slow_at
        )

    def probe_due(self, *, now):
        """Return an ejected engine that may get a probe, or None."""
        due = (
            name
            for name in sorted(self.ejected)
            if not self.engines[name].probe and self.engines[name].next_probe <= now
        )
        return next(due, None)

    def probe_sent(self, engine, request_id):
        """Note the one request that probes `engine`."""
        self.engines[engine].probe = request_id

    def probe_ended(self, engine, *, is_good, now):
        """Take a probe's result; the engine returns after enough good ones."""
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
        usual = self.median_gap(now)
        limit = self.settings.return_ratio * (usual or seconds)
        return seconds <= max(limit, self.settings.min_gap / 2)

    def median_gap(self, now):
        """Return the group's median seconds between tokens, or None."""
        gaps = [
            state.gap
            for state in self.engines.values()
            if not state.ejected and now - state.gap_at < GAP_SECONDS
        ]
        return statistics.median(gaps) if gaps else None

    def _is_slow(self, seconds, now):
        usual = self.median_gap(now)
        if usual is None:
            return False
        limit = max(self.settings.eject_ratio * usual, self.settings.min_gap)
        return seconds >= limit

    def _evidence(self, state, now):
        oldest = now - EVIDENCE_SECONDS
        # Two requests' or two ticks' slow gaps make a full own observation.
        state.slow_at = [at for at in state.slow_at if at > oldest]
        hints = sum(at > oldest for at in state.hints_at.values())
        return OWN_EVIDENCE * min(len(state.slow_at), 2) + HINT_EVIDENCE * hints

    def _eject(self, name, now):
        limit = int(self.group_size * (1 - self.settings.floor))
        if len(self.ejected) >= limit:
            return False
        state = self.engines[name]
        state.ejected = True
        state.probe_delay = self.settings.first_probe
        state.next_probe = now + state.probe_delay
        state.good_probes = 0
        self.ejected.add(name)
        return True
