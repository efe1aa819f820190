"""Confirmation of the applied configuration and its acceptance."""

import math
from collections import deque
from typing import NamedTuple

__all__ = [
    "CONFIRM_LIFETIME",
    "ACCEPT_WAIT",
    "Acceptance",
    "Freshness",
    "majority",
]

# Seconds for which a confirmation holds, counted from the sending of the
# request that it answers.
CONFIRM_LIFETIME = 2.5
# Seconds from a majority's acknowledgement to acceptance. The part above
# CONFIRM_LIFETIME covers clocks of different rates and the time between the
# check of a confirmation and the write of the request that it allows.
ACCEPT_WAIT = 2.6
# A newer acceptance implies the older ones, so the oldest are dropped.
MAX_ACCEPTANCES = 64
# Upper limits of the age groups of relayed reports, in seconds.
RELAY_AGE_LIMITS = (0.6, 1.2, 1.8)
# Seconds for which computed relays are reused, with their ages advanced;
# computing them takes about 0.5 ms for a roster of 340.
RELAY_CACHE_LIFETIME = 0.2


def majority(count):
    """Return the size of a majority of `count` members.

    Examples
    --------
    >>> [majority(count) for count in (1, 2, 3, 6)]
    [1, 2, 2, 4]
    """
    return count // 2 + 1


class Acceptance(NamedTuple):
    """Progress of one version towards being in effect.

    Attributes
    ----------
    rosters : tuple of dict
        Each must acknowledge the version by a majority.
    majority_at : float or None
        When the majorities were first known.
    """

    rosters: tuple
    majority_at: float | None = None


