"""Callers that ended their sending side before their answer was complete."""

from wagtailfront.transport.http_listener import CLOSED_BY_PEER, RESET_BY_PEER
from wagtailfront.transport.late_timers import call_after_reads

__all__ = ["HalfClosedCallers"]

CHECK_INTERVAL = 0.1  # seconds
# Seconds without a write until a caller counts as gone. Endpoints must not
# work on for callers that have closed their connection.
PATIENCE = 0.2


class HalfClosedCallers:
    """Tells callers that still read from those that have left.

    Parameters
    ----------
    listener : HttpListener
    timers : Timers
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    Either caller sends FIN. One that has closed its connection resets it
    when bytes arrive, so a write that is not followed by a reset shows that
    the caller reads. Until there is something to write the two look alike.
    """

    def __init__(self, *, listener, timers, clock):
        self.listener = listener
        self.timers = timers
        self.clock = clock

    def keep(self, connection):
        """Keep a connection open for as long as its caller may read."""
        if not connection.has_ended_sending:
            connection.has_ended_sending = True
            connection.written_at = self.clock()
            self.listener.pause_reading(connection.sock)
            self._check_later(connection)

    def _check_later(self, connection):
        call_after_reads(
            self.timers.after,
            clock=self.clock,
            delay=CHECK_INTERVAL,
            callback=lambda: self._check(connection),
        )

    def _check(self, connection):
        sock = connection.sock
        # Bytes that wait to be sent would have reset a closed connection.
        is_reading = self.listener.queued.get(sock, 0) > 0
        if sock not in self.listener.clients:
            return
        if self.listener.is_reset(sock):
            self.listener.reset(sock, RESET_BY_PEER)
        elif is_reading or self._goes_on(connection.task):
            self._check_later(connection)
        elif connection.has_request:
            self._end_if_gone(connection)

    def _goes_on(self, task):
        return task is not None and task.outlasts_caller

    def _end_if_gone(self, connection):
        if self.clock() - connection.written_at >= PATIENCE:
            self.listener.reset(connection.sock, CLOSED_BY_PEER)
        else:
            self._check_later(connection)
