"""The largest age that the configuration in force can have."""

import math
import time

from wagtailfront.freshness.store_clock import boot_clock

__all__ = ["ConfigAge"]

TABLE = "routing"  # answers about other tables say nothing of the keys
# Share of the limit at which keyed work ends, as requests may be on their way
# from the caller when the key is removed.
REFUSED_SHARE = 0.9
# Share of the same at which the store is asked, whatever peers have reported.
ASK_SHARE = 0.5
MS_PER_SECOND = 1000


class ConfigAge:
    """How long ago the applied configuration was certainly the newest.

    Only the time when the store gave an answer counts, on its own clock. So
    neither late answers and reports nor a process that stood still between
    any two steps make the configuration look younger than it is.

    Parameters
    ----------
    store_clock : StoreClock
    versions : StoreVersions
    limit : float
        Seconds after which no request of a removed key may be served.
    clock : callable, optional
        Returns seconds that go on while the machine is suspended.
    timer_clock : callable, optional
        Returns the seconds of the clock by which timers are set.

    Attributes
    ----------
    newest_at : float
        Time on `clock` at which the applied configuration was the newest.
    own_store_time : float or None
        The store's clock at the latest answer to this instance in which, with
        all before, nothing newer was.
    own_era : int
        Era of that answer.

    Notes
    -----
    Implements `DigestPart`. A peer's report counts if this instance has
    applied the version that the peer knows, since the peer's answer then
    shows that nothing newer was there.
    """

    def __init__(
        self,
        *,
        store_clock,
        versions,
        limit,
        clock=boot_clock,
        timer_clock=time.monotonic,
    ):
        self.store_clock = store_clock
        self.versions = versions
        self.position = versions.tables.index(TABLE)
        self.limit = limit
        self.clock = clock
        self.timer_clock = timer_clock
        self.newest_at = -math.inf
        self.own_store_time = None
        self.own_era = 0

    @property
    def refused_from(self):
        """Age in seconds from which keyed work is refused."""
        return REFUSED_SHARE * self.limit

    def age(self):
        """Return the largest possible age in seconds; infinite if unknown."""
        return self.clock() - self.newest_at

    def state(self):
        """Return what the age depends on, for the log."""
        return {
            "era": self.store_clock.era,
            "own_answer_era": self.own_era,
            "known": self.versions.known[self.position],
        }

    def due(self):
        """Return when to ask the store, on the clock of the timers."""
        left = ASK_SHARE * self.refused_from - self.age()
        return self.timer_clock() + left

    def record_applied(self, read):
        """Record a RoutingRead that is applied, and all changes before it."""
        if read.store_time is not None:
            self.own_store_time = read.store_time
            self.own_era = read.cursor.era
            self._record(read.store_time, read.cursor.era)

    def _record(self, store_time, era):
        now = self.clock()
        newest_at = self.store_clock.earliest(store_time, era=era, now=now)
        if newest_at >= self.store_clock.usable_from:
            self.newest_at = max(self.newest_at, newest_at)

    def fields(self, *, now, full):
        """Return the fields of a digest that tell of the latest answer."""
        if self.own_store_time is None or self.own_era != self.store_clock.era:
            return {}
        times = [None] * len(self.versions.tables)
        times[self.position] = math.floor(self.own_store_time * MS_PER_SECOND)
        return {"table_store_ms": tuple(times), "clock_era": self.own_era}

    def merge(self, digest, *, now):
        """Take what a peer's PlacementDigest tells of its latest answer."""
        if len(digest.table_store_ms) <= self.position:
            return  # of an older build, or without an answer so far
        store_ms = digest.table_store_ms[self.position]
        is_level = self.versions.is_level(digest.era, digest.versions)
        is_present = digest.clock_era == digest.era and any(
            is_level[self.position : self.position + 1]
        )
        if store_ms is not None and is_present:
            self._record(store_ms / MS_PER_SECOND, digest.clock_era)
