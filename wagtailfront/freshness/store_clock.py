"""The store's own clock, as seen from this machine's."""

import math
import time
from typing import NamedTuple

__all__ = ["StoreClock", "StoreTime", "boot_clock"]

# Share by which the two clocks may run apart; crystals stay within 1e-4 each.
MAX_DRIFT = 2e-4
# Seconds in which what was written before the store came back from an older
# copy is written again; until then its answers show an old state.
REWRITE_SECONDS = 2.0
# Numbers of eras up to that in which a store begins. It was never restored.
FIRST_ERA = 1


def boot_clock():
    """Return the seconds since the machine's start, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreTime(NamedTuple):
    """One answer of the store with its clock; times in seconds.

    Attributes
    ----------
    era : int
    sent, received : float
        When the call was made and when its answer arrived, on this machine's
        clock, which goes on while the machine is suspended.
    store : float
        The store's clock when it gave the answer.
    """

    era: int
    sent: float
    received: float
    store: float


class StoreClock:
    """Bounds from below when the store's clock showed a time.

    An answer is given after its call was sent. So `sent - store` is never
    larger than the difference of the clocks, however late the answer comes,
    and the largest value of an era is the closest one.

    Parameters
    ----------
    log : DecisionLog

    Attributes
    ----------
    era : int
        Latest era of the store in an answer to this instance.
    usable_from : float
        Time on this machine's clock from which the answers of the era show
        what had been written before the store was restored.

    Examples
    --------
    >>> clock = StoreClock(log=None)
    >>> clock.record(StoreTime(era=1, sent=100.0, received=100.5, store=7.0))
    >>> clock.record(StoreTime(era=1, sent=101.0, received=104.0, store=10.9))
    >>> round(clock.earliest(11.0, era=1, now=104.0), 2)
    104.0
    >>> clock.earliest(11.0, era=2, now=104.0)
    -inf
    """

    def __init__(self, *, log):
        self.log = log
        self.era = -1
        self.usable_from = -math.inf
        self.difference = -math.inf
        self.measured_at = -math.inf

    def record(self, time):
        """Record a StoreTime."""
        if time.era < self.era:
            return
        if time.era > self.era:
            self._begin_era(time)
        least, most = time.sent - time.store, time.received - time.store
        excess = self._difference(time.received) - most
        if excess > 0.0:
            self.log.decision(
                "store_clock", outcome="jumped", era=self.era, by=round(excess, 3)
            )
            self.difference = -math.inf
        if least >= self._difference(time.sent):
            self.difference, self.measured_at = least, time.sent

    def _begin_era(self, time):
        is_first = self.era < 0 and time.era <= FIRST_ERA
        self.era = time.era
        self.usable_from = -math.inf if is_first else time.received + REWRITE_SECONDS
        self.difference = self.measured_at = -math.inf

    def _difference(self, now):
        if self.difference == -math.inf:
            return -math.inf
        return self.difference - MAX_DRIFT * max(0.0, now - self.measured_at)

    def earliest(self, store, *, era, now):
        """Return when the store's clock showed `store`, at the earliest.

        Parameters
        ----------
        store : float
            Seconds.
        era : int
            In which the clock showed it.
        now : float
            Present time on this machine's clock.

        Returns
        -------
        float
            Time on this machine's clock, at most `now`; -inf if it is not
            known.
        """
        if era != self.era:
            return -math.inf
        return min(now, store + self._difference(now))
