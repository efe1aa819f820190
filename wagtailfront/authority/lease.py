"""Leases with fencing numbers, stored as table rows."""

import logging
from typing import Annotated, NamedTuple

import msgspec
import xxhash

from wagtailfront.authority.effects import (
    OutstandingRequest,
    ReadRow,
    StartTimer,
    WriteRows,
)
from wagtailfront.decisions.subsetting import ranked
from wagtailfront.decoding import decode_msgpack
from wagtailfront.exception import ProtocolError
from wagtailfront.stores.interfaces import (
    Committed,
    Found,
    Key,
    Put,
    Unavailable,
)

__all__ = ["Lease", "LeaseTimes", "Grant", "LeaseMachine", "lease_key", "candidates"]

logger = logging.getLogger(__name__)

NO_HOLDER = ""
MAX_NUMBER = 2**53
# Era of a store that has never come back from an older copy; 0 if it does not
# say. In any later one a lease may have been lost.
FIRST_ERA = 1
FENCING_NUMBERS_PER_ERA = 2**20

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class Lease(msgspec.Struct, frozen=True):
    """Value of a lease row.

    Attributes
    ----------
    holder : str
        Incarnation of the holding instance, empty after a release.
    fencing : int
        Raised by 1 at each takeover. Those of a later era of the store are
        higher than all of an earlier one, whose takeovers may be lost.
    beat : int
        Counts the holder's writes; `holder` and `beat` identify a write.
    era : int
        Era of the store for which it was written.
    """

    holder: str
    fencing: Number
    beat: Number
    era: Number = 0


class LeaseTimes(NamedTuple):
    """Times of a lease in seconds.

    The margin applies twice: the holder stops that much before the end of the
    lifetime, at 7.5 s, and a candidate waits that much longer, until 10.5 s.
    This is safe for clocks whose rates differ by a factor below 1.4.
    """

    lifetime: float = 9.0
    renew_every: float = 3.0
    margin: float = 1.5
    retry_after: float = 0.5


class Grant(NamedTuple):
    """Proof of a held lease, to be checked in each transaction.

    Attributes
    ----------
    key : Key
    version : int
        Version of the lease row, changed by each renewal and takeover.
    fencing : int
    since : float
        When this holder got the reply that confirmed its takeover.
    until : float
        No effect may start at or after this time on the holder's clock.
    has_predecessor : bool
        Whether another instance may have held the lease before.
    was_released : bool
        Whether its predecessor released it, so that no time has passed since.
    """

    key: Key
    version: int
    fencing: int
    since: float
    until: float
    has_predecessor: bool = True
    was_released: bool = False


def lease_key(group):
    """Return the key of the lease row of `group`."""
    return Key("lease", group)


def candidates(group, instances, count=2):
    """Return the instances that should request the lease, best first.

    Rendezvous hashing spreads the groups over the instances and moves only
    the groups of an instance that joins or leaves.

    Parameters
    ----------
    group : str
    instances : iterable of str
        Incarnations that are live.
    count : int

    Examples
    --------
    >>> candidates("desk-assist/brum", ["i1", "i2", "i3"])
    ['i2', 'i3']
    """
    return ranked(instances, key=group, digest=xxhash.xxh64_intdigest)[:count]


