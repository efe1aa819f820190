"""Members of the fleet, from the platform's list and heartbeats."""

from typing import NamedTuple

__all__ = ["WORK_LIFETIME", "GONE_AFTER", "ListedInstance", "Member", "MemberList"]

# Seconds after the sending of a ping for which the answer of an instance that
# is not leaving makes it eligible for new work.
WORK_LIFETIME = 3.0
# Seconds without an answer after which an instance can count as gone.
GONE_AFTER = 10.0


class ListedInstance(NamedTuple):
    """An entry of the platform's list, which may be out of date."""

    instance: str
    address: str
    data_centre: str
    state: str


class Member(NamedTuple):
    """State of one incarnation, as known from heartbeats.

    `seen_at` is when the latest ping that it answered was sent, in seconds.
    """

    incarnation: str
    instance: str
    address: str
    data_centre: str
    seen_at: float
    leaving: bool = False


class MemberList:
    """Merges the platform's list with the answers to this instance's pings.

    The platform's list names instances and may be out of date. Heartbeats
    name incarnations and are at most seconds old. Leaving is final for an
    incarnation, whichever source reports it first.

    Parameters
    ----------
    now : float
        Start of observation in seconds; no member counts as gone within
        `gone_after` seconds of it.
    """

    def __init__(self, *, now, gone_after=GONE_AFTER, work_lifetime=WORK_LIFETIME):
        self.gone_after = gone_after
        self.work_lifetime = work_lifetime
        self.started_at = now
        self.listed = {}
        self.unlisted_since = {}
        self.first_list_at = None
        self.last_list_at = None
        self.members = {}
        self.leaving_incarnations = set()

    def handle_list(self, now, instances):
        """Handle the platform's list, a sequence of `ListedInstance`."""
        names = {entry.instance for entry in instances}
        if self.first_list_at is None:
            self.first_list_at = now
        self.last_list_at = now
        known = set(self.listed) | {m.instance for m in self.members.values()}
        self.unlisted_since = {
            name: self.unlisted_since.get(name, now)
            for name in (known | set(self.unlisted_since)) - names
        }
        self.listed = {entry.instance: entry for entry in instances}

    def handle_report(self, report):
        """Handle a `PeerReport`; reports may arrive in any order."""
        if report.leaving:
            self.leaving_incarnations.add(report.incarnation)
        known = self.members.get(report.incarnation)
        if known is None or known.seen_at < report.sent_at:
            self.members[report.incarnation] = Member(
                incarnation=report.incarnation,
                instance=report.instance,
                address=report.address,
                data_centre=report.data_centre,
                seen_at=report.sent_at,
            )

    def handle_leaving(self, incarnation):
        """Handle a peer's message that its incarnation is leaving."""
        self.leaving_incarnations.add(incarnation)

    def is_leaving(self, member):
        """Return whether any source has reported that a member is leaving."""
        listed = self.listed.get(member.instance)
        return member.incarnation in self.leaving_incarnations or (
            listed is not None and listed.state == "leaving"
        )

    def work_targets(self, now):
        """Return the members that may get new work, such as a lease.

        They have answered a ping that was sent in the last 3 s and are not
        known to leave. An instance that began to leave before that ping would
        have said so in the answer.
        """
        return [
            member
            for _, member in sorted(self.members.items())
            if now - member.seen_at < self.work_lifetime and not self.is_leaving(member)
        ]

    def listed_addresses(self):
        """Return the addresses on the platform's list."""
        return [entry.address for entry in self.listed.values()]

    def state(self, now, member):
        """Return "live", "leaving" or "gone" for a `RosterMember`."""
        if self.is_gone(now, member):
            return "gone"
        return "leaving" if self.is_leaving(member) else "live"

    def is_gone(self, now, member):
        """Return whether a member's process has ended.

        It must have answered no ping for 10 s. In addition, either the
        platform's list, read at least twice, has been without the instance
        for 10 s, or another incarnation answers at the instance's address,
        which only the owner of the address can do.
        """
        known = self.members.get(member.incarnation)
        last_seen = self.started_at if known is None else known.seen_at
        if now - last_seen < self.gone_after:
            return False
        replaced = any(
            other.incarnation != member.incarnation
            and (other.instance, other.address) == (member.instance, member.address)
            and other.seen_at > last_seen
            for other in self.members.values()
        )
        return replaced or self._is_delisted(member.instance)

    def silent_members(self, now, members):
        """Return the members that do not answer pings but are not gone."""
        return [
            member
            for member in members
            if not self._is_responsive(now, member.incarnation)
            and not self.is_gone(now, member)
        ]

    def _is_responsive(self, now, incarnation):
        known = self.members.get(incarnation)
        return known is not None and now - known.seen_at < self.gone_after

    def _is_delisted(self, instance):
        if self.first_list_at is None or instance in self.listed:
            return False
        since = self.unlisted_since.get(instance, self.first_list_at)
        return self.last_list_at - since >= self.gone_after

    def remove_expired(self, now):
        """Remove incarnations that were silent for 10 times `gone_after`."""
        cutoff = now - 10 * self.gone_after
        self.members = {
            incarnation: member
            for incarnation, member in self.members.items()
            if member.seen_at > cutoff
        }
        self.leaving_incarnations &= set(self.members)
