"""Callers that ended their sending side before their answer was complete."""

from wagtailfront.transport.http_listener import CLOSED_BY_PEER, RESET_BY_PEER

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
        self.timers.after(CHECK_INTERVAL, lambda: self._check(connection))

    def _check(self, connection):
        if connection.sock not in self.listener.clients or not connection.has_request:
            return
        if self.listener.is_reset(connection.sock):
            self.listener.reset(connection.sock, RESET_BY_PEER)
        elif self._is_gone(connection):
            self.listener.reset(connection.sock, CLOSED_BY_PEER)
        else:
            self._check_later(connection)

    def _is_gone(self, connection):
        # Bytes that wait to be sent would have reset a closed connection.
        is_reading = self.listener.queued.get(connection.sock, 0) > 0
        return not is_reading and self.clock() - connection.written_at >= PATIENCE
