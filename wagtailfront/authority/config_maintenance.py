"""Changes of the roster as instances start and end, and snapshots."""

import xxhash

from wagtailfront.authority.config_state import JoinRoster, LeaveRoster
from wagtailfront.authority.snapshot import encode_snapshot, slot_name
from wagtailfront.stores import interfaces as store

__all__ = ["SNAPSHOT_INTERVAL", "ROSTER_INTERVAL", "RosterMaintainer", "SnapshotWriter"]

# Seconds between snapshots.
SNAPSHOT_INTERVAL = 5.0
# Seconds between attempts to change the roster. A random delay of up to the
# same length keeps instances that start together from colliding repeatedly.
ROSTER_INTERVAL = 1.0


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
