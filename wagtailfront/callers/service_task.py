"""One call of a plain service from admission to its answer."""

import logging

from wagtailfront.callers import error_body
from wagtailfront.callers.claim_interface import CallAnswer, Proceed, Recorded
from wagtailfront.callers.scheduler import unconfirmed
from wagtailfront.callers.service_call import answer_headers, is_idempotent
from wagtailfront.identifiers import attempt_id
from wagtailfront.outcome import Answered, Failed, Refused, Verdict
from wagtailfront.transport.http_client import WholeResponse
from wagtailfront.transport.http_exchange import split_address

__all__ = ["ServiceTask"]

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT = 10.0  # seconds for one attempt at an idempotent call


class ServiceTask:
    """Runs one call; a non-idempotent one is sent at most once.

    Parameters
    ----------
    call : ServiceCall
    request_id : str
    reply : Reply
    services : RequestServices
    """

    def __init__(self, *, call, request_id, reply, services):
        self.call = call
        self.request_id = request_id
        self.reply = reply
        self.services = services
        self.deadline = services.clock() + call.deadline
        self.attempts = 0
        self.exchanges = {}
        self.excluded = set()
        self.idempotent = False
        self.claimed = False
        self.may_have_run = False
        self.done = False
        self.caller_gone = False
        self.answered = False
        self.refusal_code = ""
        self.started = services.clock()
        self.first_token_at = None
        self.tokens = 0
        self.request_class = "short"

    @property
    def workspace(self):
        return self.call.workspace

    def refuse(self, refused):
        """Reject the call before anything was sent."""
        self._finish_error(refused)

    def start(self):
        """Check the service, claim the key if necessary, and send."""
        scheduler = self.services.scheduler
        refused = scheduler.admit_call(self.call, self.services.clock())
        if refused is not None:
            self._finish_error(refused)
            return
        self.idempotent = is_idempotent(self.call, scheduler.service(self.call.service))
        if self.idempotent or not self.call.key:
            self._send()
            return
        self.services.claims.claim(
            call=self.call,
            attempt=self.request_id,
            deadline=self.deadline,
            on_result=self._on_claim,
        )

    def _on_claim(self, result):
        if isinstance(result, Recorded):
            self._finish_answer(result.answer)
        elif not isinstance(result, Proceed):
            self._finish_error(result)
        else:
            self.claimed = True
            if self.caller_gone:
                self._finish_error(_caller_gone())
            else:
                self._send()

    def _send(self):
        now = self.services.clock()
        if now >= self.deadline:
            self._give_up("deadline passed", "timeout")
            return
        endpoint = self._choose(now)
        if isinstance(endpoint, Refused):
            self._no_endpoint(endpoint)
            return
        if self.attempts == 0:
            self.services.retries.record_request()
            self.services.hedges.start(
                self.request_id,
                idempotent=self.idempotent,
                expected=self.services.scheduler.expected_call_time(self.call),
                now=now,
            )
        self._send_to(endpoint, now)

    def _send_to(self, endpoint, now):
        self.attempts += 1
        number = self.attempts
        attempt = attempt_id(self.request_id, number)
        self.services.scheduler.call_started(attempt, endpoint, now)
        host, port = split_address(endpoint.address)
        remaining = self.deadline - now
        sink = WholeResponse(
            lambda *result: self._on_response(number, endpoint, *result),
            memory=self.services.responses,
        )
        self.exchanges[number] = sink.exchange = self.services.pool.request(
            host=host,
            port=port,
            method=self.call.method,
            path=self.call.path,
            headers=[*self.call.headers, ("X-Request-Id", attempt)],
            body=self.call.body,
            sink=sink,
            timeout=min(remaining, ATTEMPT_TIMEOUT) if self.idempotent else remaining,
            # A reused connection may close while the request is sent; it
            # is then unknown whether a non-idempotent call ran.
            fresh=not self.idempotent,
        )

    def _choose(self, now):
        if not self.services.may_dispatch(now):
            return unconfirmed()
        return self.services.scheduler.choose_endpoint(
            self.call, exclude=self.excluded, now=now
        )

    def _on_response(self, number, endpoint, status, headers, body):
        del self.exchanges[number]
        now = self.services.clock()
        self.services.scheduler.call_ended(
            attempt_id(self.request_id, number), answered=status is not None, now=now
        )
        if status is not None:
            self._cancel_losers(number, now)
            self._answered(status, headers, body)
        else:
            self._attempt_failed(number, endpoint, headers, body, now)

    def _attempt_failed(self, number, endpoint, reason, sent, now):
        self.may_have_run = self.may_have_run or sent
        self.excluded.add(endpoint.name)
        logger.info("[request] %s.%d ended: %s.", self.request_id, number, reason)
        if self.services.hedges.failed(self.request_id, number):
            return
        repeatable = self.idempotent or not sent
        if (
            repeatable
            and self.attempts < MAX_ATTEMPTS
            and not self.caller_gone
            and self.services.retries.spend(now=now)
        ):
            self._send()
        else:
            self._give_up(f"{endpoint.name}: {reason}", "incomplete")

    def _cancel_losers(self, winner, now):
        """Cancel the other attempts of a hedged call, which is idempotent."""
        self.services.hedges.handle_first_token(self.request_id, winner, now=now)
        for number, exchange in list(self.exchanges.items()):
            exchange.cancel()
            exchange.sink.release()
            # It took at least this long, so this counts as its time.
            self.services.scheduler.call_ended(
                attempt_id(self.request_id, number), answered=True, now=now
            )
        self.exchanges.clear()

    def _hedge(self, now):
        """Send a late idempotent call to a second endpoint."""
        exclude = self.excluded | self.services.scheduler.endpoints_in_use(
            self.request_id
        )
        endpoint = self.services.scheduler.choose_endpoint(
            self.call, exclude=exclude, now=now
        )
        if isinstance(endpoint, Refused) or not self.services.may_dispatch(now):
            return
        if self.services.hedges.hedge(self.request_id, self.attempts + 1, now=now):
            self._send_to(endpoint, now)

    def _answered(self, status, headers, body):
        answer = CallAnswer(
            status=status, headers=tuple(answer_headers(headers)), body=body
        )
        if self.claimed:
            self.services.claims.record_outcome(
                attempt=self.request_id, outcome=Answered(value=None), answer=answer
            )
        self._finish_answer(answer)

    def _no_endpoint(self, refused):
        if self.may_have_run:
            self._give_up("no further endpoint serves this", "incomplete")
        else:
            self._finish_error(refused)

    def _give_up(self, reason, code):
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
        self._finish_error(Failed(reason=reason, code=code, verdict=verdict))

    def _finish_answer(self, answer):
        if self.done:
            return
        self.done = True
        self.answered = True
        self.first_token_at = self.services.clock()
        headers = [
            *answer.headers,
            ("X-Verdict", Verdict.RAN.value),
            ("X-Request-Id", self.request_id),
        ]
        if not self.caller_gone:
            self.reply.respond(answer.status, headers, answer.body)
        self._end(Verdict.RAN)

    def _finish_error(self, outcome):
        if self.done:
            return
        self.done = True
        self.refusal_code = outcome.code
        if self.claimed:
            # A verdict of not_run releases the claim for a resend.
            self.services.claims.record_outcome(
                attempt=self.request_id, outcome=outcome
            )
        error = error_body.from_outcome(outcome)
        headers = [("Content-Type", "application/json"), *error.headers]
        if not self.caller_gone:
            self.reply.respond(error.status, headers, error.body)
        self._end(outcome.verdict)

    def _end(self, verdict):
        self.services.hedges.finish(self.request_id)
        self.services.finished(self, verdict)
        # Freed now, as these objects refer to each other.
        self.call = self.call._replace(body=b"")

    def move(self):
        """Do nothing, since calls cannot be resumed on another endpoint."""

    def check_progress(self, now):
        """Hedge the call if it is late; the pool handles timeouts."""
        due = self.services.hedges.hedge_at(self.request_id)
        if due is not None and now >= due and not self.done:
            self._hedge(now)

    def cancel(self):
        """Record that the caller has disconnected.

        A call that was sent continues, so that its outcome is recorded for
        a resend.
        """
        self.caller_gone = True


def _caller_gone():
    return Refused(
        reason="the caller disconnected before the call was sent", code="cancelled"
    )
