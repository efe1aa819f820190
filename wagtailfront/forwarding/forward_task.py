"""One caller's request from its arrival to its only answer."""

from typing import Any, NamedTuple

from wagtailfront.decisions.crash_evidence import Decision, request_fingerprint
from wagtailfront.forwarding.admission import admit
from wagtailfront.forwarding.attempt import PrefillAttempt, RunAttempt, end_to_end
from wagtailfront.forwarding.interfaces import SendOptions
from wagtailfront.forwarding.placement import (
    EngineView,
    choose_least_loaded,
    plan_model_request,
)

__all__ = ["ForwardTools", "ForwardTask"]

MAX_SENDS = 4  # sends of one request, with those that did not run it
MIN_TIME_LEFT = 0.02  # seconds below which no endpoint can answer in time
# Seconds after the deadline in which the endpoint's own late answer arrives.
DEADLINE_GRACE = 0.05
# An idempotent call with no answer after this many target latencies is
# repeated, but not before the time in seconds, which covers a slow moment.
PATIENCE_TARGETS = 2.0
MIN_PATIENCE = 0.25
# Seconds without a byte from an engine on any connection; a step with full
# chunks of a long prompt takes a tenth of it.
ENGINE_SILENCE = 0.9
SILENCE_RECHECK = 0.02  # seconds; a look that comes early is not repeated at once
# An engine's queue may take this many times the expected time.
QUEUE_PATIENCE = 2.0
RETRY_AFTER = 0.25  # seconds; a full engine frees places within some steps
POISON_RETRY_AFTER = 5.0  # seconds
FETCHED_PRIORITY = 0
MOST_URGENT = -1  # more urgent than any route's priority
TOO_MANY, BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 429, 502, 503, 504


class ForwardTools(NamedTuple):
    """What a task works with; shared by all tasks of an instance."""

    dialect: Any
    directory: Any
    health: Any
    pool: Any
    timers: Any
    budgets: Any
    evidence: Any
    kept: Any
    load: Any
    limits: Any
    log: Any
    metrics: Any
    clock: Any
    rng: Any