class Freshness:
    """Evidence that no newer accepted version exists.

    All times are seconds of this instance's monotonic clock. That clock must
    keep running during suspend, or an old confirmation stays valid afterwards.

    Parameters
    ----------
    member : RosterMember
        This instance; its incarnation need not be in the roster.
    accept_wait, confirm_lifetime : float
        Seconds; replaced by faulty values in tests of the checks.
    serve_unconfirmed_for : float
        Seconds for which new work is allowed without confirmation. Above 0,
        a partitioned instance can use an older version for that much longer.

    Examples
    --------
    >>> from wagtailfront.authority.config_state import EMPTY, RosterMember
    >>> member = RosterMember("i1", "entry-1", "10.0.0.1:1", "brum")
    >>> freshness = Freshness(member=member)
    >>> freshness.applied(0.0, EMPTY)
    >>> freshness.head_read(1.0, 0)
    >>> freshness.may_dispatch(3.4), freshness.may_dispatch(3.6)
    (True, False)
    """

    def __init__(
        self,
        *,
        member,
        accept_wait=ACCEPT_WAIT,
        confirm_lifetime=CONFIRM_LIFETIME,
        serve_unconfirmed_for=0.0,
    ):
        self.member = member
        self.accept_wait = accept_wait
        self.confirm_lifetime = confirm_lifetime
        self.serve_unconfirmed_for = serve_unconfirmed_for
        self.config = None
        self.roster_names = []
        self.relay_cache = (-math.inf, [])
        self.head_reads = deque(maxlen=8)
        self.reports = {}
        self.acknowledged = {}
        self.acceptances = {}
        self.version_in_effect = 0
        self.confirmed_until = -math.inf

    def majority(self, count):
        """Return how many of `count` members must confirm or acknowledge."""
        return majority(count)

    def voter(self, incarnation, instance):
        """Return the roster key under which an incarnation counts.

        Only the incarnation itself counts. A restarted process has lost what
        it acknowledged and must not confirm for its predecessor.
        """
        return incarnation

    def applied(self, now, config):
        """Handle a newly applied configuration."""
        self.config = config
        self.roster_names = sorted(config.roster)
        self.relay_cache = (-math.inf, [])
        rosters = (config.roster,)
        if config.roster_version > self.version_in_effect:
            rosters += (config.previous_roster,)
        self.acceptances[config.version] = Acceptance(rosters)
        if len(self.acceptances) > MAX_ACCEPTANCES:
            del self.acceptances[min(self.acceptances)]
        self._evict_former_members()
        self.refresh()

    def _evict_former_members(self):
        """Bound the memory; a lost acknowledgement only delays acceptance."""
        members = self.config.roster | self.config.previous_roster
        if len(self.reports) > 2 * len(members) + 100:
            for incarnation in set(self.reports) - set(members):
                del self.reports[incarnation], self.acknowledged[incarnation]

    def head_read(self, sent_at, version):
        """Record the head's version, read by a request sent at `sent_at`."""
        self.head_reads.append((sent_at, version))
        self.refresh()

    def report(self, incarnation, instance, sent_at, version):
        """Record a version that a peer had applied after `sent_at`."""
        self._record(incarnation, instance, sent_at, version)
        self.refresh()

    def _record(self, incarnation, instance, sent_at, version):
        voter = self.voter(incarnation, instance)
        known = self.acknowledged.get(voter, 0)
        self.acknowledged[voter] = max(known, version)
        self.reports[voter] = max(
            self.reports.get(voter, (-math.inf, 0)), (sent_at, version)
        )

    def latest_report(self, now, gone):
        """Return the highest version that a peer in touch has reported."""
        return max(
            (
                version
                for incarnation, (sent_at, version) in self.reports.items()
                if incarnation not in gone and now - sent_at <= CONFIRM_LIFETIME
            ),
            default=0,
        )

    def refresh(self):
        """Compute until when the applied version is confirmed."""
        if self.config is None:
            return
        version = self.config.version
        by_head = (sent for sent, head in self.head_reads if head <= version)
        newest = max(max(by_head, default=-math.inf), self._majority_report())
        self.confirmed_until = newest + self.confirm_lifetime

    def _majority_report(self):
        """Return the latest time at or after which a majority reported."""
        roster = self.config.roster
        myself = self.voter(self.member.incarnation, self.member.instance)
        times = [
            math.inf if incarnation == myself else self._report_time(incarnation)
            for incarnation in roster
        ]
        needed = self.majority(len(roster))
        if len(times) < needed:
            return -math.inf
        return sorted(times, reverse=True)[needed - 1]

    def _report_time(self, incarnation):
        sent_at, version = self.reports.get(incarnation, (-math.inf, 0))
        return sent_at if version <= self.config.version else -math.inf

    def may_dispatch(self, now):
        """Return whether new work may be given to endpoints at `now`."""
        return now < self.confirmed_until + self.serve_unconfirmed_for

    def update(self, now, gone=frozenset()):
        """Advance acceptances; return whether another version took effect.

        Parameters
        ----------
        gone : set of str
            Incarnations known to have ended. They can confirm nothing any
            more and count as having acknowledged every version.
        """
        for version, acceptance in self.acceptances.items():
            if acceptance.majority_at is None and all(
                self._has_majority(roster, version, gone)
                for roster in acceptance.rosters
            ):
                self.acceptances[version] = acceptance._replace(majority_at=now)
        done = [
            version
            for version, acceptance in self.acceptances.items()
            if acceptance.majority_at is not None
            and now >= acceptance.majority_at + self.accept_wait
        ]
        if not done:
            return False
        self.version_in_effect = max(done)
        self.acceptances = {
            version: acceptance
            for version, acceptance in self.acceptances.items()
            if version > self.version_in_effect
        }
        return True

    def _has_majority(self, roster, version, gone):
        """Return whether enough of `roster` can confirm no older version.

        An empty roster confirms nobody, so it needs no acknowledgement.
        """
        missing = self._missing(roster, version, gone)
        return not roster or len(roster) - len(missing) >= self.majority(len(roster))

    def _missing(self, roster, version, gone):
        myself = self.voter(self.member.incarnation, self.member.instance)
        return [
            incarnation
            for incarnation in roster
            if self.acknowledged.get(incarnation, 0) < version
            and incarnation not in gone
            and not (incarnation == myself and self.config.version >= version)
        ]

    def in_effect(self, version):
        """Return whether `version` is accepted and in effect everywhere."""
        return version <= self.version_in_effect

    def missing(self, gone=frozenset()):
        """Return instances that have not acknowledged the applied version."""
        rosters = (self.config.roster, self.config.previous_roster)
        members = rosters[1] | rosters[0]
        missing = self._missing(members, self.config.version, gone)
        return tuple(sorted({members[name].instance for name in missing}))

    def relays(self, now):
        """Return bitmaps of the members that reported the applied version.

        Returns
        -------
        list of (float, bytes)
            Age of the oldest report in seconds and a bitmap over the
            roster's incarnations in ascending order.
        """
        made_at, relays = self.relay_cache
        if now - made_at > RELAY_CACHE_LIFETIME:
            made_at, relays = now, self._make_relays(now)
            self.relay_cache = (made_at, relays)
        return [(age + now - made_at, bitmap) for age, bitmap in relays]

    def _make_relays(self, now):
        groups = {}
        for position, incarnation in enumerate(self.roster_names):
            sent_at, version = self.reports.get(incarnation, (-math.inf, 0))
            if incarnation == self.member.incarnation:
                sent_at, version = now, self.config.version
            limit = next(
                (age for age in RELAY_AGE_LIMITS if now - sent_at <= age), None
            )
            if limit is not None and version == self.config.version:
                oldest, bits = groups.get(limit, (0.0, 0))
                groups[limit] = (max(oldest, now - sent_at), bits | 1 << position)
        size = (len(self.roster_names) + 7) // 8
        return [(age, bits.to_bytes(size, "big")) for age, bits in groups.values()]

    def handle_relays(self, sent_at, version, relays):
        """Record the bitmaps in the answer to a ping sent at `sent_at`.

        The answer was made after `sent_at`, so a report that was `age` old
        at that time belongs to a ping sent after `sent_at - age`. The bitmap
        is over the sender's roster, which is known only for equal versions.
        """
        if self.config is None or version != self.config.version:
            return
        for age, bitmap in relays:
            reported_at = sent_at - age
            bits = int.from_bytes(bitmap, "big")
            for position, incarnation in enumerate(self.roster_names):
                if bits >> position & 1:
                    self._record_relayed(incarnation, reported_at, version)
        self.refresh()

    def _record_relayed(self, incarnation, reported_at, version):
        """Record a relayed report unless a newer one is known."""
        known = self.reports.get(incarnation)
        if incarnation != self.member.incarnation and (
            known is None or known < (reported_at, version)
        ):
            instance = self.config.roster[incarnation].instance
            self._record(incarnation, instance, reported_at, version)
