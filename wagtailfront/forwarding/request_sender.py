"""Sending of one request's attempts, within the rate limits of endpoints."""

import math

from wagtailfront.forwarding.interfaces import SendOptions

__all__ = ["MIN_TIME_LEFT", "RequestSender"]

MIN_TIME_LEFT = 0.02  # seconds below which no endpoint can answer in time
PREFILLED_PRIORITY = 0


class RequestSender:
    """Sends attempts, and delays those to an endpoint at its rate limit.

    Parameters
    ----------
    task : ForwardTask
    """

    def __init__(self, *, task):
        self.task = task

    def send(self, attempt_type, record, *, uncached_tokens=0, expected=0.0):
        """Send an attempt when the endpoint's rate limit permits it.

        Returns
        -------
        float
            Seconds until it is sent; infinite if its caller would not wait
            that long, so that it is not sent.
        """
        task = self.task
        now, limits = task.context.clock(), task.context.rate_limits
        wait = limits.wait(record.incarnation, now=now)
        if wait and wait > self._max_wait(now):
            return math.inf
        limits.reserve(record.incarnation, now=now)
        attempt = (attempt_type, record, uncached_tokens, expected)
        if not wait:
            self._launch(*attempt)
        else:
            task.log.decision(
                "rate_limited",
                "waits",
                endpoint=record.endpoint_id,
                rate=limits.limit(record.incarnation),
                wait=round(wait, 4),
            )
            task.after(wait, lambda: self._launch_later(*attempt))
        return wait

    def _max_wait(self, now):
        """Return the seconds for which the caller may have to wait."""
        route = self.task.route
        is_model = self.task.service.is_model
        longest = route.max_first_event_wait if is_model else route.target_latency
        return min(longest, self.task.deadline - now - MIN_TIME_LEFT)

    def _launch_later(self, attempt_type, record, *prompt):
        if not self.task.choice.is_available(record):
            self.task.dispatch_again()
        elif not self.task.give_up_on_crashing_part():
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
            priority=self._engine_priority() if task.service.is_model else None,
            prefill_only=attempt.is_prefill,
            kv_source=task.kv_source,
            resume_after=task.stream.last_event_id,
        )
        kind = "prefill" if attempt.is_prefill else "run"
        task.context.metrics.count("sends_total", service=task.service.name, kind=kind)
        task.log.decision(
            "sent",
            kind,
            endpoint=record.endpoint_id,
            service=task.service.name,
            outstanding=attempt.health.outstanding,
            unread=uncached_tokens,
            expected=round(expected, 4),
            attempt=task.sends,
            **task.log.input_ages(),
        )
        attempt.launch(options)
        task.silence.watch(attempt)

    def _engine_priority(self):
        """Return the priority at an engine, 0 for the most urgent.

        A prompt prefilled elsewhere needs only a batch slot, so it does not
        queue behind prompts that still have to be prefilled.
        """
        task = self.task
        return PREFILLED_PRIORITY if task.kv_source else task.route.priority + 1
