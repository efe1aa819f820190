"""Upkeep of the roster, the snapshots and the log in the table."""

import xxhash

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import PARTITION, commit_request
from wagtailfront.authority.config_state import JoinRoster, LeaveRoster
from wagtailfront.authority.lease import candidates
from wagtailfront.authority.snapshot import encode_snapshot, slot_name
from wagtailfront.stores import interfaces as store

__all__ = [
    "SNAPSHOT_INTERVAL",
    "ROSTER_INTERVAL",
    "LogRestorer",
    "RosterMaintainer",
    "SnapshotWriter",
]

# Seconds between snapshots.
SNAPSHOT_INTERVAL = 5.0
# Seconds between attempts to change the roster. A random delay of up to the
# same length keeps instances that start together from colliding repeatedly.
ROSTER_INTERVAL = 1.0
# Seconds after which any instance restores the log, not only the first ones.
RESTORE_BY_ALL = 3.0
# Seconds between two reads of the head beyond which the time between them does
# not count for that; one read may fail.
MAX_READ_INTERVAL = 2.5


class RosterMaintainer:
    """Proposes this instance's entry and the removal of ended members.

    Parameters
    ----------
    replica : ConfigReplica
    random : random.Random
    """

    def __init__(self, *, replica, now, random):
        self.replica = replica
        self.random = random
        self.next_attempt = now
        self.change_id = ""

    def tick(self, now):
        """Propose a change of the roster if one is due."""
        replica = self.replica
        if now < self.next_attempt or not replica.joins_roster:
            return
        if not replica.table_answers(now) or replica.log.version < replica.head:
            return
        self.next_attempt = now + ROSTER_INTERVAL * (1 + self.random.random())
        change = self._change()
        if change is None or self.change_id in replica.proposals:
            return
        version = replica.log.version
        self.change_id = f"{replica.member.incarnation}-{version}"
        replica.propose(
            now,
            change=change,
            change_id=self.change_id,
            base_version=version,
            author=replica.member.instance,
        )

    def _change(self):
        """Return the change that this instance has to propose, or None.

        One live member, chosen by hashing, removes those that have ended.
        """
        replica = self.replica
        roster, own = replica.config.roster, replica.member.incarnation
        if own not in roster:
            return JoinRoster(member=replica.member)
        ended = sorted(replica.gone & set(roster))
        live = [name for name in roster if name not in replica.gone]
        chosen = min(live, key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
        if not ended or chosen != own:
            return None
        return LeaveRoster(incarnation=ended[0])


class SnapshotWriter:
    """Writes the applied configuration to the object store periodically."""

    def __init__(self, *, replica, now):
        self.replica = replica
        self.next_write = now
        self.written_version = 0

    def tick(self, now):
        """Write a snapshot if one is due and this instance writes them."""
        replica = self.replica
        version = replica.log.version
        if (
            not replica.writes_snapshots
            or now < self.next_write
            or version <= self.written_version
        ):
            return
        self.next_write = now + SNAPSHOT_INTERVAL

        def on_written(_, reply):
            if isinstance(reply, store.Committed):
                self.written_version = max(version, self.written_version)

        data = encode_snapshot(replica.log.config)
        replica.requests.put_object(now, slot_name(version), data, on_written)


class LogRestorer:
    """Commits changes again that the table has lost.

    A table that comes back from an older copy of itself has a head below the
    applied version. The changes since were confirmed, so they are committed
    again, in order and under their versions; each commit is conditional on
    the head, so it does not matter how many instances do so.

    Parameters
    ----------
    replica : ConfigReplica

    Attributes
    ----------
    behind_since : float or None
        When the head was first below the applied version, in seconds; None
        if the last one was not. Starts anew after a time without reads.
    """

    def __init__(self, *, replica):
        self.replica = replica
        self.behind_since = None
        self.read_at = float("-inf")
        self.attempts = 0
        self.is_writing = False

    def handle_head(self, now, head):
        """Handle the head as read from the table."""
        if head >= self.replica.log.version:
            self.clear()
            return
        if self.behind_since is None or now - self.read_at > MAX_READ_INTERVAL:
            self.behind_since = now
        self.read_at = now
        if not self.is_writing and self._is_due(now):
            self._write(now, head)

    def clear(self):
        """Record that the table has all changes that were applied."""
        self.behind_since = None

    def _is_due(self, now):
        replica = self.replica
        live = [name for name in replica.config.roster if name not in replica.gone]
        is_first = replica.member.incarnation in candidates(PARTITION, live)
        return is_first or now - self.behind_since >= RESTORE_BY_ALL

    def _write(self, now, head):
        replica = self.replica
        entries = replica.log.entries_after(head)
        if not entries:
            text = f"the table lost changes above {head} that are not retained here"
            replica.effects.append(effects.Warn(text))
            return
        self.attempts += 1
        self.is_writing = True
        salt = f".{replica.member.incarnation}.{self.attempts}"

        def on_reply(replied_at, reply):
            self.is_writing = False
            if isinstance(reply, store.Committed):
                text = f"committed version {entries[0].version} again"
                replica.effects.append(effects.Warn(text))
                self.handle_head(replied_at, entries[0].version)

        replica.requests.transact(now, commit_request(entries[0], salt=salt), on_reply)
