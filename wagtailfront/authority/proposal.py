"""Steps of one proposed change from reading the head to acceptance."""

import enum

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import (
    HEAD,
    MAX_ENTRY_BYTES,
    PARTITION,
    LogEntry,
    change_key,
    commit_request,
    conflicts,
    decode_entry,
    encode_entry,
)
from wagtailfront.authority.config_state import apply_change, is_roster_change
from wagtailfront.exception import ConfigurationError, ProtocolError
from wagtailfront.outcome import Verdict
from wagtailfront.stores import interfaces as store

__all__ = ["PROPOSAL_TIMEOUT", "Proposal"]

# Seconds until an operator gets an outcome at the latest.
PROPOSAL_TIMEOUT = 7.0
# Seconds until a step is tried again after the store was not available.
RETRY_DELAY = 0.25
PAGE_ROWS = 100
# Versions between the operator's base and the head; more are rejected, since
# the conflict check would have to read them all.
MAX_BASE_AGE = 2_000


class Step(enum.Enum):
    """What a proposal waits for."""

    READ_HEAD = "read head"
    CATCH_UP = "catch up"
    AWAIT_PREVIOUS = "wait for the version before"
    WRITE = "write"
    READ_BACK = "read back"
    AWAIT_EFFECT = "spread"
    DONE = "done"


