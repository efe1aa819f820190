"""Detection of endpoints that send no response."""

__all__ = ["SilenceWatch"]

# An idempotent call without a response is repeated after this many target
# latencies, and at the earliest after MIN_TIMEOUT, to tolerate short stalls.
TIMEOUT_TARGETS = 2.0
MIN_TIMEOUT = 0.25  # seconds
# Seconds without a byte from an engine on any connection. A batch step full
# of prefill chunks takes a tenth of this.
ENGINE_SILENCE = 0.9
# Multiple of the expected prefill time that is allowed for queueing.
QUEUE_FACTOR = 2.0
MIN_RECHECK_DELAY = 0.02  # seconds; avoids checks in quick succession


class SilenceWatch:
    """Ends attempts at silent endpoints if the request may be retried.

    Parameters
    ----------
    task : ForwardTask

    Notes
    -----
    An engine counts as silent only if this instance received nothing from
    it on any connection, since a single request may just be queued.
    """

    def __init__(self, *, task):
        self.task = task

    def watch(self, attempt):
        """End the attempt when its endpoint is silent for too long."""
        if self.task.service.is_model:
            timeout = ENGINE_SILENCE + QUEUE_FACTOR * attempt.expected
        else:
            targets = TIMEOUT_TARGETS * self.task.route.target_latency
            timeout = max(MIN_TIMEOUT, targets)
        self._check_after(timeout, attempt, timeout)

    def _check_after(self, delay, attempt, timeout):
        self.task.after(delay, lambda: self._check(attempt, timeout))

    def _check(self, attempt, timeout):
        task = self.task
        if task.is_done or task.attempt is not attempt:
            return
        now = task.context.clock()
        last_response_at = attempt.started
        if task.service.is_model:
            last_response_at = max(last_response_at, attempt.health.last_response_at)
        if now - last_response_at < timeout:
            remaining = max(MIN_RECHECK_DELAY, last_response_at + timeout - now)
            self._check_after(remaining, attempt, timeout)
        elif attempt.is_prefill or task.may_repeat():
            attempt.fail("silent")
        else:
            endpoint = attempt.record.endpoint_id
            task.context.health.record_failure(attempt.record, now=now)
            task.log.decision("silent", "not repeatable", endpoint=endpoint)
