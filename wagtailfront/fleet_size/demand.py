"""Demand for a service over the last seconds, from cumulative counts."""

from collections import deque
from itertools import takewhile
from typing import NamedTuple

from wagtailfront.fleet_size.work_counts import WorkTotals

__all__ = ["Demand", "DemandHistory", "Outlook"]

# Seconds over which one rate is measured: counts of peers arrive about once a
# second and some digests are lost.
RATE_SECONDS = 3.0
# Seconds over which demand is averaged: two periods of the waves in which
# callers arrive (about 11 s).
TYPICAL_SECONDS = 22.0
# Samples count for at most this multiple of their median, which waves reach
# and bursts exceed: those are provided for by the highest rates.
MAX_SAMPLE = 1.3
# Seconds for which the highest rates can be remembered.
MAX_PEAK_SECONDS = 720.0
MS_PER_SECOND = 1000
# Bound on the factor by which refused requests raise what was measured of
# the others: callers that come again are counted each time.
MAX_REFUSED_FACTOR = 3.0
MAX_GROWTH = 1.0  # bound on forecast growth, relative to typical demand
MIN_GROWTH = 0.35  # between two averages; less is noise, and there is room for it


class Demand(NamedTuple):
    """What callers ask of engines.

    Attributes
    ----------
    prefill : float
        Prompt tokens to prefill per second.
    streams : float
        Requests at engines at a time.
    memory : float
        Tokens of KV cache that these take.
    """

    prefill: float = 0.0
    streams: float = 0.0
    memory: float = 0.0

    def times(self, factor):
        """Return the demand multiplied by a factor."""
        return Demand(*(factor * each for each in self))


class Outlook(NamedTuple):
    """Demand to prepare for.

    Attributes
    ----------
    typical : Demand
        Forecast of the mean without bursts, of all data centres together.
    peak : Demand
        Highest of the last seconds.
    recent : Demand
        The latest.
    shares : dict of str to float
        Part of the demand that each data centre brings.
    refused_share : float
        Part of the requests of the last seconds that was refused.
    measured : float
        Seconds since the first request.
    """

    typical: Demand
    peak: Demand
    recent: Demand
    shares: dict
    refused_share: float
    measured: float


class _Sample(NamedTuple):
    at: float
    total: Demand
    by_data_centre: dict
    refused_share: float


class DemandHistory:
    """Rates of one service over the last seconds.

    Examples
    --------
    >>> history = DemandHistory()
    >>> for second in range(5):
    ...     work = WorkTotals(second, 600 * second, 700 * second, 250 * second)
    ...     history.record({"a": work}, now=float(second))
    >>> history.outlook(now=4.0, horizon=5.0).peak
    Demand(prefill=600.0, streams=0.25, memory=175.0)
    """

    def __init__(self):
        self.counts = deque()
        self.samples = deque()
        self.first_request_at = None

    def record(self, totals, *, now):
        """Add the WorkTotals of all data centres at `now`."""
        self.counts.append((now, dict(totals)))
        while len(self.counts) > 2 and now - self.counts[1][0] >= RATE_SECONDS:
            self.counts.popleft()
        since, before = self.counts[0]
        if now <= since:
            return
        work = {
            name: each.minus(before.get(name, WorkTotals()))
            for name, each in totals.items()
        }
        if self.first_request_at is None:
            if not any(each.requests for each in work.values()):
                return
            self.first_request_at = now
        self.samples.append(_make_sample(work, now - since, now))
        while now - self.samples[0].at > MAX_PEAK_SECONDS:
            self.samples.popleft()

    def outlook(self, *, now, horizon, peak_seconds=MAX_PEAK_SECONDS):
        """Return the Outlook for `horizon` seconds from now, or None.

        None while no demand has been measured. `peak_seconds` is for how long
        the highest rates are remembered.
        """
        if not self.samples:
            return None
        latest = self.samples[-1]
        window = self._last(TYPICAL_SECONDS, now) or [latest]
        high = [sample.total for sample in self._last(peak_seconds, now)]
        typical = _typical(window)
        return Outlook(
            typical=typical.times(1.0 + self._growth(typical, now, horizon)),
            peak=Demand(*map(max, zip(*high or [latest.total], strict=True))),
            recent=latest.total,
            shares=_shares(window),
            refused_share=latest.refused_share,
            measured=now - self.first_request_at,
        )

    def _last(self, seconds, now):
        """Return the samples of the last seconds, the latest first."""
        return list(takewhile(lambda s: now - s.at < seconds, reversed(self.samples)))

    def _growth(self, typical, now, horizon):
        """Return by what part the typical demand is expected to grow.

        It compares two averages, as the slope of a shorter time is that of a
        wave. All kinds of demand must have grown.
        """
        both = self._last(2 * TYPICAL_SECONDS, now)
        earlier = [s for s in both if now - s.at >= TYPICAL_SECONDS]
        if now - self.first_request_at < 2 * TYPICAL_SECONDS or not earlier:
            return 0.0
        before = _typical(earlier)
        ratio = min(
            (new / old - 1 for new, old in zip(typical, before, strict=True) if old),
            default=0.0,
        )
        # The average itself is half of its window old.
        ahead = (TYPICAL_SECONDS / 2 + horizon) / TYPICAL_SECONDS
        return min(MAX_GROWTH, ratio * ahead) if ratio >= MIN_GROWTH else 0.0


def _make_sample(work, seconds, now):
    by_data_centre = {name: _rate(each, seconds) for name, each in work.items()}
    parts = zip(*by_data_centre.values(), strict=True)
    requests = sum(each.requests for each in work.values())
    refused = sum(each.refused for each in work.values())
    return _Sample(
        now,
        Demand(*map(sum, parts)),
        by_data_centre,
        min(1.0, refused / requests) if requests else 0.0,
    )


def _rate(work, seconds):
    """Return the Demand of work that was counted in some seconds."""
    served = work.requests - work.refused
    factor = MAX_REFUSED_FACTOR
    if served > 0:
        factor = min(factor, work.requests / served)
    elif not work.requests:
        factor = 1.0
    streams = work.stream_ms / MS_PER_SECOND / seconds
    tokens = work.stream_tokens / work.requests if work.requests else 0.0
    return Demand(
        work.prompt_tokens / seconds * factor,
        streams * factor,
        streams * tokens * factor,
    )


def _typical(samples):
    """Return the mean Demand of samples without bursts."""
    return Demand(*map(_clipped_mean, zip(*(s.total for s in samples), strict=True)))


def _clipped_mean(values):
    median = sorted(values)[len(values) // 2]
    most = MAX_SAMPLE * median
    return sum(min(each, most) for each in values) / len(values)


def _shares(samples):
    """Return each data centre's part of the demand."""
    totals = {}
    for sample in samples:
        for name, demand in sample.by_data_centre.items():
            parts = [a / b for a, b in zip(demand, sample.total, strict=True) if b]
            totals[name] = totals.get(name, 0.0) + max(parts, default=0.0)
    whole = sum(totals.values())
    return {name: part / whole for name, part in totals.items()} if whole else {}