class ForwardTask:
    """Sends a request to endpoints until it has an answer or may not go on.

    Parameters
    ----------
    request : Request
    fields : RequestFields
    route : Route
    service : Service
    reply : ReplySink
    tools : ForwardTools
    on_done : callable
        Called with the task when it has ended.
    config_version : int, optional
        Version of the configuration that `route` comes from.

    Notes
    -----
    `may_have_run` never goes back: a refusal that promises that the request
    did not run is sent only while it is false.
    """

    def __init__(
        self,
        *,
        request,
        fields,
        route,
        service,
        reply,
        tools,
        on_done,
        config_version=0,
    ):
        self.config_version = config_version
        self.request = request
        self.fields = fields
        self.route = route
        self.service = service
        self.reply = reply
        self.tools = tools
        self.on_done = on_done
        self.attempt = None
        self.tried = set()
        self.sends = 0
        self.runs = 0
        self.may_have_run = False
        self.is_started = False
        self.is_done = False
        self.last_event_id = None
        self.kv_source = None
        self.plan = None
        self.timers = []
        self.received = tools.clock()
        time_left = route.timeout
        if fields.time_left is not None:
            time_left = min(time_left, fields.time_left)
        self.deadline = self.received + time_left
        self.fingerprint = request_fingerprint(
            request.target.decode("latin-1"), repr(fields.parts).encode() + request.body
        )

    # Start and end

    def begin(self):
        """Place the request."""
        self._after(self.deadline - self.received + DEADLINE_GRACE, self._expire)
        self.tools.budgets[self.service.name].note_request(now=self.received)
        placement = self.tools.evidence.place(
            self.fingerprint, endpoints=(), live=(), now=self.received
        )
        if placement.decision is Decision.REFUSE:
            self._give_up("it crashed the endpoints that ran it", POISON_RETRY_AFTER)
        else:
            self._dispatch()

    def cancel(self):
        """End the work because the caller left."""
        if not self.is_done:
            self._log("cancelled", "the caller closed its connection")
            self._end("cancelled")

    def _end(self, outcome):
        self.is_done = True
        for timer in self.timers:
            timer.cancel()
        self._drop_attempt()
        self.tools.metrics.count(
            "forwarded_total", service=self.service.name, outcome=outcome
        )
        self.on_done(self)

    def _after(self, delay, callback):
        self.timers.append(self.tools.timers.after(delay, callback))

    def _expire(self):
        if not self.is_done:
            self._give_up("its time is up", None, GATEWAY_TIMEOUT)

    def _give_up(self, reason, retry_after, status=BAD_GATEWAY):
        """Send the only answer that is still true."""
        if self.is_started:
            self._log("cut", reason)
            self.reply.abort()
            self._end("cut")
        elif self.may_have_run or self._run_is_open():
            self._log("failed", reason, status=status)
            self.reply.answer(status, [], b"")
            self._end("failed")
        else:
            self._log("refused", reason, retry_after=retry_after)
            headers = self.tools.dialect.refusal_headers(retry_after)
            self.reply.answer(UNAVAILABLE, headers, b"")
            self._end("refused")

    def _run_is_open(self):
        """Return whether a run was sent that the endpoint has not answered."""
        attempt = self.attempt
        return (
            attempt is not None and not attempt.is_prefill and attempt.exchange.is_sent
        )

    # Sending

    def _dispatch(self):
        now = self.tools.clock()
        if self.deadline - now < MIN_TIME_LEFT:
            self._give_up("no time left", None, GATEWAY_TIMEOUT)
            return
        if self.sends >= MAX_SENDS:
            self._give_up("no endpoint took it", RETRY_AFTER)
            return
        views = self._views(now)
        if not views:
            self._give_up("no endpoint is known", RETRY_AFTER)
        elif self.service.is_model:
            self._dispatch_model(views)
        else:
            self._run(choose_least_loaded(views, rng=self.tools.rng).record)

    def _views(self, now, stages=None):
        """Return what is known of the endpoints that may be chosen."""
        records = [
            record
            for record in self.tools.directory.find(self.service.name)
            if stages is None or record.stage in stages
        ]
        fresh = [r for r in records if r.incarnation not in self.tried]
        usable = self.tools.health.usable(fresh or records, now=now)
        return [self._view(record) for record in usable]

    def _view(self, record):
        now, load = self.tools.clock(), self.tools.load
        incarnation = record.incarnation
        outstanding = load.outstanding(incarnation, now=now)
        if not self.service.is_model:
            return EngineView(record, outstanding)
        kept = self.tools.kept[self.service.name]
        urgency = self.route.priority
        return EngineView(
            record,
            outstanding,
            pending_tokens=load.pending_before(incarnation, urgency, now=now)
            + load.blocking(incarnation, urgency, now=now),
            kept_tokens=kept.kept_tokens(incarnation, self.fields.parts),
            slowness=self.tools.health.state(incarnation).slowness,
            blocking_tokens=load.blocking(incarnation, MOST_URGENT, now=now),
        )

    def _dispatch_model(self, views):
        may_split = self.last_event_id is None and not self.runs
        plan = plan_model_request(
            views, self.fields.prompt_tokens, may_split=may_split, rng=self.tools.rng
        )
        self.plan = plan
        if plan is None:
            self._give_up("no engine generates", RETRY_AFTER)
            return
        if self.sends == 0 and not self._admit(plan):
            return
        reader = plan.prefill or plan.decode
        self._note_kept(reader)
        attempt_type = RunAttempt if plan.prefill is None else PrefillAttempt
        self._send(
            attempt_type,
            reader,
            unread_tokens=plan.unread_tokens,
            expected=plan.expected,
        )

    def _admit(self, plan):
        admission = admit(
            expected=plan.expected,
            route=self.route,
            time_left=self.deadline - self.tools.clock(),
            limits=self.tools.limits,
            rng=self.tools.rng,
        )
        if not admission.is_taken:
            reader = plan.prefill or plan.decode
            self._log(
                "not_admitted",
                "it would start too late",
                expected=round(plan.expected, 3),
                endpoint=reader.endpoint_id,
                unread=plan.unread_tokens,
                peers=len(self.tools.load.peers),
                **self._ages(),
            )
            reason = f"a first event is expected after {plan.expected:.2f} s"
            self._give_up(reason, admission.retry_after)
        return admission.is_taken

    def _note_kept(self, record):
        kept = self.tools.kept[self.service.name]
        kept.note(record.incarnation, self.fields.parts)
        self.tools.load.note_prompt(record.incarnation, self.fields.parts)

    def _run(self, record):
        self._send(RunAttempt, record)

    def _send(self, attempt_type, record, unread_tokens=0, expected=0.0):
        self.sends += 1
        attempt = attempt_type(
            task=self,
            record=record,
            number=self.sends,
            unread_tokens=unread_tokens,
            expected=expected,
        )
        self.attempt = attempt
        options = SendOptions(
            endpoint_id=record.endpoint_id,
            time_left=self.deadline - attempt.started,
            priority=self._urgency() if self.service.is_model else None,
            prefill_only=attempt.is_prefill,
            kv_source=self.kv_source,
            resume_after=self.last_event_id,
        )
        self._log(
            "sent",
            "prefill" if attempt.is_prefill else "run",
            endpoint=record.endpoint_id,
            outstanding=attempt.health.outstanding,
            unread=unread_tokens,
            expected=round(expected, 4),
            attempt=self.sends,
            **self._ages(),
        )
        attempt.launch(options)
        self._watch_silence(attempt)

    def _urgency(self):
        """Return the priority at an engine, 0 for the most urgent.

        A prompt that has been read elsewhere needs only a place in the batch,
        so it does not wait behind prompts that still have to be read.
        """
        return FETCHED_PRIORITY if self.kv_source else self.route.priority + 1

    def _drop_attempt(self):
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.drop()

    # Silence

    def _watch_silence(self, attempt):
        patience = max(MIN_PATIENCE, PATIENCE_TARGETS * self.route.target_latency)
        if self.service.is_model:
            patience = ENGINE_SILENCE + QUEUE_PATIENCE * attempt.expected
        self._after(patience, lambda: self._check_silence(attempt, patience))

    def _check_silence(self, attempt, patience):
        if self.is_done or self.attempt is not attempt:
            return
        now = self.tools.clock()
        heard = attempt.started
        if self.service.is_model:
            heard = max(heard, attempt.health.last_heard)
        if now - heard < patience:
            remaining = max(SILENCE_RECHECK, heard + patience - now)
            self._after(remaining, lambda: self._check_silence(attempt, patience))
        elif attempt.is_prefill or self._may_repeat():
            attempt.exchange.cancel()
            self.take_failure(attempt, "silent", attempt.exchange.is_sent)
        else:
            self.tools.health.fail(attempt.record, now=now)
            self._log("silent", "not repeatable", endpoint=attempt.record.endpoint_id)

    # What attempts report

    def note_foreign_response(self, attempt, request_id):
        """Note a response to another request, which is dropped."""
        self._log(
            "foreign", "dropped", endpoint=attempt.record.endpoint_id, other=request_id
        )

    def take_prefill(self, attempt):
        """Take the answer to a prefill and run the request."""
        now = self.tools.clock()
        record = attempt.record
        self._drop_attempt()
        try:
            self.kv_source = self._read_handle(attempt)
        except ValueError as error:
            self.tools.health.shed(record, now=now)
            self.tried.add(record.incarnation)
            self._log("prefill_failed", str(error), endpoint=record.endpoint_id)
        else:
            latency = now - attempt.started
            attempt.health.note_read(expected=attempt.expected, took=latency)
            self.tools.health.succeed(record, latency=latency, now=now)
            if self.tools.directory.is_current(self.plan.decode):
                self._note_kept(self.plan.decode)
                self._run(self.plan.decode)
                return
        views = self._views(now, stages=("decode", ""))
        if not views or self.sends >= MAX_SENDS:
            self._give_up("no engine generates", RETRY_AFTER)
        else:
            self._run(choose_least_loaded(views, rng=self.tools.rng).record)

    def _read_handle(self, attempt):
        if attempt.status != 200:
            raise ValueError(f"status {attempt.status}")
        return self.tools.dialect.read_handle(attempt.record.address, attempt.body)

    def take_answer(self, attempt):
        """Take a whole answer that is no stream."""
        status = attempt.status
        if attempt.is_not_run:
            self._take_refusal(attempt)
        elif status in (TOO_MANY, UNAVAILABLE):
            self.take_failure(attempt, f"{status} without a promise", True)
        elif status < 300 and not attempt.is_trusted:
            self.take_failure(attempt, "not the endpoint's own answer", True)
        elif status >= 500 and self._may_repeat() and self._spend_repeat():
            self.tools.health.note_error(attempt.record)
            self._log("error", str(status), endpoint=attempt.record.endpoint_id)
            self._repeat(attempt)
        else:
            self._pass_answer(attempt)

    def _pass_answer(self, attempt):
        now = self.tools.clock()
        latency = now - attempt.started
        if attempt.status >= 500:
            self.tools.health.note_error(attempt.record)
        else:
            self.tools.health.succeed(attempt.record, latency=latency, now=now)
            attempt.note_success()
        self._log("answered", str(attempt.status), endpoint=attempt.record.endpoint_id)
        self.reply.answer(attempt.status, end_to_end(attempt.headers), attempt.body)
        self._end("answered")

    def _take_refusal(self, attempt):
        """Go on after an endpoint stated that it did not run the request."""
        record = attempt.record
        self._drop_attempt()
        self.tools.health.shed(record, now=self.tools.clock())
        if self.kv_source is None:
            self.tried.add(record.incarnation)
        self.kv_source = None
        self._log("shed", str(attempt.status), endpoint=record.endpoint_id)
        if self.sends < MAX_SENDS and self._spend_repeat():
            self._dispatch()
        else:
            self._give_up("every endpoint tried is full", RETRY_AFTER)

    def take_failure(self, attempt, reason, sent):
        """Go on after an attempt without a usable answer."""
        if self.is_done or self.attempt is not attempt:
            return
        record = attempt.record
        pause = self.tools.health.fail(record, now=self.tools.clock())
        self._log(
            "attempt_failed",
            reason,
            endpoint=record.endpoint_id,
            sent=sent,
            pause=pause,
        )
        if sent and not attempt.is_prefill:
            if attempt.status == 0:
                attempt.note_crash()
            if self._may_repeat() and self._spend_repeat():
                self._repeat(attempt)
            else:
                self.may_have_run = True
                self._give_up(reason, None)
            return
        self._drop_attempt()
        self.tried.add(record.incarnation)
        self._dispatch()

    def _may_repeat(self):
        """Return whether one more run is allowed beside the present one."""
        return (
            self.route.may_repeat
            and self.runs + 1 < self.route.max_attempts
            and self.sends < MAX_SENDS
        )

    def _spend_repeat(self):
        return self.tools.budgets[self.service.name].spend(now=self.tools.clock())

    def _repeat(self, attempt):
        self.may_have_run = True
        self.runs += 1
        self.kv_source = None
        self.tried.add(attempt.record.incarnation)
        self._drop_attempt()
        self._dispatch()

    # Streams

    def pass_events(self, attempt, events):
        """Pass whole events on to the caller."""
        if not self.is_started:
            self._start_stream(attempt)
        if attempt.splitter.last_id is not None:
            self.last_event_id = attempt.splitter.last_id
        self.reply.send(events)

    def end_stream(self, attempt):
        """Pass on the end of a stream."""
        if not self.is_started:
            self._start_stream(attempt)
        attempt.note_success()
        self._log("answered", "stream", endpoint=attempt.record.endpoint_id)
        self.reply.finish()
        self._end("answered")

    def _start_stream(self, attempt):
        self.is_started = True
        self.may_have_run = True
        now = self.tools.clock()
        latency = now - attempt.started
        if attempt.unread_tokens:
            attempt.health.note_read(expected=attempt.expected, took=latency)
        attempt.settle_pending()
        self.tools.health.succeed(attempt.record, latency=latency, now=now)
        self.tools.metrics.observe(
            "first_event_seconds", now - self.received, service=self.service.name
        )
        self._log("first_event", "", endpoint=attempt.record.endpoint_id)
        self.reply.start(attempt.status, end_to_end(attempt.headers))

    def _ages(self):
        """Return the version and age of what decisions go by."""
        read_at = self.tools.directory.read_at
        age = None if read_at is None else round(self.tools.clock() - read_at, 3)
        return {"config": self.config_version, "registry_age": age}

    def _log(self, kind, outcome, **inputs):
        self.tools.log.decision(
            kind,
            request=self.fields.request_id,
            outcome=outcome,
            route=self.route.name,
            age=round(self.tools.clock() - self.received, 4),
            **inputs,
        )
