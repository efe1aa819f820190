"""One attempt of a request at one endpoint, and its response."""

import functools

from wagtailfront.forwarding.event_splitter import EventSplitter
from wagtailfront.transport.framing import (
    HOP_BY_HOP,
    encode_head,
    find_header,
    join_small,
)

__all__ = ["PrefillAttempt", "RunAttempt", "end_to_end_headers"]

OK = 200
MISDIRECTED = 421
EVENT_STREAM = b"text/event-stream"
# Seconds that an engine takes for a call, at most, in the common case. It
# begins a call when it is sent, if it has a free slot, or else some time
# before the answer.
CALL_SECONDS = 0.09
BODILESS_METHODS = (b"GET", b"HEAD")


def end_to_end_headers(headers, *, kept=frozenset()):
    """Return `headers` without those that concern only one connection.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    kept : set of bytes, optional
        Names in lower case that remain even if Connection lists them.

    Examples
    --------
    >>> headers = [(b"Connection", b"X-A"), (b"X-A", b"1"), (b"X-B", b"2")]
    >>> end_to_end_headers(headers)
    [(b'X-B', b'2')]
    """
    listed = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    left_out = HOP_BY_HOP | (listed - kept)
    return [header for header in headers if header[0].lower() not in left_out]


class _Attempt:
    """Base of the attempts; an ExchangeSink of the endpoint's response.

    Parameters
    ----------
    task : ForwardTask
    record : EndpointRecord
    number : int
        Number of the attempt within its request, from 1.
    uncached_tokens : int, optional
        Prompt tokens that the endpoint has to prefill.
    expected : float, optional
        Seconds until they are prefilled.
    """

    is_prefill = False
    is_proxied = False

    def __init__(self, *, task, record, number, uncached_tokens=0, expected=0.0):
        self.task = task
        self.uncached_tokens = uncached_tokens
        self.priority = task.dispatcher.choice.priority
        self.expected = expected
        self.context = task.context
        self.record = record
        # Kept, as an endpoint that leaves the registry is forgotten.
        self.health = self._find_health()
        # Unique, so that a crash is attributed to this request alone.
        self.label = f"{record.endpoint_id}/{task.fields.request_id}#{number}"
        self.started = self.last_progress_at = self.context.clock()
        self.exchange = None
        self.is_dropped = False
        self.has_arrived = False
        self.is_silent = False
        self.is_broken_off = False
        self.status = 0
        self.headers = []
        self.fields = None
        self.buffer = bytearray()
        self.memory = self.context.body_memory.hold(
            on_evicted=lambda: self.fail("response too large beside others")
        )

    def _find_health(self):
        return self.context.health.state(self.record.incarnation)

    @property
    def answer_headers(self):
        """Return the headers of the response that its caller gets."""
        return end_to_end_headers(self.headers, kept=self.context.dialect.end_to_end)

    @property
    def body(self):
        """Return the bytes of the body received so far."""
        return bytes(self.buffer)

    @property
    def is_attributable(self):
        """Return whether the response is certainly one to this request.

        A response that names no request, on a connection that carried others
        before, may be a copy of one of theirs.
        """
        return self.fields.request_id is not None or self.exchange.is_first

    @property
    def is_not_run(self):
        """Return whether the endpoint states that the request did not run."""
        return self.is_attributable and (
            self.fields.is_not_run or self.status == MISDIRECTED
        )

    @property
    def may_have_run(self):
        """Return whether the endpoint may have begun to run the request."""
        is_sent = self.exchange is not None and self.exchange.is_sent
        return not self.is_prefill and is_sent

    def launch(self, options):
        """Send the request with `options`, a SendOptions."""
        self.task.dispatcher.room.begin(self)
        self.health.outstanding += 1
        self.health.add_pending(self.priority, self.uncached_tokens)
        self.context.work.start_attempt(
            self.task.service.name,
            uncached_tokens=self.uncached_tokens,
            now=self.started,
        )
        payload, body = self._encode(options)
        # A copy of an earlier response to the same request bears its id too.
        used = self.task.used_connections
        self.exchange = self.context.pool.send(
            self.record, payload, sink=self, avoid=used, body=body
        )
        used.add(self.exchange.connection)

    def drop(self):
        """Abandon the attempt; closes its connection if still in use."""
        if not self.is_dropped:
            self.is_dropped = True
            if self.exchange is not None:
                if self.exchange.is_sent:
                    self.record_arrival()
                self.exchange.cancel()
            self.health.outstanding -= 1
            if not self.is_proxied:
                self.context.work.end_attempt(
                    self.task.service.name,
                    started=self.started,
                    now=self.context.clock(),
                )
            self.task.dispatcher.room.end(self)
            self.memory.release()
            if not self.is_prefill:  # whose answer is read after the drop
                self.buffer = bytearray()
            self.clear_pending()

    def record_prefill_rate(self, took):
        """Record the seconds in which the engine prefilled the prompt."""
        self.context.work.prefill_rates.record(
            self.record.service,
            self.record.stage,
            tokens=self.uncached_tokens,
            seconds=took,
        )

    def clear_pending(self):
        """Subtract the prompt from the endpoint's pending tokens."""
        self.health.add_pending(self.priority, -self.uncached_tokens)
        self.uncached_tokens = 0

    def _encode(self, options):
        request = self.task.request
        dialect = self.context.dialect
        passed = end_to_end_headers(request.headers, kept=dialect.end_to_end)
        headers = dialect.endpoint_headers(passed, options)
        if request.body or request.method not in BODILESS_METHODS:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        return join_small(encode_head(first_line, headers), request.body)

    def record_arrival(self):
        """Use up the credit of a send that has reached the endpoint."""
        if not self.has_arrived:
            self.has_arrived = True
            self._use_credit()

    def _use_credit(self):
        raise NotImplementedError

    # ExchangeSink

    def on_head(self, status, headers):
        fields = self.context.dialect.read_response(status, headers)
        own_id = self.task.fields.request_id
        if fields.request_id is not None and fields.request_id != own_id:
            self.task.log.decision(
                "foreign",
                "dropped",
                endpoint=self.record.endpoint_id,
                other=fields.request_id,
            )
            return False
        self.status, self.headers, self.fields = status, headers, fields
        self._record_progress()
        self._record_head(status, fields)
        return True

    def _record_head(self, status, fields):
        """Record what the head of a response says of the endpoint."""
        now, incarnation = self.context.clock(), self.record.incarnation
        self.context.crashing_parts.record_response(
            incarnation, sent=self.started, now=now
        )
        if status != MISDIRECTED:
            self.context.rate_limits.record_answer(
                incarnation, fields.rate_limit, sent=self.started, now=now
            )
        if self.is_attributable:
            self.context.notices.record_answer(
                self.record,
                fields.notice,
                status=status,
                sent=self.started,
                request_id=self.task.fields.request_id,
            )

    def on_data(self, data):
        if self.memory.resize(len(self.buffer) + len(data)):
            self.buffer += data
        else:
            self.fail("response body too large")

    def on_failure(self, reason, sent):
        self.is_broken_off = True
        self._report_failure(reason, sent)

    def fail(self, reason):
        """Fail the attempt although its connection is open."""
        self.exchange.cancel()
        self._report_failure(reason, self.exchange.is_sent)

    def _report_failure(self, reason, sent):
        if sent:
            self.record_arrival()
        self.task.run(self.task.handle_failure, self, reason, sent)

    def _record_progress(self):
        self.is_silent = False
        self.last_progress_at = self.context.clock()
        self.health.last_response_at = self.last_progress_at


