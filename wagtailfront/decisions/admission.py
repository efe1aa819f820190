"""Admission control by deadline, workspace rate limit and priority."""

import math
from dataclasses import dataclass
from typing import NamedTuple

from wagtailfront.outcome import Refused

__all__ = [
    "AdmissionSettings",
    "Admission",
    "TokenBucket",
    "aged_priority",
]

LOWEST_PRIORITY = 9
MIN_LATENCY_SECONDS = 0.001
# Margin before any prediction error was observed.
INITIAL_MARGIN = 2.0
# Requests expected to take less than this share of their timeout do not update
# the margin.
MIN_TIMEOUT_SHARE = 0.25
# Weight of a new error; the averages cover about 50 requests.
ERROR_WEIGHT = 0.02
RETRY_AFTER_MIN_SECONDS = 0.5
RETRY_AFTER_MAX_SECONDS = 30.0


class AdmissionSettings(NamedTuple):
    """Limits of one instance on the requests that it accepts.

    Attributes
    ----------
    workspace_rate : float
        Engine-seconds of work per second that a workspace may request.
    workspace_burst : float
        Engine-seconds that a workspace may request at once.
    margin_sigmas : float
        Standard deviations of the prediction's error that the deadline must
        leave room for; 2.3 would leave 1% of normally distributed errors, but
        theirs have a heavier tail.
    max_margin : float
        Upper bound of the factor on the predicted latency. Without it, a
        period of late answers could cause all requests to be rejected, and
        without completed requests the factor would never be corrected.
    age_seconds : float
        Seconds of waiting time that raise a priority by one.
    """

    workspace_rate: float = 2.0
    workspace_burst: float = 30.0
    margin_sigmas: float = 3.0
    max_margin: float = 3.0
    age_seconds: float = 5.0


@dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Token bucket that refills at `rate` per second up to `burst`.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, burst=1.0, level=1.0, filled_at=0.0)
    >>> bucket.take(1.0, now=0.0), bucket.take(1.0, now=0.0)
    (0.0, 0.5)
    """

    rate: float
    burst: float
    level: float
    filled_at: float

    def take(self, amount, *, now):
        """Take `amount` and return 0.0, or return the seconds to wait.

        An amount above `burst` is granted when the bucket is full, and leaves
        a negative level.
        """
        elapsed = max(0.0, now - self.filled_at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.filled_at = now
        needed = min(amount, self.burst)
        if self.level >= needed:
            self.level -= amount
            return 0.0
        return (needed - self.level) / self.rate


@dataclass(slots=True)
class PredictionError:
    """Moving mean and variance of log(actual / expected latency)."""

    mean: float = 0.0
    variance: float = 0.0

    def add(self, value):
        """Update the mean and the variance with one error."""
        delta = value - self.mean
        self.mean += ERROR_WEIGHT * delta
        self.variance = (1 - ERROR_WEIGHT) * (
            self.variance + ERROR_WEIGHT * delta * delta
        )


class Admission:
    """Rejects requests that would miss the deadline or exceed the rate limit.

    Parameters
    ----------
    rng : random.Random
    settings : AdmissionSettings

    Examples
    --------
    >>> import random
    >>> from wagtailfront.decisions.work import Work
    >>> admission = Admission(rng=random.Random(1))
    >>> work = Work("r1", "shop", "label", 300, 50, deadline=10.0)
    >>> admission.decide(work, cost=0.1, expected=2.0, now=0.0) is None
    True
    >>> admission.decide(work, cost=0.1, expected=30.0, now=0.0).code
    'overloaded'
    """

    def __init__(self, *, rng, settings=None):
        self.rng = rng
        self.settings = settings or AdmissionSettings()
        self.buckets = {}
        self.errors = {}

    def decide(self, work, *, cost, expected, now):
        """Return the reason for rejecting the work, or None to accept it.

        Parameters
        ----------
        work : Work
        cost : float
            Engine-seconds that the work is expected to take.
        expected : float
            Expected seconds until its last token on the chosen engine.

        Returns
        -------
        Refused or None
        """
        late = now + expected * self.margin(work.kind) - work.deadline
        if late > 0:
            return self._refuse("The deadline cannot be met.", "overloaded", late)
        wait = self._bucket(work.workspace, now).take(cost, now=now)
        if wait > 0:
            return self._refuse("The workspace's share is used.", "rate_limited", wait)
        return None

    def margin(self, kind):
        """Return the factor on predicted latencies of a kind of request."""
        error = self.errors.get(kind)
        if error is None:
            return INITIAL_MARGIN
        sigma = math.sqrt(error.variance)
        margin = math.exp(error.mean + self.settings.margin_sigmas * sigma)
        return min(max(margin, 1.0), self.settings.max_margin)

    def observe(self, kind, *, expected, actual, timeout):
        """Update the kind's margin with the latency of a finished request.

        Requests expected to take only a small part of their timeout are
        ignored, since their relative errors are large and their deadlines are
        not at risk.

        Parameters
        ----------
        kind : str
        expected, actual : float
            Seconds until the last token.
        timeout : float
            Seconds between sending the request and its deadline.
        """
        if expected <= 0 or expected < timeout * MIN_TIMEOUT_SHARE:
            return
        error = self.errors.setdefault(kind, PredictionError())
        # A cancelled or cached answer can end within the clock's resolution.
        error.add(math.log(max(actual, MIN_LATENCY_SECONDS) / expected))

    def _bucket(self, workspace, now):
        settings = self.settings
        if workspace not in self.buckets:
            self.buckets[workspace] = TokenBucket(
                rate=settings.workspace_rate,
                burst=settings.workspace_burst,
                level=settings.workspace_burst,
                filled_at=now,
            )
        return self.buckets[workspace]

    def _refuse(self, reason, code, wait):
        bounded = min(max(wait, RETRY_AFTER_MIN_SECONDS), RETRY_AFTER_MAX_SECONDS)
        # Jitter spreads the retries of callers refused at the same time.
        retry_after = bounded * self.rng.uniform(1.0, 2.0)
        return Refused(reason=reason, code=code, retry_after=retry_after)


def aged_priority(priority, *, waited, age_seconds):
    """Return the priority raised by waiting time, to prevent starvation.

    Priorities run from 0 (highest) to 9.

    Examples
    --------
    >>> aged_priority(5, waited=11.0, age_seconds=5.0)
    3
    >>> aged_priority(0, waited=60.0, age_seconds=5.0)
    0
    """
    raised = priority - int(waited / age_seconds)
    return min(max(raised, 0), LOWEST_PRIORITY)
