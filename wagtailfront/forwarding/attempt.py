"""One request at one endpoint, and what its response means."""

from wagtailfront.forwarding.event_splitter import EventSplitter
from wagtailfront.forwarding.framing import HOP_BY_HOP, encode_head, find_header

__all__ = ["PrefillAttempt", "RunAttempt", "end_to_end"]

MAX_BODY = 16 * 1024 * 1024  # bytes of an answer that is kept whole
MISDIRECTED = 421
EVENT_STREAM = b"text/event-stream"
BODILESS_METHODS = (b"GET", b"HEAD")


def end_to_end(headers):
    """Return the headers that concern more than one connection."""
    return [header for header in headers if header[0].lower() not in HOP_BY_HOP]


class _Attempt:
    """Common part of the attempts; receives the endpoint's response.

    Parameters
    ----------
    task : ForwardTask
    record : EndpointRecord
    number : int
        Number of the attempt within its request, from 1.
    uncached_tokens : int, optional
        Prompt tokens that the endpoint has to read.
    expected : float, optional
        Seconds until it has read them.
    """

    is_prefill = False

    def __init__(self, *, task, record, number, uncached_tokens=0, expected=0.0):
        self.task = task
        self.uncached_tokens = uncached_tokens
        self.expected = expected
        self.context = task.context
        self.record = record
        # Unique, so that a crash is blamed on this request alone.
        self.label = f"{record.endpoint_id}/{task.fields.request_id}#{number}"
        self.started = self.context.clock()
        self.exchange = None
        self.is_dropped = False
        self.status = 0
        self.headers = []
        self.fields = None
        self.chunks = []
        self.size = 0

    @property
    def health(self):
        """Return the observations of the attempt's endpoint."""
        return self.context.health.state(self.record.incarnation)

    @property
    def body(self):
        """Return what came of the body so far."""
        return b"".join(self.chunks)

    @property
    def is_not_run(self):
        """Return whether the endpoint said that it did not run the request."""
        return self.fields.is_not_run or self.status == MISDIRECTED

    def launch(self, options):
        """Send the request with `options`, a SendOptions."""
        self.health.outstanding += 1
        self.health.add_pending(self.task.route.priority, self.uncached_tokens)
        payload = self._encode(options)
        self.exchange = self.context.pool.send(self.record, payload, sink=self)

    def drop(self):
        """Give the attempt up; closes its connection if in use."""
        if not self.is_dropped:
            self.is_dropped = True
            self.exchange.cancel()
            self.health.outstanding -= 1
            self.settle_pending()

    def settle_pending(self):
        """Note that the prompt no longer waits at the endpoint."""
        self.health.add_pending(self.task.route.priority, -self.uncached_tokens)
        self.uncached_tokens = 0

    def _encode(self, options):
        request = self.task.request
        headers = self.context.dialect.endpoint_headers(
            end_to_end(request.headers), options
        )
        if request.body or request.method not in BODILESS_METHODS:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        return encode_head(first_line, headers) + request.body

    # ExchangeSink

    def on_head(self, status, headers):
        fields = self.context.dialect.read_response(status, headers)
        own_id = self.task.fields.request_id
        if fields.request_id is not None and fields.request_id != own_id:
            self.task.note_foreign_response(self, fields.request_id)
            return False
        self.status, self.headers, self.fields = status, headers, fields
        self._note_progress()
        return True

    def on_data(self, data):
        self.size += len(data)
        self.chunks.append(data)
        if self.size > MAX_BODY:
            self.fail("answer too large")

    def on_failure(self, reason, sent):
        self.task.take_failure(self, reason, sent)

    def fail(self, reason):
        """Report a fault of the response that the connection does not show."""
        self.exchange.cancel()
        self.task.take_failure(self, reason, True)

    def _note_progress(self):
        self.health.last_response_at = self.context.clock()


class PrefillAttempt(_Attempt):
    """Reading of a prompt without running the request."""

    is_prefill = True

    def on_end(self):
        self.task.take_prefill(self)


class RunAttempt(_Attempt):
    """Run of a request; passes events on as they arrive."""

    def __init__(self, **options):
        super().__init__(**options)
        self.splitter = None
        self.is_tracked = False

    @property
    def is_trusted(self):
        """Return whether a success is this request's own, unaltered answer."""
        return (
            self.fields.is_signed
            and not self.fields.is_encoded
            and self.fields.request_id is not None
        )

    def launch(self, options):
        self.is_tracked = True
        self.context.evidence.start(self.task.fingerprint, self.label)
        super().launch(options)

    def drop(self):
        self._untrack(self.context.evidence.cancel)
        super().drop()

    def note_success(self):
        """Clear what is known against the request."""
        self._untrack(self.context.evidence.complete)

    def note_crash(self):
        """Note that the endpoint fell silent or broke off without a head."""
        self.is_tracked = False
        crash = self.record.incarnation
        self.context.evidence.crash(self.label, crash, now=self.context.clock())

    def _untrack(self, end):
        if self.is_tracked:
            self.is_tracked = False
            end(self.task.fingerprint, self.label)

    def on_head(self, status, headers):
        if not super().on_head(status, headers):
            return False
        content_type = find_header(headers, b"content-type") or b""
        is_stream = content_type.lower().startswith(EVENT_STREAM)
        if status == 200 and is_stream and self.is_trusted:
            self.splitter = EventSplitter()
        return True

    def on_data(self, data):
        if self.splitter is None:
            super().on_data(data)
            return
        try:
            events = self.splitter.feed(data)
        except ValueError as error:
            self.fail(str(error))
            return
        self._note_progress()
        if events:
            self.task.stream.pass_events(self, events)

    def on_end(self):
        if self.splitter is None:
            self.task.take_answer(self)
        elif self.splitter.has_rest:
            self.fail("stream ended within an event")
        else:
            self.task.stream.finish(self)
