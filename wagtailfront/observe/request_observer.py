"""Record of finished requests for metrics and the burn report."""

from collections import deque
from typing import NamedTuple

from wagtailfront.outcome import Verdict

__all__ = ["FinishedRequest", "RequestObserver"]

RETENTION_SECONDS = 3600.0  # the longest window of a burn report


class FinishedRequest(NamedTuple):
    """One finished request; times in seconds.

    `token_gap` is the mean time between tokens, or None for fewer than two.
    """

    ended: float
    service: str
    request_class: str
    first_token: float | None
    token_gap: float | None
    verdict: Verdict
    answered: bool


class RequestObserver:
    """Counts finished requests and keeps those of the last hour.

    Parameters
    ----------
    metrics : Metrics
    service_of : callable
        Maps a request's task to the name of its service, or to "unknown".
    """

    def __init__(self, *, metrics, service_of):
        self.metrics = metrics
        self.service_of = service_of
        self.recent = deque()
        self.in_progress = 0

    def request_started(self, task, now):
        """Record the start of an accepted request at time `now`."""
        task.started = now
        self._change_in_progress(1)

    def request_finished(self, task, verdict, now):
        """Record the end of a request at time `now`."""
        self._change_in_progress(-1)
        finished = self._describe(task, verdict, now)
        self.metrics.count(
            "requests_total", service=finished.service, verdict=verdict.value
        )
        self._count_attempts_and_tokens(task, finished)
        if finished.first_token is not None:
            self.metrics.observe(
                "first_token_seconds", finished.first_token, service=finished.service
            )
        if finished.token_gap is not None:
            self.metrics.observe(
                "token_gap_seconds", finished.token_gap, service=finished.service
            )
        self.recent.append(finished)
        while now - self.recent[0].ended > RETENTION_SECONDS:
            self.recent.popleft()

    def _count_attempts_and_tokens(self, task, finished):
        service = finished.service
        if task.refusal_code:
            self.metrics.count(
                "refusals_total", service=service, code=task.refusal_code
            )
        answered = int(finished.answered)
        failed = max(0, task.attempts - answered)
        results = (("ok", answered), ("failed", failed))
        for result, amount in results:
            if amount:
                self.metrics.count(
                    "attempts_total", amount, service=service, result=result
                )
        if task.tokens:
            self.metrics.count("tokens_total", task.tokens, service=service)

    def _change_in_progress(self, amount):
        self.in_progress += amount
        self.metrics.set("requests_in_progress", self.in_progress)

    def _describe(self, task, verdict, now):
        tokens = task.tokens
        first = None if task.first_token_at is None else task.first_token_at
        gap = None
        if first is not None and tokens > 1:
            gap = (now - first) / (tokens - 1)
        return FinishedRequest(
            ended=now,
            service=self.service_of(task),
            request_class=task.request_class,
            first_token=None if first is None else first - task.started,
            token_gap=gap,
            verdict=verdict,
            answered=task.answered,
        )
