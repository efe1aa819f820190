"""Rate limits that endpoints name for all instances together."""

from typing import NamedTuple

__all__ = ["RateLimits"]


class _Observation(NamedTuple):
    """What an endpoint said last.

    Attributes
    ----------
    rate : float or None
        Requests per second of all instances; None if it names no limit.
    at : float
        When it said so, in seconds.
    """

    rate: float | None
    at: float


class RateLimits:
    """Rate limits by incarnation of an endpoint.

    Parameters
    ----------
    log : DecisionLog

    Notes
    -----
    An endpoint in need names its limit in each answer, for as long as it
    holds. An answer without a limit ends it if the request was sent after
    the limit was last named: answers on different connections may overtake
    each other.
    """

    def __init__(self, *, log):
        self.log = log
        self.observations = {}

    def limit(self, incarnation):
        """Return an endpoint's limit in requests per second, or None."""
        observation = self.observations.get(incarnation)
        return None if observation is None else observation.rate

    def count_limited(self):
        """Return the number of endpoints that name a limit."""
        return sum(each.rate is not None for each in self.observations.values())

    def record_answer(self, incarnation, rate, *, sent, now):
        """Record the limit in an answer, None if it names none.

        Parameters
        ----------
        sent : float
            When the request was sent.
        """
        known = self.observations.get(incarnation)
        if rate is None and (known is None or sent < known.at):
            return
        self._observe(incarnation, _Observation(rate, now))

    def _observe(self, incarnation, observation):
        before = self.limit(incarnation)
        self.observations[incarnation] = observation
        if observation.rate != before:
            self.log.decision(
                "rate_limit",
                outcome="ended" if observation.rate is None else "named",
                endpoint=incarnation,
                rate=observation.rate,
                before=before,
            )

    def forget(self, record):
        """Drop what an incarnation that is gone has said."""
        self.observations.pop(record.incarnation, None)
