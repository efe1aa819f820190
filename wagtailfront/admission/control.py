"""Forecasts for requests, and their admission by the caller's time."""

from typing import NamedTuple

from wagtailfront.admission.admission import Expectation, admit
from wagtailfront.admission.forecast_error import HALF_LIFE, ForecastError
from wagtailfront.admission.recent_ratio import RecentRatio

__all__ = ["AdmissionControl", "Work"]


class Work(NamedTuple):
    """Work that is left for a request.

    Attributes
    ----------
    service : str
    priority : int
        Rank of the request, 0 for the most urgent.
    first_event : float
        Forecast seconds until its first event.
    output_tokens : int
        Tokens that it may generate.
    """

    service: str
    priority: int
    first_event: float
    output_tokens: int = 0


class AdmissionControl:
    """Admits requests, and measures the forecasts that this is based on.

    Examples
    --------
    >>> from wagtailfront.admission.admission import CallerTime
    >>> control = AdmissionControl()
    >>> work = Work("s", 0, first_event=1.5, output_tokens=100)
    >>> caller = CallerTime(left=3.0, patience=2.0)
    >>> control.admit(work, caller, now=0.0).is_admitted
    True
    >>> control.record_output("s", tokens=10, seconds=0.2, now=0.0)
    >>> control.admit(work, caller, now=0.0).is_admitted
    False
    """

    def __init__(self):
        self.errors = {}
        self.outputs = {}

    def expect(self, work, *, now):
        """Return the Expectation for some work, with the mean error."""
        first_event = self._error(work).upper(work.first_event, now=now)
        pace = self.outputs.get(work.service)
        seconds_per_token = 0.0 if pace is None else pace.value(now=now)
        return Expectation(first_event, work.output_tokens * seconds_per_token)

    def admit(self, work, caller, *, now):
        """Return the Admission of a request by its work and CallerTime."""
        return admit(expected=self.expect(work, now=now), caller=caller)

    def record_first_event(self, work, *, seconds, now):
        """Record after how many seconds some work showed a first event."""
        self._error(work).record(work.first_event, seconds, now=now)

    def record_without_event(self, work, *, seconds, now):
        """Record that the caller of some work left without a first event."""
        self._error(work).record_at_least(work.first_event, seconds, now=now)

    def record_output(self, service, *, tokens, seconds, now):
        """Record a complete output of a request that may have had `tokens`."""
        if tokens:
            pace = self.outputs.setdefault(service, RecentRatio(half_life=HALF_LIFE))
            pace.add(seconds, tokens, now=now)

    def _error(self, work):
        # Less urgent requests are overtaken more often than forecast.
        return self.errors.setdefault((work.service, work.priority), ForecastError())