class Proposal:
    """Commits one change and follows it until it is in effect.

    Parameters
    ----------
    replica : ConfigReplica
        Supplies log, freshness and the store's requests.
    change_id : str
        A retry with the same id commits the change at most once.
    base_version : int
        The version that the change was based on.
    """

    def __init__(self, *, replica, now, change, change_id, base_version, author):
        self.replica = replica
        self.change = change
        self.change_id = change_id
        self.base_version = base_version
        self.author = author
        self.deadline = now + PROPOSAL_TIMEOUT
        self.step = Step.READ_HEAD
        self.busy = False
        self.retry_at = now
        self.head = 0
        self.entry = None
        self.version = None
        self.result_unknown = False
        self.since_base = {}

    def tick(self, now):
        """Do the next step if none is under way."""
        if self.step is Step.DONE:
            return
        if self.step is Step.AWAIT_EFFECT and self.replica.freshness.in_effect(
            self.version
        ):
            self._finish(effects.Accepted(version=self.version))
        elif now >= self.deadline:
            self._time_out(now)
        elif not self.busy and now >= self.retry_at:
            self._run_step(now)

    def _run_step(self, now):
        if self.step is Step.READ_HEAD:
            self._request(now, self.replica.requests.get, HEAD, self._on_head)
        elif self.step is Step.CATCH_UP:
            self._catch_up(now)
        elif self.step is Step.AWAIT_PREVIOUS:
            self._prepare(now)
        elif self.step is Step.WRITE:
            request = commit_request(self.entry)
            self._request(now, self.replica.requests.transact, request, self._on_write)
        elif self.step is Step.READ_BACK:
            key = change_key(self.entry.version)
            self._request(now, self.replica.requests.get, key, self._on_read_back)

    def _request(self, now, send, argument, handler):
        self.busy = True

        def on_reply(replied_at, reply):
            self.busy = False
            if self.step is not Step.DONE:
                handler(replied_at, reply)

        send(now, argument, on_reply)

    def _go_to(self, now, step, *, delay=0.0):
        self.step = step
        self.retry_at = now + delay
        if not delay:
            self.tick(now)

    def _on_head(self, now, reply):
        if isinstance(reply, store.Unavailable):
            self._go_to(now, Step.READ_HEAD, delay=RETRY_DELAY)
            return
        self.head = reply.row.version if isinstance(reply, store.Found) else 0
        if self.head < self.replica.latest_known_version(now):
            # The table came back from an older copy and is being restored.
            self._go_to(now, Step.READ_HEAD, delay=RETRY_DELAY)
            return
        age = self.head - self.base_version
        if age < 0 or age > MAX_BASE_AGE:
            reason = f"base version {self.base_version} does not suit {self.head}"
            self._finish(effects.Invalid(reason=reason))
            return
        self._go_to(now, Step.CATCH_UP)

    def _catch_up(self, now):
        """Get all changes since the base from the local log or the table."""
        log = self.replica.log
        missing = next(
            (
                version
                for version in range(self.base_version + 1, self.head + 1)
                if version not in log.applied and version not in self.since_base
            ),
            log.version + 1 if log.version < self.head else None,
        )
        if missing is None:
            self._check_conflicts(now)
            return
        after = change_key(missing - 1).sort
        query = (PARTITION, after, PAGE_ROWS)
        self._request(now, self.replica.requests.query, query, self._on_rows)

    def _on_rows(self, now, reply):
        try:
            entries = [
                decode_entry(row.value)
                for row in getattr(reply, "rows", ())
                if row.key != HEAD
            ]
        except ProtocolError as error:
            self._finish(
                effects.Unavailable(reason=str(error), verdict=self._verdict())
            )
            return
        self.since_base |= {entry.version: entry for entry in entries}
        self.replica.add_entries(now, entries)
        self._go_to(now, Step.CATCH_UP, delay=0.0 if entries else RETRY_DELAY)

    def _check_conflicts(self, now):
        applied = self.replica.log.applied
        entries = [
            applied.get(version) or self.since_base[version]
            for version in range(self.base_version + 1, self.head + 1)
        ]
        own = [entry for entry in entries if entry.change_id == self.change_id]
        if own:
            self._committed(now, own[0])
            return
        found = conflicts(entries, self.change)
        if found:
            self._finish(effects.Conflict(changes=tuple(found)))
            return
        self._go_to(now, Step.AWAIT_PREVIOUS)

    def _prepare(self, now):
        """Make the entry for the version after the head."""
        log = self.replica.log
        if log.version != self.head:
            self._go_to(now, Step.READ_HEAD)
            return
        try:
            apply_change(log.config, self.change)
        except ConfigurationError as error:
            self._finish(effects.Invalid(reason=str(error)))
            return
        if is_roster_change(self.change) and not self._roster_may_change():
            self.retry_at = now + RETRY_DELAY
            return
        self.entry = LogEntry(
            version=self.head + 1,
            change_id=self.change_id,
            author=self.author,
            change=self.change,
        )
        if len(encode_entry(self.entry)) > MAX_ENTRY_BYTES:
            self._finish(effects.Invalid(reason="the change is too large"))
            return
        self._go_to(now, Step.WRITE)

    def _roster_may_change(self):
        return self.replica.freshness.in_effect(self.head)

    def _on_write(self, now, reply):
        if isinstance(reply, store.Committed):
            self._committed(now, self.entry)
        elif isinstance(reply, store.Unavailable):
            self._go_to(now, Step.WRITE, delay=RETRY_DELAY)
        else:
            # After Unknown the write may have taken effect; after a failed
            # condition an earlier attempt of the same write may have.
            self.result_unknown |= isinstance(reply, store.Unknown)
            self._go_to(now, Step.READ_BACK)

    def _on_read_back(self, now, reply):
        if isinstance(reply, store.Unavailable):
            self._go_to(now, Step.READ_BACK, delay=RETRY_DELAY)
        elif isinstance(reply, store.Missing):
            # The write may still be in transit. Its retry cannot take
            # effect a second time.
            self._go_to(now, Step.WRITE, delay=RETRY_DELAY)
        else:
            self._compare(now, reply.row.value)

    def _compare(self, now, value):
        try:
            entry = decode_entry(value)
        except ProtocolError as error:
            self._finish(
                effects.Unavailable(reason=str(error), verdict=self._verdict())
            )
            return
        if entry.change_id == self.change_id:
            self._committed(now, entry)
            return
        # Another change got the version, so the write cannot take effect.
        self.result_unknown = False
        self._go_to(now, Step.READ_HEAD)

    def _committed(self, now, entry):
        self.version = entry.version
        self.replica.on_committed(now, entry)
        self._go_to(now, Step.AWAIT_EFFECT)

    def _verdict(self):
        is_sent = self.busy and self.step is Step.WRITE
        may_have_run = self.result_unknown or is_sent
        return Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN

    def _time_out(self, now):
        if self.step is Step.AWAIT_EFFECT:
            missing = self.replica.freshness.missing(self.replica.gone)
            outcome = effects.Pending(version=self.version, missing=missing)
        else:
            reason = f"not committed in time, last step: {self.step.value}"
            outcome = effects.Unavailable(reason=reason, verdict=self._verdict())
        self._finish(outcome)

    def _finish(self, outcome):
        self.step = Step.DONE
        self.replica.finish_proposal(self.change_id, outcome)
