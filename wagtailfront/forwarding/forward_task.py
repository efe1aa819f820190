"""One caller's request, from its arrival to the single response."""

import functools
import logging

from wagtailfront.decisions.crash_evidence import Decision, request_fingerprint
from wagtailfront.forwarding.endpoint_choice import DECODE_STAGES
from wagtailfront.forwarding.proxied_attempt import ProxyDispatch
from wagtailfront.forwarding.proxy_headers import origin_headers, unreached_headers
from wagtailfront.forwarding.request_dispatch import (
    GATEWAY_TIMEOUT,
    MAX_SENDS,
    POISON_RETRY_AFTER,
    RequestDispatch,
)
from wagtailfront.forwarding.request_log import RequestLog
from wagtailfront.forwarding.resumption import (
    UNKNOWN_RETRY_AFTER,
    find_origin,
    is_certain,
)
from wagtailfront.forwarding.routes import RequestKind
from wagtailfront.forwarding.send_credit import SendCredit
from wagtailfront.forwarding.silence_watch import SilenceWatch
from wagtailfront.forwarding.stream_relay import StreamRelay
from wagtailfront.transport.late_timers import call_after_reads

__all__ = [
    "DEADLINE_GRACE",
    "OTHER_INSTANCE_RETRY_AFTER",
    "ForwardTask",
    "time_limit",
]

logger = logging.getLogger(__name__)

DEADLINE_GRACE = 0.05  # seconds; an endpoint's own timeout response may be late
OTHER_INSTANCE_RETRY_AFTER = 0.02  # seconds; others can serve it at once
TOO_MANY, SERVER_ERROR = 429, 500
BAD_GATEWAY, UNAVAILABLE = 502, 503


def time_limit(route, fields):
    """Return the seconds within which a request must be answered."""
    if fields.time_left is None:
        return route.timeout
    return min(route.timeout, fields.time_left)


