"""Error of forecast times, measured on recent requests."""

from wagtailfront.admission.recent_ratio import RecentRatio

__all__ = ["ForecastError"]

# Seconds in which the weight of an observation halves: callers wait about two
# seconds for a first event, so the queue that caused an error is then gone.
HALF_LIFE = 2.0
# Seconds of exact forecasts assumed beside the observations.
PRIOR_SECONDS = 2.0


class ForecastError:
    """Mean error and mean deviation of forecasts, relative to them.

    Without recent observations both tend to 0, so that an error of the past
    cannot keep out the requests that would correct it.

    Examples
    --------
    >>> error = ForecastError()
    >>> error.upper(1.0, now=0.0)
    1.0
    >>> for step in range(200):
    ...     error.record(0.5, 0.75, now=step * 0.1)
    >>> 1.3 < error.upper(1.0, now=20.0) < 1.7
    True
    >>> error.upper(1.0, now=120.0) < 1.01
    True
    """

    def __init__(self):
        self.bias = RecentRatio(half_life=HALF_LIFE, prior=PRIOR_SECONDS)
        self.deviation = RecentRatio(half_life=HALF_LIFE, prior=PRIOR_SECONDS)

    def record(self, forecast, actual, *, now):
        """Record a forecast and the actual time, both in seconds."""
        error = actual - forecast
        deviation = abs(error - forecast * self.bias.value(now=now))
        self.bias.add(error, forecast, now=now)
        self.deviation.add(deviation, forecast, now=now)

    def record_at_least(self, forecast, elapsed, *, now):
        """Record that nothing had happened after `elapsed` seconds."""
        if elapsed > forecast:
            self.record(forecast, elapsed, now=now)

    def upper(self, forecast, *, now):
        """Return a forecast corrected by its bias, plus the mean deviation."""
        relative = self.bias.value(now=now) + self.deviation.value(now=now)
        return max(0.0, forecast * (1.0 + relative))
