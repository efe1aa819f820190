"""Sending of one request's attempts when their endpoints permit it."""

import math

from wagtailfront.forwarding.interfaces import SendOptions

__all__ = ["RequestSender"]


class RequestSender:
    """Sends attempts, and delays those to an endpoint that makes them wait.

    An endpoint does so at its rate limit and while it pauses.

    Parameters
    ----------
    task : ForwardTask
    """

    def __init__(self, *, task):
        self.task = task

    def send(self, attempt_type, record, *, uncached_tokens=0, expected=0.0):
        """Send an attempt when the endpoint's rate limit and pause permit it.

        Returns
        -------
        float
            Seconds until it is sent; infinite if its caller would not wait
            that long, so that it is not sent.
        """
        task = self.task
        limits, notices = task.context.rate_limits, task.context.notices
        wait = task.dispatcher.choice.wait(record)
        if wait and wait > task.dispatcher.admission.max_wait():
            return math.inf
        pause = notices.wait(record.incarnation)
        notices.reserve(record.incarnation)
        limits.reserve(record.incarnation, now=task.context.clock())
        attempt = (attempt_type, record, uncached_tokens, expected)
        if not wait:
            self._launch(*attempt)
        else:
            task.log.decision(
                "paused" if pause == wait else "rate_limited",
                "waits",
                endpoint=record.endpoint_id,
                rate=limits.limit(record.incarnation),
                wait=round(wait, 4),
            )
            task.after(wait, lambda: self._launch_later(*attempt))
        return wait

    def _launch_later(self, attempt_type, record, *prompt):
        if self.task.attempt is not None:
            return  # a silent endpoint has gone on
        if not self.task.dispatcher.choice.is_available(record):
            self.task.dispatcher.dispatch_again()
        elif not self.task.dispatcher.give_up_on_crashing_part():
            self._launch(attempt_type, record, *prompt)

    def _launch(self, attempt_type, record, uncached_tokens, expected):
        task = self.task
        task.sends += 1
        attempt = attempt_type(
            task=task,
            record=record,
            number=task.sends,
            uncached_tokens=uncached_tokens,
            expected=expected,
        )
        task.attempt = attempt
        options = SendOptions(
            endpoint_id=record.endpoint_id,
            time_left=task.deadline - attempt.started,
            priority=self._engine_priority(),
            prefill_only=attempt.is_prefill,
            kv_source=task.dispatcher.kv_source,
            resume_after=task.stream.last_event_id,
            workspace=task.fields.workspace,
        )
        kind = "prefill" if attempt.is_prefill else "run"
        task.context.metrics.count("sends_total", service=task.service.name, kind=kind)
        task.log.decision(
            "sent",
            kind,
            endpoint=record.endpoint_id,
            service=task.service.name,
            version=record.software_version,
            outstanding=attempt.health.outstanding,
            unread=uncached_tokens,
            expected=round(expected, 4),
            attempt=task.sends,
            **task.log.input_ages(),
        )
        attempt.launch(options)
        task.silence.watch(attempt)

    def _engine_priority(self):
        """Return the priority at an engine; None at a plain service."""
        if not self.task.service.is_model:
            return None
        dispatcher = self.task.dispatcher
        prefill = dispatcher.plan.work if dispatcher.kv_source is None else 0.0
        return dispatcher.admission.engine_level(prefill)
