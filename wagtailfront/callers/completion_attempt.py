"""One attempt at a completion request on one engine."""

import logging

from wagtailfront.endpoints.chunk_check import ChunkCheck
from wagtailfront.endpoints.engine_protocol import encode_completion, engine_path
from wagtailfront.exception import ProtocolError
from wagtailfront.transport.http_exchange import split_address

__all__ = ["CompletionAttempt"]

logger = logging.getLogger(__name__)

# Seconds without progress after which the request resumes on another engine,
# even if the engine's other connections are silent too.
FIRST_TOKEN_TIMEOUT = 10.0
TOKEN_TIMEOUT = 3.0
# The first token may also take this multiple of the expected total time.
FIRST_TOKEN_FACTOR = 6.0
# Expected gaps for the detection of silent connections, in seconds. Prefill of
# another request's long prompt delays a token by up to about 0.1 s.
MIN_FIRST_GAP = 1.0
TOKEN_GAP = 0.15
REJECTION_STATUSES = (409, 429, 503)


class CompletionAttempt:
    """Receives an engine's response and checks each chunk.

    Parameters
    ----------
    task : CompletionTask
    choice : Choice
    number : int
        Counts from 1.
    now : float
    """

    def __init__(self, *, task, choice, number, now):
        self.task = task
        self.choice = choice
        self.engine = choice.engine
        self.number = number
        self.id = task.current_attempt_id()
        self.check = ChunkCheck(
            request_id=task.request_id, attempt=number, next_token=task.tokens
        )
        self.exchange = None
        self.start_id = ""
        self.has_token = False
        self.last_progress = now
        self.finish_reason = None
        self.ended = False

    @property
    def services(self):
        return self.task.services

    def send(self, timeout):
        """Send the request; `timeout` is in seconds."""
        request = self.task.request._replace(priority=self.choice.priority)
        headers, body = encode_completion(
            request,
            request_id=self.task.request_id,
            attempt=self.number,
            resume_from=self.task.tokens,
        )
        self.services.guard.attempt_sent(
            self.id,
            fingerprint=self.task.fingerprint,
            engine=self.engine,
            gap=max(MIN_FIRST_GAP, self.choice.expected),
            now=self.last_progress,
        )
        host, port = split_address(self.engine.address)
        self.exchange = self.services.pool.request(
            host=host,
            port=port,
            method="POST",
            path=engine_path(request),
            headers=headers,
            body=body,
            sink=self,
            timeout=timeout,
        )

    def on_head(self, status, headers):
        """Check the engine's status and the model that it serves."""
        if self.ended:
            return
        self.start_id = headers.get("X-Start-Id", "")
        if status in REJECTION_STATUSES:
            self.abandon(f"{self.engine.name} refused the request")
        elif status != 200:
            self.abandon(f"{self.engine.name} answered {status}")
        elif not self._serves_model(headers):
            self.abandon(f"{self.engine.name} serves another version")
        else:
            self.task.may_have_run = True

    def _serves_model(self, headers):
        running = self.choice.running
        model = headers.get("X-Model", running.model)
        version = headers.get("X-Model-Version", running.version)
        return (model, version) == (running.model, running.version)

    def on_data(self, data):
        """Pass on the new tokens in `data`."""
        if self.ended:
            return
        try:
            chunks = self.check.feed(data)
        except ProtocolError as error:
            logger.warning("[request] %s: %s.", self.id, error)
            self.abandon(str(error))
            return
        if chunks:
            self._handle_chunks(chunks)

    def _handle_chunks(self, chunks):
        now = self.last_progress = self.services.clock()
        self.services.guard.attempt_progressed(self.id, gap=TOKEN_GAP, now=now)
        if not self.has_token:
            self.has_token = True
            self.services.scheduler.handle_first_token(self.task.request_id, now)
        self.finish_reason = chunks[-1].choices[0].finish_reason
        self.task.received(
            "".join(map(_text_of, chunks)),
            sum(chunk.tokens for chunk in chunks),
            self.finish_reason,
        )

    def on_end(self):
        """Finish the answer if the stream is complete, else resume it."""
        if self.ended:
            return
        if self.check.done and self.finish_reason is not None:
            self.ended = True
            self.task.completed()
        else:
            self.abandon("the engine's stream ended early")

    def on_failure(self, reason, sent):
        """Find out whether the engine crashed, then resume elsewhere."""
        if self.ended:
            return
        self.ended = True
        self.task.may_have_run = self.task.may_have_run or sent
        text = f"{self.engine.name}: {reason}"
        if not sent:
            self.services.guard.attempt_cancelled(self.id)
            self.task.attempt_failed(text)
            return
        self.services.guard.attempt_lost(
            self.id,
            start_id=self.start_id,
            on_recorded=lambda: self._after_loss(text),
        )

    def _after_loss(self, reason):
        if self.task.attempt is self and not self.task.done:
            self.task.attempt_failed(reason)

    def abandon(self, reason):
        """Cancel the attempt and resume; this is no evidence of a crash."""
        if not self.ended:
            self.cancel()
            self.task.attempt_failed(reason)

    def cancel(self):
        """Cancel the attempt and drop its connection."""
        if self.ended:
            return
        self.ended = True
        self.exchange.cancel()
        self.services.guard.attempt_cancelled(self.id)

    def check_progress(self, now):
        """Abandon the attempt if its engine has made no progress."""
        limit = TOKEN_TIMEOUT
        if not self.has_token:
            limit = max(FIRST_TOKEN_TIMEOUT, FIRST_TOKEN_FACTOR * self.choice.expected)
        if now - self.last_progress > limit:
            self.abandon(f"{self.engine.name} made no progress")


def _text_of(chunk):
    choice = chunk.choices[0]
    if choice.delta is not None:
        return choice.delta.get("content") or ""
    return choice.text or ""
