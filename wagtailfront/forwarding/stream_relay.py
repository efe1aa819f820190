"""The caller's side of a stream, over all endpoints that feed it."""

from wagtailfront.forwarding.attempt import end_to_end

__all__ = ["StreamRelay"]


class StreamRelay:
    """Passes whole events on and knows where a stream could go on.

    Parameters
    ----------
    task : ForwardTask

    Attributes
    ----------
    is_started : bool
        Whether the caller has got the head, which stays that of the first
        endpoint.
    last_event_id : int or None
        Id of the last event that was passed on.
    """

    def __init__(self, *, task):
        self.task = task
        self.is_started = False
        self.last_event_id = None

    def pass_events(self, attempt, events):
        """Pass whole events on to the caller."""
        if not self.is_started:
            self._start(attempt)
        if attempt.splitter.last_id is not None:
            self.last_event_id = attempt.splitter.last_id
        self.task.reply.send(events)

    def finish(self, attempt):
        """Pass on the end of the stream."""
        if not self.is_started:
            self._start(attempt)
        attempt.note_success()
        self.task.note("answered", "stream", endpoint=attempt.record.endpoint_id)
        self.task.reply.finish()
        self.task.end("answered")

    def _start(self, attempt):
        task, context = self.task, self.task.context
        self.is_started = True
        task.may_have_run = True
        now = context.clock()
        if attempt.uncached_tokens:
            took = now - attempt.started
            attempt.health.record_prefill_time(expected=attempt.expected, took=took)
        attempt.settle_pending()
        context.health.record_success(attempt.record, now=now)
        context.metrics.observe(
            "first_event_seconds", now - task.received, service=task.service.name
        )
        task.note("first_event", "passed on", endpoint=attempt.record.endpoint_id)
        task.reply.start(attempt.status, end_to_end(attempt.headers))