class PrefillAttempt(_Attempt):
    """Prefill of a prompt that another engine will decode."""

    is_prefill = True

    def read_handle(self):
        """Return the KV source in the response.

        Raises
        ------
        ValueError
            If the engine did not prefill the prompt.
        """
        if self.status != OK:
            raise ValueError(f"status {self.status}")
        if not self.is_attributable:
            raise ValueError("response names no request")
        return self.context.dialect.read_handle(self.record.address, self.body)

    def _use_credit(self):
        self.task.credit.record_prefill(is_accepted=self.status == OK)

    def on_end(self):
        self.record_arrival()
        if self.status == OK:
            self.record_prefill_rate(self.context.clock() - self.started)
        self.task.handle_prefill(self)


class RunAttempt(_Attempt):
    """Run of a request; forwards events as they arrive."""

    def __init__(self, **options):
        super().__init__(**options)
        self.splitter = None
        self.is_tracked = False
        self.has_answered = False

    @property
    def is_trusted(self):
        """Return whether the answer is the endpoint's own and unaltered.

        It must be signed, name the request and have no content coding.
        """
        return (
            self.fields.is_signed
            and not self.fields.is_encoded
            and self.fields.request_id is not None
        )

    @property
    def software_version(self):
        """Return the version of the endpoint that answers."""
        return self.record.software_version

    def record_first_event(self):
        """Record that the endpoint has begun to answer the caller."""
        now = self.context.clock()
        if self.uncached_tokens:
            took = now - self.started
            self.context.health.record_prefill_time(
                self.record, expected=self.expected, took=took, now=now
            )
            self.record_prefill_rate(took)
        self.clear_pending()
        if self.task.dispatcher.kv_source is not None:
            self.task.dispatcher.room.take()
        self.context.health.record_success(self.record, now=now)

    def launch(self, options):
        self.is_tracked = True
        self.context.evidence.start(self.task.fingerprint, self.label)
        super().launch(options)

    def drop(self):
        self._untrack(self.context.evidence.cancel)
        super().drop()

    def _use_credit(self):
        self.task.credit.record_run()

    def record_success(self):
        """Clear the crash evidence against the request."""
        complete = functools.partial(
            self.context.evidence.complete,
            is_of_one_caller=bool(self.task.fields.caller),
        )
        self._untrack(complete)

    def record_crash(self):
        """Record that the endpoint failed before its answer was complete.

        A response that was received, but cannot be forwarded, is no evidence.
        """
        now, incarnation = self.context.clock(), self.record.incarnation
        if self.status == 0 or self.is_broken_off:
            self.is_tracked = False
            self.context.evidence.record_crash(self.label, incarnation, now=now)
        if self.is_broken_off and not self.has_answered:
            self.context.crashing_parts.record_crash(
                self.task.fields.shared_parts, incarnation, sent=self.started, now=now
            )

    def record_answer(self):
        """Record that the endpoint has begun to answer the request."""
        if not self.has_answered:
            self.has_answered = True
            self._record_run(0.0)
            parts = self.task.fields.shared_parts
            self.context.crashing_parts.record_answer(parts, now=self.context.clock())

    def _untrack(self, end):
        if self.is_tracked:
            self.is_tracked = False
            end(self.task.fingerprint, self.label)

    def on_head(self, status, headers):
        if not super().on_head(status, headers):
            return False
        content_type = find_header(headers, b"content-type") or b""
        is_stream = content_type.lower().startswith(EVENT_STREAM)
        if status == OK and is_stream and self.is_trusted:
            self.splitter = EventSplitter(after=self.task.stream.last_event_id)
        elif self.fields.is_signed and self.is_attributable and not self.is_not_run:
            now = self.context.clock()
            self._record_run(min(now - self.started, CALL_SECONDS))
        return True

    def _record_run(self, age):
        """Record that the endpoint began to run the request."""
        self.context.record_run(self.task.fields.workspace, age=age)

    def on_data(self, data):
        if self.splitter is None:
            super().on_data(data)
            return
        try:
            events = self.splitter.feed(data)
        except ValueError as error:
            self.fail(str(error))
            return
        if not self.memory.resize(len(self.splitter.partial)):
            self.fail("event too large beside others")
            return
        # Bytes of an event that is never completed are no progress.
        if events:
            self._record_progress()
            self.record_answer()
            self.task.stream.forward_events(self, events)

    def on_end(self):
        self.record_arrival()
        if self.splitter is None:
            self.task.handle_answer(self)
        elif self.splitter.has_partial_event:
            self._break_off("stream ended in the middle of an event")
        elif not self.task.stream.is_started:
            self._break_off("stream ended before its first event")
        else:
            self.task.stream.finish(self)

    def _break_off(self, reason):
        """Fail the attempt as its stream ended too early.

        The end of a stream without a length or chunks is that of its
        connection, which a crashed engine closes too.
        """
        self.is_broken_off = True
        self.task.handle_failure(self, reason, True)
