"""Claims on idempotency keys, so that a keyed request runs at most once."""

from typing import NamedTuple

import msgspec

from wagtailfront.authority.claim_rows import (
    CLAIMED,
    MAX_INLINE_ANSWER,
    RAN,
    RELEASED,
    STATES,
    UNKNOWN,
    Claim,
    RecordedAnswer,
)
from wagtailfront.authority.effects import (
    Dispatch,
    Finish,
    OutstandingRequest,
    ReadRow,
    StartTimer,
    WriteRows,
)
from wagtailfront.outcome import Answered, Failed, Refused, Verdict
from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Missing,
    Put,
    Unavailable,
)

__all__ = ["ClaimTimes", "ClaimMachine"]


class ClaimTimes(NamedTuple):
    """Times of a claim in seconds.

    `poll` is the interval between reads while another attempt has the claim
    or the store is unavailable. `close_timeout` limits how long a machine
    tries to record the outcome or release its claim after the caller got the
    outcome.
    """

    poll: float = 0.25
    close_timeout: float = 30.0


class ClaimMachine:
    """One attempt at a keyed request: claim, dispatch once, record.

    Parameters
    ----------
    key : Key
        From `claim_key`.
    fingerprint : str
    attempt : str
        Unique identifier of this attempt.
    deadline : float
        Monotonic seconds; the latest time for a dispatch or an outcome.
    new_token : callable
        Returns a fresh token for each transaction.
    times : ClaimTimes
    expires : int, optional
        Unix seconds after which the table may delete the row.

    Notes
    -----
    `Dispatch` is returned only after the store confirmed that the row names
    this attempt, and never after `Finish`. The verdict of a refusal concerns
    this attempt alone. A put whose answer was lost can take effect after the
    caller got `not_run`: the machine therefore writes the row as released, on
    the version that the lost put expected, so that at most one of the two
    takes effect.

    Examples
    --------
    >>> from wagtailfront.authority.claim_rows import claim_key
    >>> machine = ClaimMachine(
    ...     key=claim_key("w", "s", "k"), fingerprint="f", attempt="a.1",
    ...     deadline=9.0, new_token=lambda: "t1")
    >>> write, timer = machine.start(0.0)
    >>> machine.on_reply(0.1, write.tag, Committed())
    (Dispatch(attempt='a.1'),)
    """

    def __init__(
        self,
        *,
        key,
        fingerprint,
        attempt,
        deadline,
        new_token,
        times=None,
        expires=None,
    ):
        self.key = key
        self.expires = expires
        self.attempt = attempt
        self.own_claim = Claim(attempt, fingerprint)
        self.deadline = deadline
        self.new_token = new_token
        self.times = times or ClaimTimes()
        self.store_request = OutstandingRequest(owner=f"claim/{attempt}")
        self.phase = "claiming"  # then "dispatched", "closing", "done"
        self.expected = 0  # version that the latest put expected
        self.is_in_doubt = False  # the result of a claiming put is unknown
        self.is_claimed_by_other = False  # another attempt may have the claim
        self.closing = None  # Claim that the closing put writes
        self.next_step = float("-inf")
        self.give_up_at = None

    @property
    def is_done(self):
        """Whether nothing is left to do."""
        return self.phase == "done"

    def start(self, now):
        """Return the first write."""
        return self.on_time(now) if now >= self.deadline else self._claim(now, 0)

    def on_time(self, now):
        """Return the effects that are due at `now`."""
        if self.phase in ("dispatched", "done"):
            return ()
        if self.phase == "claiming" and now >= self.deadline:
            if (
                self.store_request.tag is not None
                and self.store_request.kind == "claim"
            ):
                self.is_in_doubt = True
            return self._end_undispatched(now, self._deadline_outcome())
        if self.phase == "closing" and now >= self.give_up_at:
            self.phase = "done"
            return ()
        if self.store_request.is_waiting(now):
            return (StartTimer(self._limit(self.store_request.due())),)
        if self.store_request.expire(now) == "claim":
            self.is_in_doubt = True
        if now < self.next_step:
            return (StartTimer(self._limit(self.next_step)),)
        return self._read(now)

    def on_reply(self, now, tag, reply):
        """Handle a reply of the store; duplicates have no effect."""
        call = self.store_request.close(tag)
        if call is None or self.phase in ("dispatched", "done"):
            return ()
        kind = call[0]
        if kind == "read":
            return self._on_read(now, reply)
        if isinstance(reply, Committed):
            self.expected += 1
            return self._claimed(now) if kind == "claim" else self._finish_closing()
        if kind == "claim":
            return self._on_claim_failed(now, reply)
        if isinstance(reply, Unavailable):
            return self._wait(now)
        return self._read(now)

    def on_outcome(self, now, outcome, answer=None, stored_as=""):
        """Handle the outcome of the dispatch; `Finish` is returned at once.

        Parameters
        ----------
        now : float
        outcome : Outcome
            Its verdict may be `NOT_RUN` only if provably no byte was written;
            the claim is then released.
        answer : bytes or None
            The encoded answer, recorded for later attempts.
        stored_as : str
            Name of the object with an answer over `MAX_INLINE_ANSWER`.
        """
        if self.phase != "dispatched":
            return ()
        if answer is not None and len(answer) > MAX_INLINE_ANSWER:
            answer = None
        self.closing = msgspec.structs.replace(
            self.own_claim,
            state=STATES[outcome.verdict],
            answer=answer,
            stored_as=stored_as,
        )
        return self._close(now, outcome)

    def _limit(self, at):
        """Return `at` or the end of the phase, whichever is first."""
        end = self.deadline if self.phase == "claiming" else self.give_up_at
        return min(at, end)

    def _wait(self, now):
        self.next_step = now + self.times.poll
        return (StartTimer(self._limit(self.next_step)),)

    def _read(self, now):
        tag = self.store_request.open("read", now)
        return ReadRow(tag, self.key), StartTimer(self._limit(self.store_request.due()))

    def _put(self, now, kind, expected, claim):
        self.expected = expected
        encoded = msgspec.msgpack.encode(claim)
        put = Put(self.key, expected, encoded, self.expires)
        tag = self.store_request.open(kind, now)
        return (
            WriteRows(tag, self.new_token(), (put,)),
            StartTimer(self._limit(self.store_request.due())),
        )

    def _claim(self, now, expected):
        return self._put(now, "claim", expected, self.own_claim)

    def _claimed(self, now):
        self.is_in_doubt = True  # the row has the claim; release it unless dispatched
        if now >= self.deadline:
            return self._end_undispatched(now, self._deadline_outcome())
        self.phase = "dispatched"
        return (Dispatch(self.attempt),)

    def _on_claim_failed(self, now, reply):
        if isinstance(reply, Unavailable):
            if self.is_in_doubt or self.is_claimed_by_other:
                return self._wait(now)
            outcome = Refused(
                reason="This sending was not run: the store is not available.",
                code="store_unavailable",
                retry_after=1.0,
            )
            return self._end_undispatched(now, outcome)
        if isinstance(reply, ConditionFailed):
            self.is_claimed_by_other = True
        else:
            self.is_in_doubt = True
        return self._read(now)

    def _on_read(self, now, reply):
        if not isinstance(reply, (Found, Missing)):
            return self._wait(now)
        version, claim = 0, None
        if isinstance(reply, Found):
            version = reply.row.version
            claim = msgspec.msgpack.decode(reply.row.value, type=Claim)
        if self.phase == "closing":
            return self._on_closing_read(now, version, claim)
        if version > self.expected:
            self.is_in_doubt = False  # the lost put can no longer take effect
        is_own = claim is not None and claim.attempt == self.attempt
        self.is_claimed_by_other = False
        if is_own:
            self.expected = version
            return self._claimed(now)
        if claim is None or claim.state == RELEASED:
            return self._claim(now, version)
        return self._on_others_claim(now, claim)

    def _on_others_claim(self, now, claim):
        if claim.fingerprint != self.own_claim.fingerprint:
            outcome = Refused(
                reason="The key was used for a different request.",
                code="idempotency_key_reused",
            )
            return self._end_undispatched(now, outcome)
        if claim.state == RAN:
            value = RecordedAnswer(claim.answer, claim.stored_as)
            return self._end_undispatched(now, Answered(value=value))
        self.is_claimed_by_other = True
        if claim.state == UNKNOWN:
            return self._end_undispatched(now, self._deadline_outcome())
        return self._wait(now)

    def _deadline_outcome(self):
        if self.is_claimed_by_other:
            return Failed(
                reason="An earlier sending has not ended or its outcome is unknown.",
                code="outcome_unknown",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return Refused(
            reason="This sending was not run: it could not be claimed in time.",
            code="deadline",
            retry_after=1.0,
        )

    def _end_undispatched(self, now, outcome):
        """Return the outcome; release a claim that was or may be written."""
        if not self.is_in_doubt:
            self.phase = "done"
            return (Finish(outcome),)
        self.closing = msgspec.structs.replace(self.own_claim, state=RELEASED)
        return self._close(now, outcome)

    def _close(self, now, outcome):
        self.phase = "closing"
        self.give_up_at = now + self.times.close_timeout
        effects = self._put(now, "close", self.expected, self.closing)
        return (Finish(outcome), *effects)

    def _on_closing_read(self, now, version, claim):
        """Repeat the closing put unless it or another write took effect."""
        is_own = claim is not None and claim.attempt == self.attempt
        if is_own and claim.state == CLAIMED or version == self.expected:
            return self._put(now, "close", version, self.closing)
        return self._finish_closing()

    def _finish_closing(self):
        self.phase = "done"
        return ()