class LeaseMachine:
    """Acquires, renews and releases one lease.

    Parameters
    ----------
    group : str
    instance : str
        Incarnation of this process; never reused by a later process.
    new_token : callable
        Returns a fresh token for each transaction.
    times : LeaseTimes

    Notes
    -----
    The lifetime starts when the last committed write was sent, on the
    holder's own clock, so a slow or lost reply shortens it. The send times
    are cleared when the lease is released: the release may take effect late,
    and only a write that is committed after it excludes that.

    A store that comes back from an older copy has lost takeovers since. What
    a row of an earlier era says is not used: the lease is taken over when
    every holder of before has had to stop.

    Examples
    --------
    >>> from wagtailfront.stores.interfaces import Missing
    >>> machine = LeaseMachine(group="g", instance="i", new_token=lambda: "t1")
    >>> read, timer = machine.want(0.0, True)
    >>> write, timer = machine.on_reply(0.1, read.tag, Missing())
    >>> effects = machine.on_reply(0.2, write.tag, Committed())
    >>> machine.is_held(7.5), machine.is_held(7.6)
    (True, False)
    """

    def __init__(self, *, group, instance, new_token, times=None):
        self.group = group
        self.key = lease_key(group)
        self.instance = instance
        self.new_token = new_token
        self.times = times or LeaseTimes()
        self.store_request = OutstandingRequest(owner=f"lease/{group}")
        self.wanted = False
        self.era = None
        self.has_predecessor = True
        self.was_released = False
        self.unreadable = None  # latest version of the row that was not read
        self.row = None  # version and Lease of the last known row
        self.seen_at = None  # when that version was first read or written
        self.until = float("-inf")
        self.since = None
        self.since_fencing = 0
        self.beat = 0
        self.sent = {}  # beat -> send time, from the last confirmed write on
        self.writing = None
        self.next_step = float("-inf")

    def is_held(self, now):
        """Whether effects may start at `now`."""
        return now < self.until

    def grant(self, now):
        """Return the `Grant` at `now`, None if the lease is not held."""
        if not self.is_held(now):
            return None
        version, lease = self.row
        return Grant(
            self.key,
            version,
            lease.fencing,
            self.since,
            self.until,
            self.has_predecessor,
            self.was_released,
        )

    def want(self, now, wanted):
        """Request the lease or release it at once."""
        if wanted != self.wanted:
            self.wanted = wanted
            self.next_step = now
            if not wanted:
                self._stop_holding()
        return self.on_time(now)

    def on_time(self, now):
        """Return the effects that are due at `now`."""
        if self.store_request.is_waiting(now):
            return (StartTimer(self.store_request.due()),)
        if self.store_request.expire(now):
            return self._read(now)
        if now >= self.next_step:
            return self._step(now)
        return self._sleep()

    def on_reply(self, now, tag, reply):
        """Handle a reply of the store; duplicates have no effect."""
        call = self.store_request.close(tag)
        if call is None:
            return ()
        kind, sent_at = call
        if isinstance(reply, Unavailable):
            self.next_step = now + self.times.retry_after
            return self._sleep()
        if kind == "read":
            return self._on_read(now, sent_at, reply)
        if isinstance(reply, Committed) and reply.era == self.era:
            return self._on_written(now)
        return self._read(now)

    def _sleep(self):
        return (StartTimer(self.next_step),) if self._is_active() else ()

    def _is_active(self):
        return self.wanted or self.is_own()

    def is_own(self):
        """Whether the last known row names this instance as holder."""
        if self.row is None:
            return False
        lease = self.row[1]
        return lease.holder == self.instance and lease.era == self.era

    def is_released(self):
        """Whether the lease is not wanted or owned and no request is open."""
        return not self.wanted and not self.is_own() and self.store_request.tag is None

    def _stop_holding(self):
        """Treat the lease as not held until a later write is committed."""
        self.until = float("-inf")
        self.sent.clear()

    def _step(self, now):
        if not self._is_active():
            return ()
        if self.is_own():
            return self._write_own(now)
        return self._read(now)

    def _read(self, now):
        self.next_step = now + self.times.retry_after
        tag = self.store_request.open("read", now)
        return ReadRow(tag, self.key), StartTimer(self.store_request.due())

    def _on_read(self, now, sent_at, reply):
        version, lease = 0, Lease(NO_HOLDER, 0, 0, min(reply.era, FIRST_ERA))
        if isinstance(reply, Found):
            version = reply.row.version
            try:
                lease = decode_msgpack(reply.row.value, Lease)
            except ProtocolError as error:
                return self._on_unreadable(now, version, error)
        if self.row is None or self.row[0] != version or self.era != reply.era:
            self.seen_at = now
        self.row, self.era = (version, lease), reply.era
        if self.is_own():
            self._confirm(now)
            if not self.wanted or now >= self.until:
                return self._write_own(now)
            self.next_step = self.sent[lease.beat] + self.times.renew_every
            return self.on_time(now)
        self._stop_holding()
        if not self.wanted:
            return ()
        is_free = lease.holder == NO_HOLDER and lease.era == self.era
        if is_free or sent_at >= self._takeover_at():
            self.has_predecessor = not is_free or lease.fencing > 0
            self.was_released = is_free and self.has_predecessor
            return self._write(now, Lease(self.instance, self._next_fencing(), 0))
        self.next_step = min(now + self.times.renew_every, self._takeover_at())
        return self._sleep()

    def _next_fencing(self):
        """Return the fencing number of a takeover of the known row.

        A delayed write of an earlier era may have replaced the row of a
        holder in this one, with its number. The row's version counts all
        writes, so it is at least the count of the era's takeovers.
        """
        version, lease = self.row
        first = self.era * FENCING_NUMBERS_PER_ERA
        if lease.era < self.era:
            first += version
        return max(lease.fencing, first) + 1

    def _on_unreadable(self, now, version, error):
        """Read later again: fencing numbers must not start anew."""
        if version != self.unreadable:
            self.unreadable = version
            logger.warning("[lease] row of %s skipped: %.160s", self.group, error)
        self.next_step = now + self.times.retry_after
        return self._sleep()

    def _takeover_at(self):
        return self.seen_at + self.times.lifetime + self.times.margin

    def _write_own(self, now):
        fencing = self.row[1].fencing
        holder = self.instance if self.wanted else NO_HOLDER
        return self._write(now, Lease(holder, fencing, 0))

    def _write(self, now, lease):
        self.beat += 1
        lease = msgspec.structs.replace(lease, beat=self.beat, era=self.era)
        if lease.holder == self.instance:
            self.sent[self.beat] = now
        version = self.row[0]
        self.writing = (version + 1, lease)
        put = Put(self.key, version, msgspec.msgpack.encode(lease))
        tag = self.store_request.open("write", now)
        self.next_step = now + self.times.renew_every
        return (
            WriteRows(tag, self.new_token(), (put,)),
            StartTimer(self.store_request.due()),
        )

    def _on_written(self, now):
        self.row = self.writing
        self.seen_at = now
        if not self.is_own():
            self._stop_holding()
            self.next_step = now
            return self.on_time(now)
        self._confirm(now)
        if not self.wanted:
            self.next_step = now
        return self.on_time(now)

    def _confirm(self, now):
        """Start the lifetime at the send time of the write in the row."""
        lease = self.row[1]
        sent_at = self.sent.get(lease.beat)
        if sent_at is None:
            self.until = float("-inf")
            return
        self.sent = {beat: at for beat, at in self.sent.items() if beat >= lease.beat}
        if self.since_fencing != lease.fencing:
            self.since_fencing = lease.fencing
            self.since = now
        self.until = sent_at + self.times.lifetime - self.times.margin
