"""Notice of endpoints that say nothing about a request."""

__all__ = ["SilenceWatch"]

# An idempotent call with no answer after this many target latencies is
# repeated, but not before the time in seconds, which covers a slow moment.
PATIENCE_TARGETS = 2.0
MIN_PATIENCE = 0.25
# Seconds without a byte from an engine on any connection; a step with full
# chunks of a long prompt takes a tenth of it.
ENGINE_SILENCE = 0.9
# An engine's queue may take this many times the expected time.
QUEUE_PATIENCE = 2.0
RECHECK = 0.02  # seconds; a look that comes early is not repeated at once


class SilenceWatch:
    """Ends attempts at silent endpoints where the request may go on.

    Parameters
    ----------
    task : ForwardTask

    Notes
    -----
    An engine counts as silent only if this instance heard nothing from it on
    any connection, since a long queue keeps a single request waiting too.
    """

    def __init__(self, *, task):
        self.task = task

    def watch(self, attempt):
        """Look at an attempt when it should have been heard of."""
        if self.task.service.is_model:
            patience = ENGINE_SILENCE + QUEUE_PATIENCE * attempt.expected
        else:
            targets = PATIENCE_TARGETS * self.task.route.target_latency
            patience = max(MIN_PATIENCE, targets)
        self._look_after(patience, attempt, patience)

    def _look_after(self, delay, attempt, patience):
        self.task.after(delay, lambda: self._look(attempt, patience))

    def _look(self, attempt, patience):
        task = self.task
        if task.is_done or task.attempt is not attempt:
            return
        now = task.context.clock()
        heard = attempt.started
        if task.service.is_model:
            heard = max(heard, attempt.health.last_response_at)
        if now - heard < patience:
            remaining = max(RECHECK, heard + patience - now)
            self._look_after(remaining, attempt, patience)
        elif attempt.is_prefill or task.may_repeat():
            attempt.exchange.cancel()
            task.take_failure(attempt, "silent", attempt.exchange.is_sent)
        else:
            endpoint = attempt.record.endpoint_id
            task.context.health.record_failure(attempt.record, now=now)
            task.note("silent", "not repeatable", endpoint=endpoint)
