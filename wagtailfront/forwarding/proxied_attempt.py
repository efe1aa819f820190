"""Attempt of a request that a peer sends on, and its outcomes."""

from wagtailfront.forwarding.attempt import RunAttempt, end_to_end_headers
from wagtailfront.forwarding.endpoint_health import EndpointState
from wagtailfront.forwarding.proxy_headers import (
    ProxyInstructions,
    instruction_headers,
    read_answer,
    without_proxy_headers,
)
from wagtailfront.transport.framing import encode_head, find_header, join_small

__all__ = ["ProxiedAttempt", "ProxyDispatch"]

BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
NOT_RUN = (408, 413, 431, UNAVAILABLE)  # statuses of a peer that ran nothing


class ProxiedAttempt(RunAttempt):
    """Run of a request by a peer, in place of this instance.

    The peer chooses the endpoint, and repeats the run if need be. What the
    answers show of endpoints concerns the peer, but for notices: callers get
    those from this instance too.
    """

    is_proxied = True

    def __init__(self, *, task, record, number):
        # Nothing is learned of an endpoint, so its state is not shared.
        self.own_state = EndpointState()
        prompt_tokens = task.fields.prompt_tokens
        super().__init__(
            task=task, record=record, number=number, uncached_tokens=prompt_tokens
        )
        self.answer = None
        self.is_refused = False

    def _find_health(self):
        return self.own_state

    @property
    def software_version(self):
        """Return the version of the endpoint, as the peer says."""
        return self.answer.software_version

    @property
    def may_have_run(self):
        """Return whether an endpoint may have begun to run the request."""
        return not self.is_refused and super().may_have_run

    @property
    def answer_headers(self):
        """Return the headers of the answer that its caller gets."""
        return without_proxy_headers(super().answer_headers)

    @property
    def retry_after(self):
        """Return the Retry-After of the peer in seconds, or None."""
        value = find_header(self.headers, b"retry-after")
        try:
            return None if value is None else max(0.0, float(value))
        except ValueError:
            return None

    def launch(self):
        self.context.proxies.begin(self.record)
        payload, body = self._encode_for_peer()
        self.exchange = self.context.proxies.pool.send(
            self.record, payload, sink=self, body=body
        )

    def drop(self):
        if not self.is_dropped:
            self.context.proxies.end(self.record)
        super().drop()

    def _encode_for_peer(self):
        task, dialect = self.task, self.context.dialect
        request = task.request
        instructions = ProxyInstructions(
            service=task.service.name,
            runs=task.runs,
            software_version=task.dispatcher.choice.software_version,
            workspace=task.fields.workspace,
            caller=task.fields.caller if task.fields.workspace is not None else "",
        )
        headers = [
            *dialect.proxy_headers(
                without_proxy_headers(
                    end_to_end_headers(request.headers, kept=dialect.end_to_end)
                ),
                time_left=task.deadline - self.started,
                resume_after=task.stream.last_event_id,
                workspace=task.fields.workspace,
            ),
            *instruction_headers(instructions),
            (b"Content-Length", b"%d" % len(request.body)),
            (b"Connection", b"close"),
        ]
        first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        return join_small(encode_head(first_line, headers), request.body)

    def _record_head(self, status, fields):
        self.answer = read_answer(self.headers)
        is_own = self.answer.endpoint is None
        is_not_run = self.answer.is_unreached or status in NOT_RUN
        self.is_refused = is_own and is_not_run
        record = self.context.directory.find_incarnation(self.answer.endpoint)
        if record is not None:
            self.context.notices.record_answer(
                record,
                fields.notice,
                status=status,
                sent=self.started,
                request_id=self.task.fields.request_id,
            )

    def _use_credit(self):
        if not self.is_refused:
            super()._use_credit()

    def record_first_event(self):
        self.clear_pending()

    def record_answer(self):
        self.has_answered = True

    def _record_run(self, age):
        """The peer records the run, at the endpoint that it chose."""

    def record_crash(self):
        """The peer records what the endpoint did."""

    def record_success(self):
        """The peer records what the endpoint did."""