class ForwardTask:
    """Sends a request to endpoints until it is answered or must be given up.

    Parameters
    ----------
    request : Request
    fields : RequestFields
    route : Route
    service : Service
    reply : ReplySink
    context : ForwardContext
    on_done : callable
        Called with the task when it has ended.
    config_version : int, optional
        Version of the configuration that `route` comes from.
    origin : StreamOrigin, optional
        What began the stream, if the caller resumes one.
    instructions : ProxyInstructions, optional
        Of the peer that sent the request, if it is that of a peer's caller.
    """

    def __init__(
        self,
        *,
        request,
        fields,
        route,
        service,
        reply,
        context,
        on_done,
        config_version=0,
        origin=None,
        instructions=None,
    ):
        self.request = request
        self.fields = fields
        self.route = route
        self.service = service
        self.reply = reply
        self.context = context
        self.on_done = on_done
        self.attempt = None
        self.used_connections = set()
        self.sends = 0
        self.is_proxied = instructions is not None
        self.runs = instructions.runs if instructions else 0
        self.may_have_run = False  # never reset; a refusal is sent only while False
        self.is_done = False
        self.timers = []
        self.received = context.clock()
        self.deadline = self.received + time_limit(route, fields)
        self.log = RequestLog(
            context=context,
            request_id=fields.request_id,
            route=route,
            config_version=config_version,
            received=self.received,
        )
        self.credit = SendCredit(
            budget=context.budgets[service.name], clock=context.clock
        )
        self.origin = origin
        self.dispatcher = RequestDispatch(
            task=self, software_version=origin and origin.software_version
        )
        self.proxy = ProxyDispatch(task=self)
        self.silence = SilenceWatch(task=self)
        self.stream = StreamRelay(task=self)
        self.fingerprint = request_fingerprint(
            request.target.decode("latin-1"),
            repr(fields.parts).encode(),
            request.body,
            caller=fields.caller,
        )

    # Start and end

    def begin(self):
        """Start the deadline and send the request to a first endpoint."""
        call_after_reads(
            self.after,
            clock=self.context.clock,
            delay=self.deadline - self.received + DEADLINE_GRACE,
            callback=self._expire,
        )
        self.credit.budget.record_request(now=self.received)
        if not self.is_proxied:
            self.context.work.record_request(
                self.service.name,
                tokens=self.fields.prompt_tokens + self.fields.max_output_tokens,
            )
        placement = self.context.evidence.place(
            self.fingerprint, endpoints=(), live=(), now=self.received
        )
        if placement.decision is Decision.REFUSE:
            self.give_up("it crashed endpoints that ran it", POISON_RETRY_AFTER)
        elif self.origin is not None and not is_certain(self.origin):
            step = functools.partial(self.run, self._dispatch_resumption)
            self.context.confirm_registry(step)
        elif not self.dispatcher.give_up_on_crashing_part():
            self.dispatcher.dispatch()

    def _dispatch_resumption(self, is_confirmed):
        """Resume a stream if the registry still suggests its origin."""
        if self.is_done:
            return
        origin = find_origin(self.fields, self.route, self.context)
        if not is_confirmed and (origin is None or not is_certain(origin)):
            self.give_up("the registry could not be confirmed", UNKNOWN_RETRY_AFTER)
        elif origin is None or origin[:2] != self.origin[:2]:
            reason = "the stream may have begun at another software version"
            self.give_up(reason, UNKNOWN_RETRY_AFTER)
        elif not self.dispatcher.give_up_on_crashing_part():
            self.dispatcher.dispatch()

    @property
    def is_prefilling(self):
        """Return whether an engine works on it without an event so far."""
        return self.service.is_model and not self.stream.is_started

    @property
    def outlasts_caller(self):
        """Return whether it goes on for a caller that may have left.

        The end of a call that cannot be repeated frees hardly anything.
        """
        is_call = self.route.kind is not RequestKind.STREAMING
        is_sent = self.attempt is not None and self.attempt.may_have_run
        return is_call and is_sent and not self.route.may_repeat

    def cancel(self):
        """End the task because the caller closed its connection."""
        if not self.is_done:
            self.log.decision("cancelled", "the caller closed its connection")
            self.end("cancelled")

    def stop(self):
        """End the task with an answer because the instance stops."""
        if not self.is_done:
            self._end_unanswered("the instance stops", OTHER_INSTANCE_RETRY_AFTER)

    def end(self, outcome):
        """End the task after its response has been sent or aborted."""
        self.is_done = True
        for timer in self.timers:
            timer.cancel()
        self.drop_attempt()
        # Freed now, as the objects of a task refer to each other.
        self.request = self.request._replace(body=b"")
        self.silence.release("the request has ended")
        self.dispatcher.admission.record_end()
        self.dispatcher.room.close()
        self.context.metrics.count(
            "forwarded_total", service=self.service.name, outcome=outcome
        )
        self.on_done(self)

    def after(self, delay, callback):
        """Call `callback` after `delay` seconds unless the task has ended."""
        step = functools.partial(self.run, callback)
        self.timers.append(self.context.timers.after(delay, step))

    def run(self, step, *arguments):
        """Call a step of the request; end the request if it raises."""
        try:
            step(*arguments)
        except Exception:
            # A fault in one request must not stop the others.
            logger.exception("[forward] A step of a request failed.")
            if not self.is_done:
                self.give_up("fault of this instance", OTHER_INSTANCE_RETRY_AFTER)

    def _expire(self):
        if not self.is_done:
            self._end_unanswered("deadline exceeded", None, GATEWAY_TIMEOUT)

    def give_up(self, reason, retry_after, status=BAD_GATEWAY):
        """End the request unless a silent endpoint may still answer it."""
        if not self.silence.resume(reason):
            self._end_unanswered(reason, retry_after, status)

    def _end_unanswered(self, reason, retry_after, status=BAD_GATEWAY):
        """End the request without an endpoint's answer.

        A stream that has begun is aborted. A request that may have run gets
        `status`; any other gets a refusal, which states that it did not run.
        """
        if self.stream.is_started:
            self.log.decision("cut", reason)
            self.reply.abort()
            self.end("cut")
        elif self.may_have_run or any(
            attempt is not None and attempt.may_have_run
            for attempt in (self.attempt, self.silence.held)
        ):
            self.log.decision("failed", reason, status=status)
            self.reply.answer(status, [], b"")
            self.end("failed")
        else:
            self.log.decision("refused", reason, retry_after=retry_after)
            headers = self.context.dialect.refusal_headers(retry_after)
            if self.is_proxied and self.context.reach.is_lost(self.service.name):
                headers += unreached_headers()
            self.reply.answer(UNAVAILABLE, headers, b"")
            self.end("refused")

    def headers_to_caller(self, attempt):
        """Return the headers of an endpoint's answer that the caller gets."""
        origin = origin_headers(attempt.record) if self.is_proxied else []
        return attempt.answer_headers + origin

    def drop_attempt(self):
        """Abandon the current attempt if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.drop()

    # Reports of attempts

    def handle_prefill(self, attempt):
        """Run the request after its prefill has been answered."""
        now = self.context.clock()
        record = attempt.record
        self.drop_attempt()
        try:
            self.dispatcher.kv_source = attempt.read_handle()
            self.dispatcher.prefill_version = record.software_version
        except ValueError as error:
            self.context.health.record_shed(record, now=now)
            self.dispatcher.tried.add(record.incarnation)
            self.log.decision("prefill_failed", str(error), endpoint=record.endpoint_id)
        else:
            latency = now - attempt.started
            self.context.health.record_prefill_time(
                record, expected=attempt.expected, took=latency, now=now
            )
            self.context.health.record_success(record, now=now)
        self.dispatcher.dispatch_prefilled()

    def handle_answer(self, attempt):
        """Handle a complete response that is not a stream."""
        if attempt.is_proxied:
            self.proxy.handle_answer(attempt)
            return
        status = attempt.status
        fault = self._find_fault(attempt)
        is_error = status >= SERVER_ERROR
        if attempt is self.silence.held and (attempt.is_not_run or fault or is_error):
            reason = fault or f"it answered {status}"
            self.silence.release(reason, is_refused=attempt.is_not_run)
        elif attempt.is_not_run:
            self._handle_refusal(attempt)
        elif fault:
            self.handle_failure(attempt, fault, True)
        elif is_error and self.may_repeat() and self.reserve(1):
            self.context.health.record_error(attempt.record)
            self.log.decision("error", str(status), endpoint=attempt.record.endpoint_id)
            self.repeat_elsewhere(attempt)
        elif is_error and self.silence.resume(f"another answered {status}"):
            self.context.health.record_error(attempt.record)
        else:
            self._forward_answer(attempt)

    def _find_fault(self, attempt):
        """Return why an answer cannot be forwarded, or an empty text."""
        status = attempt.status
        if self.stream.is_started:
            # The caller already has a head and events; only a stream goes on.
            return f"{status} in a stream that began"
        if not attempt.is_attributable:
            return f"{status} names no request"
        if status in (TOO_MANY, UNAVAILABLE):
            return f"{status} without a not-run statement"
        if status < 300 and not attempt.is_trusted:
            return "response is unsigned, encoded or names no request"
        return ""

    def _forward_answer(self, attempt):
        now = self.context.clock()
        if attempt.status >= 500:
            self.context.health.record_error(attempt.record)
        else:
            self.context.health.record_success(attempt.record, now=now)
            attempt.record_success()
            self.dispatcher.admission.record_answer(sent=attempt.started)
        self.log.decision(
            "answered", str(attempt.status), endpoint=attempt.record.endpoint_id
        )
        headers = self.headers_to_caller(attempt)
        self.reply.answer(attempt.status, headers, attempt.body)
        self.end("answered")

    def _handle_refusal(self, attempt):
        """Try again after an endpoint stated that the request did not run."""
        record = attempt.record
        self.drop_attempt()
        self.context.health.record_shed(record, now=self.context.clock())
        if self.dispatcher.kv_source is None:
            self.dispatcher.tried.add(record.incarnation)
        self.dispatcher.kv_source = None
        self.log.decision("shed", str(attempt.status), endpoint=record.endpoint_id)
        if self.sends < MAX_SENDS and self.reserve(1):
            self.dispatcher.dispatch()
        else:
            retry_after = self.dispatcher.admission.time_until_free()
            self.give_up("every endpoint tried is full", retry_after)

    def handle_failure(self, attempt, reason, sent):
        """Retry or end the request after an attempt that failed."""
        if attempt.is_proxied:
            self.proxy.handle_failure(attempt, reason, sent)
            return
        if attempt is self.silence.held:
            self.context.health.record_failure(attempt.record, now=self.context.clock())
            attempt.record_crash()
            self.silence.release(reason)
            return
        if self.is_done or self.attempt is not attempt:
            return
        record = attempt.record
        pause = self.context.health.record_failure(record, now=self.context.clock())
        self.log.decision(
            "attempt_failed",
            reason,
            endpoint=record.endpoint_id,
            sent=sent,
            pause=pause,
        )
        if sent and not attempt.is_prefill:
            attempt.record_crash()
            if self.may_repeat() and self.reserve(1):
                self.repeat_elsewhere(attempt)
            else:
                self.may_have_run = True
                self.give_up(reason, None)
            return
        self.drop_attempt()
        self.dispatcher.tried.add(record.incarnation)
        self.dispatcher.dispatch()

    def may_repeat(self):
        """Return whether one more run is allowed after the current one."""
        return (
            self.route.may_repeat
            and self.runs + 1 < self.route.max_attempts
            and self.sends < MAX_SENDS
        )

    def may_try_besides(self, attempt):
        """Return whether another endpoint may run the request too."""
        stages = DECODE_STAGES if self.service.is_model else None
        return (
            self.may_repeat()
            and self.dispatcher.has_other(attempt, stages=stages)
            and self.reserve(1)
        )

    def may_prefill_again(self, attempt):
        """Return whether another engine may prefill the prompt."""
        return (
            self.sends < MAX_SENDS
            and self.dispatcher.has_other(attempt)
            and self.reserve(2)  # the one that arrived, and the next
        )

    def dispatch_besides(self, attempt):
        """Send the request to another endpoint; `attempt` stays open."""
        self.attempt = None
        self._count_run(attempt)
        self.dispatcher.dispatch()

    def replace_attempt(self, attempt):
        """Drop the current attempt and go on with one that was open."""
        has_run = bool(self.attempt and self.attempt.may_have_run)
        self.may_have_run |= has_run
        self.runs += has_run - 1
        self.drop_attempt()
        self.attempt = attempt

    def reserve(self, sends):
        """Return whether so many sends may be made, and pay for them."""
        if self.credit.sends >= sends:
            return True
        is_allowed = self.credit.reserve(sends)
        spent = len(self.credit.budget.repeats)
        self.log.decision("repeat", "charged" if is_allowed else "denied", spent=spent)
        return is_allowed

    def repeat_elsewhere(self, attempt):
        """Send the request again after an attempt that may have run it."""
        self.may_have_run = True
        self._count_run(attempt)
        self.drop_attempt()
        self.dispatcher.dispatch()

    def _count_run(self, attempt):
        self.runs += 1
        self.dispatcher.leave_out(attempt)
