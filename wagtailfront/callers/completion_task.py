"""One completion request from admission to its last chunk."""

import logging

from wagtailfront.callers import error_body
from wagtailfront.callers.completion_attempt import CompletionAttempt
from wagtailfront.callers.completion_reply import CompletionReply
from wagtailfront.callers.completion_request import fingerprint
from wagtailfront.callers.scheduler import unconfirmed
from wagtailfront.decisions.crash_evidence import Decision
from wagtailfront.identifiers import attempt_id
from wagtailfront.outcome import Failed, Refused, Verdict

__all__ = ["CompletionTask", "classify"]

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 6
LONG_TOKENS = 4000  # prompt and output of a request that counts as long
# Seconds after which a request that waits for its next attempt fails.
MAX_RESUME_WAIT = 5.0
# Seconds after which a failure is sent even if peers lack the evidence, which
# they need to reject the request when its caller resends it.
MAX_EVIDENCE_WAIT = 3.0
CRASHING_REASON = "engines have crashed while they ran this request"


class CompletionTask:
    """Runs one request, in several attempts if necessary.

    Completions are idempotent, so a request may be sent to another engine,
    which resumes after the tokens that were received.

    Parameters
    ----------
    request : CompletionRequest
    request_id : str
    reply : Reply
    services : RequestServices
    """

    def __init__(self, *, request, request_id, reply, services):
        self.request = request
        self.request_id = request_id
        self.reply = reply
        self.services = services
        self.fingerprint = fingerprint(request)
        self.request_class = classify(request)
        self.answer = CompletionReply(
            request=request, request_id=request_id, reply=reply
        )
        self.started = services.clock()
        self.deadline = self.started + request.deadline
        self.attempt_number = 0
        self.attempt = None
        self.excluded = set()
        self.waiting_since = None
        self.failure = None
        self.failed_at = None
        self.last_reason = "no engine answered"
        self.tokens = 0
        self.first_token_at = None
        self.may_have_run = False
        self.done = False
        self.answered = False
        self.refusal_code = ""

    @property
    def attempts(self):
        """Number of attempts that were sent."""
        return self.attempt_number

    @property
    def scheduler(self):
        return self.services.scheduler

    @property
    def guard(self):
        return self.services.guard

    @property
    def workspace(self):
        return self.request.workspace

    def refuse(self, refused):
        """Reject the request before anything was sent."""
        self._finish_error(refused)

    def start(self):
        """Send the first attempt, or reject the request."""
        self.services.retries.record_request()
        self._next_attempt()

    def _next_attempt(self):
        """Send the next attempt, wait until it may be sent, or fail."""
        now = self.services.clock()
        if now >= self.deadline:
            self._fail("deadline passed", "timeout")
        elif self.attempt_number >= MAX_ATTEMPTS:
            self._fail(self.last_reason, "incomplete")
        elif not self.services.may_dispatch(now):
            self._wait(unconfirmed(), now)
        elif self.attempt_number and not self.services.retries.available(now=now):
            self._wait(None, now)
        else:
            self._place(now)

    def _place(self, now):
        names = self.scheduler.engine_names(self.request)
        placement = self.guard.place(self.fingerprint, endpoints=names, now=now)
        if placement.decision is Decision.REFUSE:
            self._refuse_crashing()
            return
        if placement.decision is Decision.WAIT:
            self._wait(None, now)
            return
        exclude = self.excluded
        if placement.endpoint is not None:
            exclude = set(names) - {placement.endpoint}
        choice = self.scheduler.choose(
            self.request,
            request_id=self.request_id,
            attempt=self.attempt_number + 1,
            exclude=exclude,
            now=now,
        )
        if isinstance(choice, Refused):
            self._wait(choice, now)
        else:
            self._send(choice, now)

    def _wait(self, refused, now):
        """Reject a new request; let one that was sent before wait.

        If `refused` is None, a new request waits too.
        """
        if refused is not None and self.attempt_number == 0:
            self._finish_error(refused)
            return
        if self.waiting_since is None:
            self.waiting_since = now
        elif now - self.waiting_since >= MAX_RESUME_WAIT:
            self._fail(self.last_reason, "incomplete")
            return
        self.excluded.clear()

    def _send(self, choice, now):
        if self.attempt_number:
            self.services.retries.spend(now=now)
        self.attempt_number += 1
        self.waiting_since = None
        self.attempt = CompletionAttempt(
            task=self, choice=choice, number=self.attempt_number, now=now
        )
        self.attempt.send(max(0.0, self.deadline - now))

    def received(self, text, tokens, finish_reason):
        """Pass new tokens of the current attempt to the caller."""
        now = self.services.clock()
        self.tokens += tokens
        if self.first_token_at is None:
            self.first_token_at = now
        self.answer.add(text, finish_reason)

    def completed(self):
        """Finish the answer after its last chunk."""
        now = self.services.clock()
        self.scheduler.finished(self.request_id, self.tokens, now)
        self.guard.attempt_completed(self.attempt.id)
        self.done = self.answered = True
        self.answer.finish(self.tokens)
        self.services.finished(self, Verdict.RAN)

    def attempt_failed(self, reason):
        """Resume on another engine after the current attempt failed."""
        logger.info("[request] %s ended: %s.", self.attempt.id, reason)
        self.last_reason = reason
        self.excluded.add(self.attempt.engine.name)
        self.scheduler.failed(self.request_id, self.services.clock())
        self.attempt = None
        self._next_attempt()

    def move(self, reason="the engine is slow"):
        """Abandon the current attempt and resume on another engine."""
        if not self.done and self.attempt is not None:
            self.attempt.abandon(reason)

    def connection_silent(self, attempt):
        """Move the request if `attempt` is still the current one."""
        if self.attempt is not None and self.attempt.id == attempt:
            self.move("the connection went silent")

    def check_progress(self, now):
        """Check waits and timeouts; called about 4 times a second."""
        if self.done:
            return
        if self.failure is not None:
            self._send_failure_if_settled(now)
        elif self.attempt is None:
            self._next_attempt()
        elif now >= self.deadline:
            self.attempt.cancel()
            self.scheduler.failed(self.request_id, now)
            self._fail("deadline passed", "timeout")
        else:
            self.scheduler.record_progress(self.request_id, self.tokens, now)
            self.attempt.check_progress(now)

    def cancel(self):
        """Cancel the request after its caller has disconnected."""
        if self.done:
            return
        self.done = True
        if self.attempt is not None:
            self.attempt.cancel()
            self.scheduler.failed(self.request_id, self.services.clock())
        self.services.finished(self, self._verdict())

    def _verdict(self):
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    def _refuse_crashing(self):
        if self.may_have_run:
            self._fail(CRASHING_REASON, "crashing_request")
        else:
            self._finish_error(Refused(reason=CRASHING_REASON, code="crashing_request"))

    def _fail(self, reason, code):
        """Send a failure once all peers have the evidence of a crash."""
        self.failure = Failed(reason=reason, code=code, verdict=self._verdict())
        self.failed_at = self.services.clock()
        self._send_failure_if_settled(self.failed_at)

    def _send_failure_if_settled(self, now):
        is_late = now - self.failed_at >= MAX_EVIDENCE_WAIT
        if is_late or self.guard.is_settled(self.fingerprint, now):
            self._finish_error(self.failure)

    def _finish_error(self, outcome):
        self.done = True
        self.refusal_code = outcome.code
        self.answer.fail(error_body.from_outcome(outcome))
        self.services.finished(self, outcome.verdict)

    def current_attempt_id(self):
        """Return the identifier of the current attempt."""
        return attempt_id(self.request_id, self.attempt_number)


def classify(request):
    """Return "short" or "long", the classes that objectives are set for."""
    is_long = request.prompt_tokens + request.max_tokens >= LONG_TOKENS
    return "long" if is_long else "short"
