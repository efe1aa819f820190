"""Stream to a caller across all endpoints that generate parts of it."""

__all__ = ["StreamRelay"]


class StreamRelay:
    """Forwards complete events and tracks where a stream can resume.

    Parameters
    ----------
    task : ForwardTask

    Attributes
    ----------
    is_started : bool
        Whether the response head has been sent; it is that of the first
        endpoint, also if another one resumes the stream.
    last_event_id : int or None
        Id of the last event forwarded.
    """

    def __init__(self, *, task):
        self.task = task
        self.is_started = False
        self.last_event_id = None

    def forward_events(self, attempt, events):
        """Forward complete events to the caller."""
        self.task.silence.settle(attempt)
        if not self.is_started:
            self._start(attempt)
        if attempt.splitter.last_id is not None:
            self.last_event_id = attempt.splitter.last_id
        self.task.reply.send(events)

    def finish(self, attempt):
        """Forward the end of the stream."""
        if not self.is_started:
            self._start(attempt)
        attempt.record_success()
        self.task.log.decision(
            "answered", "stream", endpoint=attempt.record.endpoint_id
        )
        if self.task.fields.last_event_id is None:
            self.task.dispatcher.admission.record_complete()
        self.task.dispatcher.room.record_output(self.last_event_id)
        self.task.reply.finish()
        self.task.end("answered")

    def _start(self, attempt):
        task, context = self.task, self.task.context
        self.is_started = True
        task.may_have_run = True
        task.dispatcher.choice.software_version = attempt.software_version
        now = context.clock()
        context.streams.record(
            task.fields.resumes or task.fields.request_id,
            task.service.name,
            attempt.software_version,
            now=now,
        )
        attempt.record_first_event()
        task.dispatcher.admission.record_first_event()
        context.metrics.observe(
            "first_event_seconds", now - task.received, service=task.service.name
        )
        task.log.decision(
            "first_event",
            "passed on",
            endpoint=attempt.record.endpoint_id,
            version=attempt.software_version,
        )
        task.reply.start(attempt.status, task.headers_to_caller(attempt))
