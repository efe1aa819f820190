"""Error of forecast times, measured on recent requests."""

from typing import NamedTuple

from wagtailfront.admission.recent_ratio import RecentRatio

__all__ = ["Corrected", "ForecastError"]

# Seconds in which the weight of an observation halves. Callers wait about two
# for a first event, so the queue that caused an error is gone after some.
HALF_LIFE = 1.0
# Seconds of exact forecasts assumed beside the observations.
PRIOR_SECONDS = 2.0


class Corrected(NamedTuple):
    """Forecast corrected by the mean error, and its mean deviation."""

    mean: float
    deviation: float


class ForecastError:
    """Mean error and mean deviation of forecasts, relative to them.

    Without recent observations both tend to 0, so that an error of the past
    cannot keep out the requests that would correct it.

    Examples
    --------
    >>> error = ForecastError()
    >>> error.correct(1.0, now=0.0)
    Corrected(mean=1.0, deviation=0.0)
    >>> for step in range(200):
    ...     error.record(0.5, 0.75, now=step * 0.1)
    >>> 1.3 < error.correct(1.0, now=20.0).mean < 1.5
    True
    >>> error.correct(1.0, now=120.0).mean < 1.01
    True
    """

    def __init__(self):
        self.waiting = {}
        self.bias = RecentRatio(half_life=HALF_LIFE, prior=PRIOR_SECONDS)
        self.deviation = RecentRatio(half_life=HALF_LIFE, prior=PRIOR_SECONDS)

    def begin(self, key, forecast, *, now):
        """Begin to wait for what was forecast to take so many seconds."""
        self.waiting[key] = (forecast, now)

    def end(self, key, *, now, has_happened):
        """Record what was waited for, or that it had not happened by now."""
        forecast, began = self.waiting.pop(key)
        elapsed = now - began
        if has_happened or elapsed > forecast:
            self.record(forecast, elapsed, now=now)

    def record(self, forecast, actual, *, now):
        """Record a forecast and the actual time, both in seconds."""
        error = actual - forecast
        deviation = abs(error - forecast * self.bias.value(now=now))
        self.bias.add(error, forecast, now=now)
        self.deviation.add(deviation, forecast, now=now)

    def correct(self, forecast, *, now):
        """Return the Corrected of a forecast in seconds.

        What is overdue counts too: the error of forecasts that are about to
        fail is known before they end.
        """
        overdue = [
            (now - began - expected, expected)
            for expected, began in self.waiting.values()
            if now - began > expected
        ]
        bias = self.bias.value(
            now=now,
            numerator=sum(error for error, _expected in overdue),
            denominator=sum(expected for _error, expected in overdue),
        )
        mean = forecast * max(0.0, 1.0 + bias)
        return Corrected(mean, forecast * self.deviation.value(now=now))
