"""Admission of one request, and what its course shows of the forecasts."""

import math

from wagtailfront.admission.admission import MAX_RETRY_SHARE, CallerTime, admit
from wagtailfront.admission.control import Work
from wagtailfront.admission.urgency import engine_level

__all__ = ["ROUND_TRIP", "RequestAdmission"]

UNKNOWN_TIME = 0.25  # seconds until an endpoint is free, if nothing is measured
# Seconds for which any endpoint may stall before its calls are repeated.
MIN_ANSWER_TIMEOUT = 0.25
# Share of the queue that others bear, for requests that give way. The others
# then find a queue that they bear, while engines do not run out of work.
YIELDING_SHARE = 0.5
ROUND_TRIP = 0.02  # seconds to an endpoint and back, with an instance's own time


class RequestAdmission:
    """Admits one request and reports how well it was forecast.

    Parameters
    ----------
    control : AdmissionControl
    service : str
    rank : int
        Priority of its route, 0 for the most urgent.
    patience : float
        Seconds without a first event after which its caller leaves; infinite
        if it waits for a complete response.
    output_tokens : int
        Tokens that the request may generate.
    workspace : str, optional
        Whose request it is; requests without one never give way.
    rng : random.Random, optional
        Needed with a workspace.
    received, deadline : float
        When it arrived, and when its caller stops waiting.
    clock : callable

    Attributes
    ----------
    priority : int
        Its rank, or a higher one so that its rank is not starved.
    work : Work or None
        Work that was admitted, while its first event is waited for.
    gives_way : bool
        Whether it comes after others of its rank, as its workspace has had
        more than its share of the engines' time.
    """

    def __init__(
        self,
        *,
        control,
        service,
        rank,
        received,
        deadline,
        clock,
        patience=math.inf,
        output_tokens=0,
        workspace=None,
        rng=None,
    ):
        self.control = control
        self.service = service
        self.rank = rank
        self.share = control.shares[service]
        self.priority = rank
        self.patience = patience
        self.output_tokens = output_tokens
        self.received = received
        self.deadline = deadline
        self.clock = clock
        self.work = None
        self.workspace = workspace
        self.is_counted = False
        self.gives_way = workspace is not None and control.workspaces.gives_way(
            service, workspace, now=clock(), rng=rng
        )
        self.rounds = 0.0
        self.first_event_at = None

    def caller_time(self, now):
        """Return the CallerTime that is left."""
        return CallerTime(
            left=self.deadline - now,
            patience=self.patience,
            waited=now - self.received,
        )

    def admit(self, first_event, *, prefill=0.0, engines=1):
        """Return the Admission of the request.

        Parameters
        ----------
        first_event : float
            Forecast seconds until its first event.
        prefill : float, optional
            Engine time in seconds that its own prompt takes.
        engines : int, optional
            Engines that share the work of the service.
        """
        now = self.clock()
        work = Work(
            service=self.service,
            priority=self.priority,
            first_event=first_event,
            output_tokens=self.output_tokens,
            prefill=prefill,
            engines=engines,
            gives_way=self.gives_way,
        )
        caller = self._bearable(self.caller_time(now))
        admission = self.control.admit(work, caller, now=now)
        self._record_share(admission.is_admitted, work, now)
        is_raised = self.priority != self.rank
        if not is_raised:
            self.share.record(self.rank, admission.is_admitted, now=now)
        elif admission.is_admitted:
            self.share.record_raised()
        if admission.is_admitted:
            self._end_wait(has_event=False)
            self.work = work
            self.control.begin(self, work, now=now)
        # The rank may not be raised any more when the caller returns.
        return admission._replace(retry_after=None) if is_raised else admission

    def admit_to_wait(self, first_event, wait, *, prefill=0.0):
        """Return whether the request may wait for room, as an Admission.

        The wait is no part of the forecast whose error is measured: that is
        of the engine, for requests that find room at once too.

        Parameters
        ----------
        first_event : float
            Forecast seconds from its send until its first event.
        wait : float
            Forecast seconds until it is sent.
        prefill : float, optional
            As of `admit`.
        """
        now = self.clock()
        work = Work(self.service, self.priority, first_event, self.output_tokens)
        expected = self.control.expect(work, now=now)
        expected = expected._replace(first_event=expected.first_event + wait)
        caller = self._bearable(self.caller_time(now))
        admission = admit(expected=expected, caller=caller)
        work = work._replace(prefill=prefill)
        self._record_share(admission.is_admitted, work, now, waits=True)
        if not admission.is_admitted and self.priority == self.rank:
            self.share.record(self.rank, False, now=now)
        return admission._replace(expected=expected)

    def _bearable(self, caller):
        """Return the CallerTime that a queue may take up."""
        if not self.gives_way:
            return caller
        if self.patience < math.inf:
            return caller._replace(patience=YIELDING_SHARE * caller.patience)
        return caller._replace(left=YIELDING_SHARE * caller.left)

    def _record_share(self, is_admitted, work, now, waits=False):
        if self.workspace is not None and not self.is_counted:
            # Counted before it waits: requests that arrive meanwhile are not
            # to be taken for the first of their workspace.
            self.is_counted = is_admitted
            output = self.control.expect(work, now=now).output
            self.control.workspaces.record(
                self.service,
                self.workspace,
                is_admitted,
                work=work.prefill + output,
                waits=waits,
                now=now,
            )

    @property
    def order(self):
        """Return the place of its rank, and in it of those that give way."""
        return 2 * self.priority + self.gives_way

    def admit_call(self, *, outstanding, slots, wait):
        """Return the Admission of a call to a plain service.

        Parameters
        ----------
        outstanding : int
            Calls in progress at the endpoint.
        slots : int
            Calls that the endpoint processes concurrently.
        wait : float
            Seconds until it may be sent the call.
        """
        self.rounds = max(1.0, (outstanding + 1) / max(1, slots))
        seconds = self.control.answer_seconds(self.service, now=self.clock())
        return self.admit(wait + self.rounds * seconds)

    def max_wait(self):
        """Return for how many seconds the request may wait for an endpoint."""
        now = self.clock()
        caller = self.caller_time(now)
        answer = self.control.answer_seconds(self.service, now=now)
        return max(
            0.0, min(caller.patience - caller.waited, caller.left - answer - ROUND_TRIP)
        )

    def latest_start(self):
        """Return until when the request may wait for its first event."""
        return min(self.received + self.patience, self.deadline)

    def answer_timeout(self):
        """Return the seconds after which a call without an answer is unusual.

        Early enough for another endpoint to answer in time, unless that would
        be before an answer is expected from this one.
        """
        now = self.clock()
        seconds = self.control.answer_seconds(self.service, now=now)
        left = self.deadline - now
        if not seconds:
            # As much time for another endpoint as for this one.
            return max(MIN_ANSWER_TIMEOUT, min(left, self.patience) / 2)
        work = Work(self.service, self.priority, self.rounds * seconds)
        latest = self.control.expect(work, now=now).latest
        last_repeat = max(latest, left - seconds - ROUND_TRIP, ROUND_TRIP)
        return min(max(MIN_ANSWER_TIMEOUT, latest), last_repeat)

    def time_until_free(self):
        """Return a Retry-After for full endpoints in seconds, or None.

        By then requests like this one, which they are at work on, have ended.
        """
        answer = self.control.answer_seconds(self.service, now=self.clock())
        return self.time_to_return(answer + self.output_seconds() or UNKNOWN_TIME)

    def output_seconds(self):
        """Return the expected seconds from the first event to the end."""
        work = Work(self.service, self.priority, 0.0, self.output_tokens)
        return self.control.expect(work, now=self.clock()).output

    def time_to_return(self, delay):
        """Return a Retry-After in seconds, or None.

        None if the caller would not honour it, or could not be served then.
        """
        now = self.clock()
        left = self.deadline - now
        answer = self.control.answer_seconds(self.service, now=now)
        is_honoured = delay <= MAX_RETRY_SHARE * left
        return delay if is_honoured and delay + answer + ROUND_TRIP <= left else None

    def raise_rank(self, rng):
        """Return whether the request is to be tried again with a higher rank.

        Some of the refused requests of a rank that is starved are.
        """
        highest = self.share.highest_rank()
        if highest == self.priority:
            return False
        is_raised = rng.random() < self.share.missing(self.rank, now=self.clock())
        if is_raised:
            self.priority = highest
        return is_raised

    def engine_level(self, prefill=0.0):
        """Return the priority at an engine, 0 for the most urgent.

        Parameters
        ----------
        prefill : float, optional
            Engine time in seconds that its own prompt takes. The queue does
            not count: the longer it is, the more requests would overtake
            others that were admitted.
        """
        caller = self.caller_time(self.clock())
        spare = min(caller.patience - caller.waited, caller.left) - prefill
        is_stream = self.patience < math.inf
        whole = self.patience if is_stream else self.deadline - self.received
        ranks = self.control.ranks.get(self.service, (self.priority,))
        return engine_level(self.priority, ranks, spare=spare / whole)

    def record_first_event(self):
        """Record that the first event has arrived."""
        self.first_event_at = self.clock()
        self._end_wait(has_event=True)

    def record_answer(self, *, sent):
        """Record that a call that was sent at `sent` has been answered."""
        now = self.clock()
        if self.rounds:
            self.control.record_answer(
                self.service, rounds=self.rounds, seconds=now - sent, now=now
            )
        self._end_wait(has_event=True)

    def record_complete(self):
        """Record that the last event has arrived."""
        now = self.clock()
        self.control.record_output(
            self.service,
            tokens=self.output_tokens,
            seconds=now - self.first_event_at,
            now=now,
        )

    def record_end(self):
        """Record that the request has ended, with a first event or without."""
        if self.work is not None and self.priority == self.rank:
            self.share.record_unserved(self.rank)
        self._end_wait(has_event=False)

    def _end_wait(self, *, has_event):
        work, self.work = self.work, None
        if work is not None:
            self.control.end(self, work, now=self.clock(), has_event=has_event)
