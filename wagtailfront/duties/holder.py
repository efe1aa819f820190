"""Holder of duties: one instance at a time, with fencing numbers."""

from typing import NamedTuple

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.lease import LeaseTimes, candidates
from wagtailfront.authority.lease_manager import LeaseManager
from wagtailfront.freshness.store_clock import boot_clock
from wagtailfront.identifiers import new_id
from wagtailfront.transport.ticker import Ticker

__all__ = ["DUTY_TIMES", "DutyHolder", "HolderWaits", "duty_waits"]

# The holder stops 3.75 s after its last write was sent, and a successor takes
# the lease over at the earliest 5.25 s after it saw that write.
DUTY_TIMES = LeaseTimes(lifetime=4.5, renew_every=1.5, margin=0.75)
CHECK_INTERVAL = 0.5  # seconds
# Seconds by which a call may reach the platform after it was written; the
# connections of DutyClient give up by then.
CALL_DELAY = 0.75
# Seconds from a takeover of an expired lease to the first call, and from the
# last call to the end of the lease. With the margins, 2.75 s then lie between
# the calls of two holders: a platform that answers 50 times slower than usual
# may handle a call that late, and the next one at once.
EXPIRY_WAIT, END_MARGIN = 0.5, 0.75


class HolderWaits(NamedTuple):
    """Seconds in which the holder of a lease makes no calls.

    Attributes
    ----------
    after_release : float
        From a takeover, if the predecessor released the lease.
    after_expiry : float
        From a takeover, if the predecessor has stopped renewing it.
    before_end : float
        Until the end of a lease that is not renewed.
    """

    after_release: float
    after_expiry: float
    before_end: float = 0.0


def duty_waits(gap, times=DUTY_TIMES):
    """Return the waits that keep holders from acting as A, B, A within `gap`.

    The calls of A lie before one takeover and after another. If one of them is
    of a released lease, the wait after it alone is longer than `gap`. If both
    are of expired ones, the whole lifetime of B's lease lies between them too.

    Parameters
    ----------
    gap : float
        Seconds in which no two changes of the holder may show.
    times : LeaseTimes, optional

    Examples
    --------
    >>> duty_waits(3.0)
    HolderWaits(after_release=3.75, after_expiry=0.5, before_end=0.75)
    >>> duty_waits(9.0).after_expiry
    4.5
    """
    after_release = gap + CALL_DELAY
    lifetime = times.lifetime + times.margin - CALL_DELAY
    after_expiry = max(EXPIRY_WAIT, gap - lifetime)
    return HolderWaits(after_release, after_expiry, END_MARGIN)


class check_candidates(Event):
    """Check whether this instance is to ask for the lease: ()."""


class DutyHolder(BaseComponent):
    """Holds the lease of duties that one instance at a time carries out.

    Implements `DutyHold`.

    Parameters
    ----------
    group : str
        Names the lease row.
    incarnation : str
        Identifies this start of the instance.
    find_live : callable
        Returns the incarnations that may hold the lease.
    table : TableStore
    waits : HolderWaits
    times : LeaseTimes, optional
    candidate_count : int, optional
        How many instances ask for the lease; others do not read its row.
    keeps : bool, optional
        Whether a holder that is no longer a candidate goes on, as long as it
        may hold the lease. The holder then changes less often.
    may_hold : callable, optional
        Returns False while this instance is to release the lease.
    log : DecisionLog
    clock : callable, optional
        Returns seconds that go on while the machine sleeps.

    Attributes
    ----------
    wanted : bool
        Whether this instance has duties to carry out.
    asks : bool
        Whether it asks for the lease or holds it.
    """

    channel = "duty_holder"

    def __init__(
        self,
        *,
        group,
        incarnation,
        find_live,
        table,
        waits,
        log,
        times=DUTY_TIMES,
        candidate_count=2,
        keeps=True,
        may_hold=lambda: True,
        clock=boot_clock,
    ):
        super().__init__()
        self.group = group
        self.incarnation = incarnation
        self.find_live = find_live
        self.waits = waits
        self.log = log
        self.candidate_count = candidate_count
        self.keeps = keeps
        self.may_hold = may_hold
        self.clock = clock
        self.wanted = False
        self.asks = False
        self.lease = LeaseManager(
            group=group,
            # A component that was restarted must not take the writes of the
            # one before it for its own, as it counts anew.
            instance=f"{incarnation}/{new_id()}",
            store=table,
            clock=clock,
            times=times,
        ).register(self)
        Ticker(
            interval=CHECK_INTERVAL,
            make_event=check_candidates,
            target=self.channel,
            is_needed=lambda: self.wanted,
        ).register(self)

    def want(self, wanted):
        """Take part in holding the lease, or release it."""
        self.wanted = wanted
        self.check()

    def check(self):
        """Ask for the lease or release it, as the live instances require."""
        asked = self.asks
        self.asks = self.wanted and self.may_hold() and self._is_candidate()
        if asked or self.asks:
            self.lease.want(self.asks)

    def _is_candidate(self):
        if self.keeps and self.lease.grant() is not None:
            return True
        best = candidates(self.group, self.find_live(), count=self.candidate_count)
        return self.incarnation in best

    def grant(self):
        """Return the Grant of the lease, or None if no call may be made now.

        To be asked directly before each call: after a pause of the process
        the lease may have expired.
        """
        grant, now = self.lease.grant(), self.clock()
        if grant is None or now >= grant.until - self.waits.before_end:
            return None
        return grant if now - grant.since >= self._wait(grant) else None

    def _wait(self, grant):
        if not grant.has_predecessor:
            return 0.0
        if grant.was_released:
            return self.waits.after_release
        return self.waits.after_expiry

    def wake_if_due(self, now):
        """Step the lease if its timer is due."""
        self.lease.wake_if_due(now)

    @handler("check_candidates")
    def _on_check_candidates(self):
        self.check()

    @handler("lease_acquired", channel="authority")
    def _on_lease_acquired(self, group, fencing):
        grant = self.lease.grant()
        if group != self.group or grant is None:
            return
        self.log.decision(
            "duty_holder",
            outcome="holds",
            duties=group,
            fencing=fencing,
            wait=self._wait(grant),
        )

    @handler("lease_lost", channel="authority")
    def _on_lease_lost(self, group):
        if group == self.group:
            self.log.decision("duty_holder", outcome="holds no more", duties=group)
