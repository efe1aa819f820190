"""Replication of the configuration: polls, pushes, copies, proposals."""

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import (
    HEAD,
    PARTITION,
    ConfigLog,
    change_key,
    decode_entry,
)
from wagtailfront.authority.config_maintenance import (
    LogRestorer,
    RosterMaintainer,
    SnapshotWriter,
)
from wagtailfront.authority.freshness import Freshness
from wagtailfront.authority.proposal import Proposal
from wagtailfront.authority.snapshot import SLOTS, decode_snapshot, encode_snapshot
from wagtailfront.authority.store_requests import StoreRequests
from wagtailfront.exception import ProtocolError
from wagtailfront.membership.messages import ConfigChange, ConfigCopy, ConfigFetch
from wagtailfront.stores import interfaces as store

__all__ = ["POLL_INTERVAL", "ConfigReplica"]

# Seconds between reads of the head.
POLL_INTERVAL = 1.0
# Seconds since the sending of the last answered read of the head for which
# the table counts as answering. Peers are pinged fast after that, so that
# the confirmation by the table is still valid when their answers arrive.
TABLE_ANSWER_LIFETIME = 1.5
# Seconds between fetches from a peer.
FETCH_INTERVAL = 0.2
# If more changes are missing at a peer, it gets the whole configuration.
MAX_FETCHED_ENTRIES = 50
PAGE_ROWS = 100


