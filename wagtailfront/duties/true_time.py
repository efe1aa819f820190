"""True time by the clocks of all instances."""

import statistics
import time

from wagtailfront.freshness.store_clock import boot_clock

__all__ = ["ClockEstimate", "TrueTime"]

# Seconds by which clocks may drift apart in one second, so that a recent
# answer of the store replaces one that took less time.
DRIFT = 0.001
# Seconds for which the report of a peer is used; each is sent once a second.
REPORT_LIFETIME = 3.0
# Seconds from the start after which an instance that does not hear of half of
# the fleet goes by what it has.
AGREE_SECONDS = 2.5
# Reports that outvote a clock that is wrong; fewer do not move true time by
# more than a correction of a clock, in seconds.
ENOUGH_REPORTS, MAX_CORRECTION = 3, 0.5
MS_PER_SECOND = 1000


class ClockEstimate:
    """Estimates the store's clock from its answers.

    Attributes
    ----------
    ahead : float or None
        Seconds by which the store's clock is ahead of this machine's time
        since boot; None before an answer that tells.
    era : int
        Era of the store in which it was.
    is_in_touch : bool
        Whether the latest call to the store was answered.

    Examples
    --------
    >>> from wagtailfront.freshness.store_clock import StoreTime
    >>> clock = ClockEstimate()
    >>> clock.record(StoreTime(era=1, sent=10.0, received=10.2, store=50.0))
    >>> clock.record(StoreTime(era=1, sent=11.0, received=12.2, store=52.0))
    >>> round(clock.ahead, 3)
    39.9
    """

    def __init__(self):
        self.ahead = None
        self.era = 0
        self.error = 0.0  # seconds
        self.read_at = 0.0
        self.is_in_touch = False

    def record(self, time):
        """Take a StoreTime, of an answer of the store."""
        if time.era < self.era:
            return
        self.is_in_touch = True
        error = (time.received - time.sent) / 2
        aged = self.error + DRIFT * (time.received - self.read_at)
        if self.ahead is None or time.era > self.era or error <= aged:
            self.ahead = time.store - (time.sent + time.received) / 2
            self.error, self.read_at, self.era = error, time.received, time.era

    def record_silence(self):
        """Record that a call to the store got no answer."""
        self.is_in_touch = False


class TrueTime:
    """Agrees with peers on the time of day; a `DigestPart`.

    Each instance reports its time of day less the store's clock. The median
    is true time on the store's clock, so no instance's own clock matters,
    also if it is set to another time.

    Parameters
    ----------
    incarnation : str
        Of this instance.
    find_era : callable
        Returns the latest era of the store, which digests name.
    count_instances : callable
        Returns how many instances the fleet has.
    may_report : callable, optional
        Returns whether this instance may take part in duties; peers see by
        its reports that it does.
    clock, wall_clock : callable, optional
        Return seconds since boot, and seconds since 1970.

    Attributes
    ----------
    store_clock : ClockEstimate
    ahead : float or None
        Seconds by which true time is ahead of the time since boot.
    is_agreed : bool
        Whether it may be used; before, it is that of this instance alone.
    """

    def __init__(
        self,
        *,
        incarnation,
        find_era,
        count_instances,
        may_report=lambda: True,
        clock=boot_clock,
        wall_clock=time.time,
    ):
        self.incarnation = incarnation
        self.find_era = find_era
        self.count_instances = count_instances
        self.may_report = may_report
        self.clock = clock
        self.wall_clock = wall_clock
        self.store_clock = ClockEstimate()
        self.ahead = None
        self.is_agreed = False
        self.started = clock()
        self.peers = {}  # incarnation -> offset, era and time of its report

    def now(self):
        """Return true time in seconds since 1970."""
        return self.at(self.clock())

    def at(self, since_boot):
        """Return the true time of a time since boot."""
        if self.ahead is None:
            return self.wall_clock() - self.clock() + since_boot
        return since_boot + self.ahead

    def reporters(self):
        """Return the incarnations that report, which may hold duties.

        If there are none, this instance is the only one that may.
        """
        own = [self.incarnation] if self._is_reporting() else []
        return [*own, *self._live_peers()] or [self.incarnation]

    def update(self):
        """Agree on true time anew.

        An instance that hears of less than half of the fleet keeps what it
        agreed on before: it may be cut off, and its own clock wrong.
        """
        if self.store_clock.ahead is None:
            return
        offsets = list(self._live_peers().values())
        if self._is_reporting() or not offsets:
            offsets.append(self._own_offset())
        is_majority = 2 * len(offsets) >= max(1, self.count_instances())
        # One of the reports, as a mean could be that of a right clock and of a
        # wrong one.
        ahead = statistics.median_low(offsets) + self.store_clock.ahead
        if not self.is_agreed:
            self.ahead = ahead
            is_late = self.clock() - self.started >= AGREE_SECONDS
            is_known = is_majority and self.count_instances() > 0
            self.is_agreed = is_late or is_known
        elif is_majority and (
            len(offsets) >= ENOUGH_REPORTS or abs(ahead - self.ahead) < MAX_CORRECTION
        ):
            self.ahead = ahead

    def fields(self, *, now, full):
        """Return this instance's report, once a second."""
        if not full or not self._is_reporting():
            return {}
        return {"clock_offset_ms": round(self._own_offset() * MS_PER_SECOND)}

    def merge(self, digest, *, now):
        """Take a peer's report."""
        if digest.clock_offset_ms is not None:
            offset = digest.clock_offset_ms / MS_PER_SECOND
            self.peers[digest.incarnation] = (offset, digest.era, self.clock())

    def _own_offset(self):
        return self.wall_clock() - self.clock() - self.store_clock.ahead

    def _is_reporting(self):
        store_clock = self.store_clock
        return (
            store_clock.ahead is not None
            and store_clock.is_in_touch
            and store_clock.era == self.find_era()
            and self.may_report()
        )

    def _live_peers(self):
        """Return the offsets of the peers that report, in the present era."""
        now, era = self.clock(), self.store_clock.era
        for incarnation, (_offset, _era, at) in tuple(self.peers.items()):
            if now - at > REPORT_LIFETIME:
                del self.peers[incarnation]
        return {
            incarnation: offset
            for incarnation, (offset, reported, _at) in self.peers.items()
            if reported == era
        }
