"""Detection of endpoints that send no response for a while."""

from wagtailfront.forwarding.placement import DECODE_ENGINE_PREFILL_RATE
from wagtailfront.forwarding.routes import RequestKind
from wagtailfront.transport.late_timers import call_after_reads

__all__ = ["SilenceWatch"]

# Seconds for which a sound endpoint may send nothing and then go on.
SOUND_SILENCE = 1.5
# Seconds without a byte from an engine on any connection until another one is
# tried. With HANDOVER_SECONDS it exceeds SOUND_SILENCE, so that the first
# engine need not be sound any more when its run has to end.
ENGINE_SILENCE = 1.2
# Multiple of the expected prefill time that is allowed for queueing.
QUEUE_FACTOR = 2.0
MIN_RECHECK_DELAY = 0.02  # seconds; avoids checks in quick succession
# Seconds beyond its prefill for which a second engine may work on a stream
# beside the first one.
HANDOVER_SECONDS = 0.35


class SilenceWatch:
    """Tries other endpoints while the one of an attempt is silent.

    Parameters
    ----------
    task : ForwardTask

    Attributes
    ----------
    held : RunAttempt or None
        Attempt at a silent endpoint that stays open while others are tried.
        The first of them that makes progress ends the other.

    Notes
    -----
    An engine counts as silent only if this instance received nothing from
    it on any connection, since a single request may just be queued. It may
    be sound and go on, so its run ends only once another one has sent an
    event. If that takes too long, one of the two runs of a stream ends: that
    at the silent engine only if no sound one is silent for so long.
    """

    def __init__(self, *, task):
        self.task = task
        self.held = None

    def watch(self, attempt):
        """Try other endpoints when that of an attempt is silent too long."""
        if self.task.service.is_model:
            timeout = ENGINE_SILENCE + QUEUE_FACTOR * attempt.expected
        else:
            timeout = self.task.dispatcher.admission.answer_timeout()
        self._check_after(timeout, attempt, timeout)
        self.watch_beside_held(attempt)

    def watch_beside_held(self, attempt):
        """Limit how long a stream runs beside a held attempt."""
        is_stream = self.task.route.kind is RequestKind.STREAMING
        if is_stream and self.held is not None:
            self._limit_handover(attempt)

    def _check_after(self, delay, attempt, timeout):
        self._after(delay, lambda: self._check(attempt, timeout))

    def _after(self, delay, callback):
        call_after_reads(
            self.task.after,
            clock=self.task.context.clock,
            delay=delay,
            callback=callback,
        )

    def _check(self, attempt, timeout):
        task = self.task
        if task.is_done or task.attempt is not attempt:
            return
        now = task.context.clock()
        last_response_at = self._last_response_at(attempt)
        if now - last_response_at < timeout:
            remaining = max(MIN_RECHECK_DELAY, last_response_at + timeout - now)
            self._check_after(remaining, attempt, timeout)
            return
        task.context.reach.handle_silence(attempt.record)
        if attempt.is_prefill and not task.may_prefill_again(attempt):
            self._check_after(timeout, attempt, timeout)
        elif attempt.is_prefill or (task.may_repeat() and not attempt.may_have_run):
            attempt.fail("silent")
        else:
            self._handle_silence(attempt, timeout)

    def _handle_silence(self, attempt, timeout):
        task = self.task
        if not attempt.is_silent:
            attempt.is_silent = True
            now = task.context.clock()
            task.context.health.record_failure(attempt.record, now=now)
        if attempt.may_have_run:
            attempt.record_arrival()
        # A third open run could go on beside the other two.
        is_replaced = self.held is None and task.may_try_besides(attempt)
        task.log.decision(
            "silent",
            "another endpoint is tried" if is_replaced else "it is waited for",
            endpoint=attempt.record.endpoint_id,
        )
        if is_replaced:
            self.held = attempt
            task.dispatch_besides(attempt)
        else:
            self._check_after(timeout, attempt, timeout)

    def _limit_handover(self, attempt):
        """End one of two attempts unless one of them soon makes progress."""
        if self.task.attempt is not attempt or self.held is None:
            return
        if not attempt.may_have_run:
            # Its endpoint is still being connected to.
            self._after(MIN_RECHECK_DELAY, lambda: self._limit_handover(attempt))
            return
        # Without the queue: the engine may have none, and be at work at once.
        prefill = attempt.uncached_tokens / DECODE_ENGINE_PREFILL_RATE
        self._after(HANDOVER_SECONDS + prefill, lambda: self._end_handover(attempt))

    def _end_handover(self, attempt):
        if self.task.attempt is not attempt or self.held is None:
            return
        silence = self.task.context.clock() - self._last_response_at(self.held)
        if silence >= SOUND_SILENCE:
            self.release("it is silent for longer than a sound one")
        else:
            self.resume("the other endpoint has sent no event in time")

    def _last_response_at(self, attempt):
        if not self.task.service.is_model:
            return attempt.last_progress_at
        return max(attempt.last_progress_at, attempt.health.last_response_at)

    def settle(self, attempt):
        """End the other open attempt, as `attempt` has made progress."""
        if self.held is None:
            return
        if attempt is self.held:
            self.resume("it has gone on")
        else:
            self.release("another endpoint has gone on")

    def resume(self, reason):
        """Return whether the held attempt is the task's current one again.

        The attempt that was to replace it is dropped.
        """
        attempt, self.held = self.held, None
        if attempt is None:
            return False
        self.task.log.decision(
            "silent", "resumed", endpoint=attempt.record.endpoint_id, reason=reason
        )
        self.task.replace_attempt(attempt)
        self.watch(attempt)
        return True

    def release(self, reason, *, is_refused=False):
        """Drop the held attempt if there is one.

        Parameters
        ----------
        reason : str
            For the log.
        is_refused : bool, optional
            Whether its endpoint has stated that it did not run the request.
        """
        attempt, self.held = self.held, None
        if attempt is not None:
            self.task.may_have_run |= not is_refused
            self.task.log.decision(
                "silent", "ended", endpoint=attempt.record.endpoint_id, reason=reason
            )
            attempt.drop()