class ConfigReplica:
    """Step machine that keeps this instance's configuration current.

    Every method takes the monotonic `now` in seconds and appends to
    `effects`; the caller carries them out and passes replies back.

    Parameters
    ----------
    member : RosterMember
        This instance.
    random : random.Random
    log : ConfigLog, optional
    freshness : Freshness, optional
    joins_roster : bool
        Whether this instance proposes its own entry into the roster.
    make_proposal : callable, optional
        Replaced by a faulty one in tests of the checks.
    """

    def __init__(
        self,
        *,
        member,
        now,
        random,
        log=None,
        freshness=None,
        joins_roster=True,
        make_proposal=Proposal,
    ):
        self.make_proposal = make_proposal
        self.member = member
        self.log = log or ConfigLog()
        self.freshness = freshness or Freshness(member=member)
        self.freshness.applied(now, self.log.config)
        self.joins_roster = joins_roster
        self.writes_snapshots = False
        self.effects = []
        self.requests = StoreRequests(emit=lambda effect: self.effects.append(effect))
        self.roster_maintainer = RosterMaintainer(replica=self, now=now, random=random)
        self.snapshot_writer = SnapshotWriter(replica=self, now=now)
        self.log_restorer = LogRestorer(replica=self)
        self.proposals = {}
        self.gone = frozenset()
        self.next_poll = now
        self.next_fetch = now
        self.table_answered_at = None
        self.table_failed = False
        self.query_is_open = False
        self.head = 0
        for name in SLOTS:
            self.requests.get_object(now, name, self._on_snapshot)

    @property
    def config(self):
        """The applied configuration."""
        return self.log.config

    def latest_known_version(self, now):
        """Return the highest version that this instance or a peer applied."""
        return max(self.log.version, self.freshness.latest_report(now, self.gone))

    def may_dispatch(self, now):
        """Return whether new work may be given to endpoints at `now`."""
        return self.freshness.may_dispatch(now)

    def table_answers(self, now):
        """Return whether the table answered recently."""
        return (
            not self.table_failed
            and self.table_answered_at is not None
            and now - self.table_answered_at <= TABLE_ANSWER_LIFETIME
        )

    def ping_pace(self, now):
        """Return whether to ping fast, and whether a version is pending."""
        waiting = bool(self.freshness.acceptances)
        return waiting or not self.table_answers(now), waiting

    def on_store_reply(self, now, token, reply):
        """Handle a store's reply."""
        self.requests.handle_reply(now, token, reply)
        self._advance(now)

    # Steps

    def tick(self, now):
        """Run periodic work; call it at least every 0.1 s."""
        self.requests.expire(now)
        if now >= self.next_poll:
            self.next_poll = now + POLL_INTERVAL
            self._poll(now)
        self.roster_maintainer.tick(now)
        self.snapshot_writer.tick(now)
        self._advance(now)

    def _advance(self, now):
        """Advance acceptances and proposals after any event."""
        if self.freshness.update(now, self.gone):
            version = self.freshness.version_in_effect
            self.effects.append(effects.InEffect(version))
        for proposal in list(self.proposals.values()):
            proposal.tick(now)

    def _poll(self, now):
        """Read the head; the reply confirms as of the sending of the read."""
        version_before = self.log.version

        def on_head(replied_at, reply):
            if isinstance(reply, store.Unavailable):
                self.table_failed = True
                return
            head = reply.row.version if isinstance(reply, store.Found) else 0
            self.table_failed = False
            self.table_answered_at = max(now, self.table_answered_at or now)
            if head < version_before:
                text = f"head {head} is below the applied version {version_before}"
                self.effects.append(effects.Warn(text))
                self.log_restorer.handle_head(replied_at, head)
                return
            self.log_restorer.clear()
            self.head = max(self.head, head)
            self.freshness.head_read(now, head)
            self._fetch_from_table(replied_at)

        self.requests.get(now, HEAD, on_head)

    def _fetch_from_table(self, now):
        if self.query_is_open or self.log.version >= self.head:
            return
        self.query_is_open = True

        def on_rows(replied_at, reply):
            self.query_is_open = False
            if not isinstance(reply, store.Rows):
                return
            before = self.log.version
            self.add_rows(replied_at, reply.rows)
            if self.log.version > before:
                self._fetch_from_table(replied_at)

        after = change_key(self.log.version).sort
        self.requests.query(now, (PARTITION, after, PAGE_ROWS), on_rows)

    def add_rows(self, now, rows):
        """Add the entries in rows of the log that were read from the table."""
        try:
            entries = [decode_entry(row.value) for row in rows if row.key != HEAD]
        except ProtocolError as error:
            self.effects.append(
                effects.Warn(f"cannot decode a row of the log: {error}")
            )
            return
        self.add_entries(now, entries)

    def add_entries(self, now, entries):
        """Add committed entries, in any order."""
        before = self.log.version
        for entry in entries:
            self.log.add(entry)
        if self.log.version != before:
            self._applied(now)
        elif self.log.rejected and self.log.rejected[0] == before + 1:
            text = f"version {before + 1} cannot be applied: {self.log.rejected[1]}"
            self.effects.append(effects.Warn(text))

    def _applied(self, now):
        self.freshness.applied(now, self.log.config)
        self.effects.append(effects.Applied(self.log.config))

    # Messages from peers

    def on_message(self, now, message, source):
        """Handle a configuration message; replies go to `source`."""
        if isinstance(message, ConfigChange):
            self._on_change(now, message, source)
        elif isinstance(message, ConfigFetch):
            self._on_fetch(message.after, source)
        elif isinstance(message, ConfigCopy):
            self._on_copy(now, message.snapshot)
        self._advance(now)

    def _on_change(self, now, message, source):
        version = message.entry.version
        is_new = self.log.is_newer(version) and version not in self.log.buffered
        self.add_entries(now, [message.entry])
        if is_new and not message.forwarded:
            forwarded = ConfigChange(entry=message.entry, forwarded=True)
            self.effects.append(effects.Broadcast(forwarded))
        if self.log.version < version and now >= self.next_fetch:
            self.next_fetch = now + FETCH_INTERVAL
            fetch = ConfigFetch(after=self.log.version)
            self.effects.append(effects.Reply(source, fetch))

    def _on_fetch(self, after, source):
        if after >= self.log.version:
            return
        entries = self.log.entries_after(after)
        if entries is None or len(entries) > MAX_FETCHED_ENTRIES:
            messages = [ConfigCopy(snapshot=encode_snapshot(self.log.config))]
        else:
            messages = [ConfigChange(entry=entry, forwarded=True) for entry in entries]
        self.effects += [effects.Reply(source, message) for message in messages]

    def _on_copy(self, now, data):
        """Install an encoded configuration if it is newer than the own one."""
        try:
            config = decode_snapshot(data)
        except ProtocolError as error:
            self.effects.append(effects.Warn(str(error)))
            return
        if self.log.install(config):
            self._applied(now)

    def on_report(self, now, report):
        """Handle a `PeerReport`."""
        self.freshness.report(
            report.incarnation, report.instance, report.sent_at, report.version
        )
        self.freshness.handle_relays(
            report.sent_at,
            report.version,
            [(relay.age, relay.members) for relay in report.relays],
        )
        if report.version > self.log.version and now >= self.next_fetch:
            self.next_fetch = now + FETCH_INTERVAL
            fetch = ConfigFetch(after=self.log.version)
            self.effects.append(effects.Send(report.address, fetch))
        self._advance(now)

    # Proposals

    def propose(self, now, *, change, change_id, base_version, author):
        """Start to commit a change; an `Answer` effect gives the outcome."""
        if change_id not in self.proposals:
            self.proposals[change_id] = self.make_proposal(
                replica=self,
                now=now,
                change=change,
                change_id=change_id,
                base_version=base_version,
                author=author,
            )
            self._advance(now)

    def on_committed(self, now, entry):
        """Apply and push an entry that is in the table."""
        self.add_entries(now, [entry])
        self.effects.append(effects.Broadcast(ConfigChange(entry=entry)))

    def finish_proposal(self, change_id, outcome):
        """End a proposal with `outcome`."""
        self.proposals.pop(change_id, None)
        self.effects.append(effects.Answer(change_id, outcome))

    # Members and snapshots

    def watched_members(self):
        """Return the members whose end the member list must report.

        A version after a roster change needs majorities of both rosters, so
        members that have left count as well until then.
        """
        return tuple((self.config.previous_roster | self.config.roster).values())

    def set_gone(self, gone):
        """Set the incarnations of watched members that have ended."""
        self.gone = frozenset(gone) - {self.member.incarnation}

    def _on_snapshot(self, now, reply):
        if isinstance(reply, store.Found):
            self._on_copy(now, reply.row.value)