class ProxyDispatch:
    """Sends one request through peers and handles their answers.

    Parameters
    ----------
    task : ForwardTask

    Attributes
    ----------
    tried : set of str
        Addresses of peers that did not take the request.
    """

    def __init__(self, *, task):
        self.task = task
        self.tried = set()

    def find(self):
        """Return the record of a peer to send the request to, or None."""
        task, context = self.task, self.task.context
        is_lost = context.reach.is_lost(task.service.name)
        if task.is_proxied or not is_lost:
            return None
        return context.proxies.find(
            task.service.name, without=self.tried, now=context.clock()
        )

    def send(self, record):
        """Send the request to a peer."""
        task = self.task
        if not task.reserve(1):
            retry_after = task.dispatcher.admission.time_until_free()
            task.give_up("the repeat budget is spent", retry_after)
            return
        task.sends += 1
        attempt = ProxiedAttempt(task=task, record=record, number=task.sends)
        task.attempt = attempt
        task.context.metrics.count(
            "sends_total", service=task.service.name, kind="proxied"
        )
        task.log.decision(
            "sent",
            "to a peer",
            endpoint=record.endpoint_id,
            service=task.service.name,
            data_centre=record.data_centre,
            attempt=task.sends,
            **task.log.input_ages(),
        )
        attempt.launch()
        task.silence.watch_beside_held(attempt)

    def handle_answer(self, attempt):
        """Handle a complete response that is not a stream."""
        task = self.task
        answer = attempt.answer
        if answer.endpoint is not None:
            self._forward(attempt)
        elif answer.is_unreached:
            self._try_another(attempt, f"the peer answered {attempt.status}")
        elif attempt.is_refused:
            task.give_up("refused by the peer", attempt.retry_after)
        elif attempt.status in (BAD_GATEWAY, GATEWAY_TIMEOUT):
            task.may_have_run = True
            task.give_up("failed at the peer", None, attempt.status)
        else:
            self.handle_failure(attempt, "an answer of no endpoint", True)

    def _forward(self, attempt):
        """Pass an endpoint's answer on to the caller."""
        task = self.task
        is_success = attempt.status < 300
        if task.stream.is_started or is_success and not attempt.is_trusted:
            self.handle_failure(attempt, "not an answer to this request", True)
            return
        task.log.decision(
            "answered", str(attempt.status), endpoint=attempt.answer.endpoint
        )
        task.reply.answer(attempt.status, attempt.answer_headers, attempt.body)
        task.end("answered")

    def handle_failure(self, attempt, reason, sent):
        """Go on after a peer that gave no usable answer."""
        task = self.task
        if task.is_done or task.attempt is not attempt:
            return
        if not sent:
            self._try_another(attempt, reason)
            return
        now = task.context.clock()
        task.context.proxies.record_failure(attempt.record, now=now)
        self.tried.add(attempt.record.address)
        task.log.decision(
            "attempt_failed", reason, endpoint=attempt.record.endpoint_id, sent=True
        )
        task.may_have_run = True
        if attempt.answer is not None:
            # The peer resumes a stream itself as often as the route allows.
            task.runs = task.route.max_attempts
        if task.may_repeat() and task.reserve(1):
            task.repeat_elsewhere(attempt)
        else:
            task.give_up(reason, None)

    def _try_another(self, attempt, reason):
        """Send the request elsewhere after a peer that did not send it."""
        task = self.task
        task.context.proxies.record_failure(attempt.record, now=task.context.clock())
        self.tried.add(attempt.record.address)
        task.log.decision(
            "attempt_failed", reason, endpoint=attempt.record.endpoint_id, sent=False
        )
        task.drop_attempt()
        task.dispatcher.dispatch()
