"""Component that runs the claims on idempotency keys."""

import time

import msgspec
from circuits import BaseComponent, Event, handler

from wagtailfront.authority.claim_rows import MAX_INLINE_ANSWER, claim_key
from wagtailfront.authority.claims import ClaimMachine
from wagtailfront.authority.effects import (
    Dispatch,
    Finish,
    ReadRow,
    StartTimer,
    WriteRows,
)
from wagtailfront.callers.claim_interface import CallAnswer, Proceed, Recorded
from wagtailfront.identifiers import new_id
from wagtailfront.outcome import Answered, Failed, Verdict
from wagtailfront.stores.interfaces import Committed, Found
from wagtailfront.transport.ticker import Ticker

__all__ = ["ClaimManager"]

TIMER_INTERVAL = 0.05  # seconds
OBJECT_PREFIX = "claims/"
# Covers a day of retries; a resend after the claim expires may run again.
CLAIM_LIFETIME = 24 * 3600.0  # seconds


class claim_tick(Event):
    """Advance the claim machines whose timer is due."""


class _Claim:
    """A claim machine with its result callback and its timer."""

    def __init__(self, *, machine, on_result):
        self.machine = machine
        self.on_result = on_result
        self.due = None
        self.dispatched = False


class ClaimManager(BaseComponent):
    """Runs one `ClaimMachine` for each open call that has a key.

    Parameters
    ----------
    table : TableStore
    objects : ObjectStore
        Stores answers that are too large for a row.
    clock : callable, optional
    wall_clock : callable, optional
        Returns Unix seconds, for the expiry time of the rows.
    """

    channel = "claim_manager"

    def __init__(self, *, table, objects, clock=time.monotonic, wall_clock=time.time):
        super().__init__()
        self.wall_clock = wall_clock
        self.table = table
        self.objects = objects
        self.clock = clock
        self.claims = {}
        Ticker(
            interval=TIMER_INTERVAL,
            make_event=claim_tick,
            target=self.channel,
            is_needed=lambda: self.claims,
        ).register(self)

    def is_idle(self):
        """Return whether no claim is open and all outcomes are recorded."""
        return not self.claims

    def claim(self, *, call, attempt, deadline, on_result):
        """Claim a call's key; see `ClaimInterface.claim`."""
        machine = ClaimMachine(
            key=claim_key(call.workspace, call.service, call.key),
            fingerprint=call.fingerprint(),
            attempt=attempt,
            deadline=deadline,
            new_token=new_id,
            expires=int(self.wall_clock() + CLAIM_LIFETIME),
        )
        self.claims[attempt] = _Claim(machine=machine, on_result=on_result)
        self._carry_out(attempt, machine.start(self.clock()))

    def record_outcome(self, *, attempt, outcome, answer=None):
        """Store the outcome; see `ClaimInterface.record_outcome`."""
        if attempt not in self.claims:
            return
        encoded = None if answer is None else msgspec.msgpack.encode(answer)
        if encoded is None or len(encoded) <= MAX_INLINE_ANSWER:
            self._record(attempt, outcome, encoded, "")
            return
        name = OBJECT_PREFIX + attempt

        def on_stored(reply):
            stored = name if isinstance(reply, Committed) else ""
            self._record(attempt, outcome, None, stored)

        self.objects.put(name=name, data=encoded, reply=on_stored)

    def _record(self, attempt, outcome, encoded, stored_as):
        machine = self.claims[attempt].machine
        effects = machine.on_outcome(
            self.clock(), outcome, answer=encoded, stored_as=stored_as
        )
        self._carry_out(attempt, effects)

    def _carry_out(self, attempt, effects):
        claim = self.claims[attempt]
        for effect in effects:
            if isinstance(effect, StartTimer):
                claim.due = effect.at
            elif isinstance(effect, ReadRow):
                self.table.get(
                    key=effect.key, reply=self._reply_handler(attempt, effect.tag)
                )
            elif isinstance(effect, WriteRows):
                self.table.transact(
                    puts=effect.puts,
                    checks=effect.checks,
                    token=effect.token,
                    reply=self._reply_handler(attempt, effect.tag),
                )
            elif isinstance(effect, Dispatch):
                claim.dispatched = True
                claim.on_result(Proceed())
            elif isinstance(effect, Finish) and not claim.dispatched:
                self._finish(claim, effect.outcome)
        if claim.machine.is_done:
            self.claims.pop(attempt, None)

    def _reply_handler(self, attempt, tag):
        def on_reply(reply):
            claim = self.claims.get(attempt)
            if claim is not None:
                effects = claim.machine.on_reply(self.clock(), tag, reply)
                self._carry_out(attempt, effects)

        return on_reply

    def _finish(self, claim, outcome):
        """Report the outcome of a claim whose call was not sent from here."""
        if not isinstance(outcome, Answered):
            claim.on_result(outcome)
            return
        recorded = outcome.value
        if recorded.body is not None:
            claim.on_result(_decode(recorded.body))
        elif recorded.stored_as:
            self._fetch(recorded.stored_as, claim.on_result)
        else:
            claim.on_result(_answer_lost())

    def _fetch(self, name, on_result):
        def on_object(reply):
            found = isinstance(reply, Found)
            on_result(_decode(reply.row.value) if found else _answer_lost())

        self.objects.get(name=name, reply=on_object)

    @handler("claim_tick")
    def _on_tick(self):
        now = self.clock()
        due = [
            attempt
            for attempt, claim in self.claims.items()
            if claim.due is not None and claim.due <= now
        ]
        for attempt in due:
            claim = self.claims[attempt]
            claim.due = None
            self._carry_out(attempt, claim.machine.on_time(now))


def _decode(encoded):
    return Recorded(answer=msgspec.msgpack.decode(encoded, type=CallAnswer))


def _answer_lost():
    return Failed(
        reason="the request ran, but its answer could not be kept",
        code="answer_not_kept",
        verdict=Verdict.RAN,
    )
