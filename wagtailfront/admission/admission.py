"""Admission of requests whose callers are expected to wait long enough."""

import math
from typing import NamedTuple

__all__ = ["MAX_RETRY_SHARE", "Admission", "CallerTime", "Expectation", "admit"]

# Share of the time that callers have left up to which they honour Retry-After.
MAX_RETRY_SHARE = 1 / 3
# Mean deviations from an expected time that are exceeded by one in twenty, if
# they are distributed normally.
DEVIATIONS = 2.0


class CallerTime(NamedTuple):
    """How long a caller waits, in seconds.

    Attributes
    ----------
    left : float
        Until its deadline.
    patience : float
        From a request until it leaves without a first event; infinite if it
        waits for a complete response.
    waited : float
        Since its request arrived.
    """

    left: float
    patience: float = math.inf
    waited: float = 0.0


class Expectation(NamedTuple):
    """When a request is expected to be served, in seconds.

    Attributes
    ----------
    first_event : float
        Until the first event, or the complete response of a call.
    deviation : float
        Mean deviation of the actual times from `first_event`.
    output : float
        From the first event until the end of the stream.
    """

    first_event: float
    deviation: float = 0.0
    output: float = 0.0

    @property
    def latest(self):
        """Return when the first event is expected at the latest."""
        return self.first_event + DEVIATIONS * self.deviation


class Admission(NamedTuple):
    """Whether a request is admitted; if not, when to return.

    Attributes
    ----------
    is_admitted : bool
    retry_after : float or None
        Seconds after which the queue is expected to hold the request; None if
        that is later than its caller can return.
    expected : Expectation or None
        What it follows from.
    """

    is_admitted: bool
    retry_after: float | None = None
    expected: Expectation | None = None

    @property
    def inputs(self):
        """Return what it follows from, for the log."""
        return {
            name: round(seconds, 3)
            for name, seconds in (self.expected or Expectation(0.0))._asdict().items()
        }


def admit(*, expected, caller, overtaking=0.0):
    """Decide whether to admit a request.

    A request is served if its caller is still there when the first event is
    expected, with the usual deviation, and when the end is. If not, an
    endpoint would work on it in vain while others wait, so it is refused at
    once.

    Parameters
    ----------
    expected : Expectation
    caller : CallerTime
    overtaking : float, optional
        Engine time per second that more urgent requests take which arrive
        later; the queue gets shorter in the rest of the time.

    Returns
    -------
    Admission

    Examples
    --------
    >>> caller = CallerTime(left=6.0, patience=2.0)
    >>> admit(expected=Expectation(1.5, output=0.5), caller=caller)
    Admission(is_admitted=True, retry_after=None, expected=None)
    >>> admit(expected=Expectation(3.0, output=0.5), caller=caller)
    Admission(is_admitted=False, retry_after=1.0, expected=None)
    >>> late = caller._replace(left=2.5)
    >>> admit(expected=Expectation(3.0, output=0.5), caller=late)
    Admission(is_admitted=False, retry_after=None, expected=None)
    """
    is_in_time = expected.latest + expected.output <= caller.left
    if is_in_time and expected.latest <= caller.patience - caller.waited:
        return Admission(True)
    # The queue gets shorter no faster than the caller's time, so one that
    # would miss its deadline now would miss it later too.
    if not is_in_time or overtaking >= 1.0:
        return Admission(False)
    # The queue at the caller's return deviates from what is expected too.
    late = max(0.0, expected.latest + expected.deviation - caller.patience)
    delay = late / (1.0 - overtaking)
    # Others keep the queue as long as callers with enough time bear it.
    queue = caller.patience + DEVIATIONS * expected.deviation
    is_late_again = delay + queue + expected.output > caller.left
    if is_late_again or delay > MAX_RETRY_SHARE * caller.left:
        return Admission(False)
    return Admission(False, delay)
