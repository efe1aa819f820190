"""How long callers may take."""

from wagtailfront.serving.caller_limits import widest

__all__ = ["CallerTimeouts"]

MAX_UNREAD_SECONDS = 30.0  # for which a caller may read nothing of an answer


class CallerTimeouts:
    """Tells which connections of a server take too long.

    Parameters
    ----------
    listener : HttpListener
    limits : LimitsInForce
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, listener, limits, clock):
        self.listener = listener
        self.limits = limits
        self.clock = clock

    def is_overdue(self, connection):
        """Return whether a connection has been without bytes for too long."""
        if connection.has_request or connection.is_closing:
            return False
        now = self.clock()
        has_bytes = connection.sock in self.listener.turns.waiting
        if has_bytes or self.is_reading_answer(connection):
            connection.last_activity = now
            return False
        limits = widest(self.limits.at(now), connection.limits)
        is_idle = connection.reader.is_between_requests
        limit = limits.idle_timeout if is_idle else limits.head_timeout
        return now - connection.last_activity > limit

    def is_too_long(self, connection):
        """Return whether a caller has sent at one request for too long."""
        if connection.begun_at is None or connection.is_closing:
            return False
        if connection.has_request or self.is_reading_answer(connection):
            return False
        limits = widest(self.limits.at(self.clock()), connection.limits)
        return self.clock() - connection.begun_at > limits.request_timeout

    def is_stalled(self, connection):
        """Return whether a caller has read nothing of its answer for long."""
        now, queued = self.clock(), self.listener.queued.get(connection.sock, 0)
        if queued != connection.queued:
            connection.queued, connection.queued_at = queued, now
        return queued > 0 and now - connection.queued_at > MAX_UNREAD_SECONDS

    def is_reading_answer(self, connection):
        """Return whether a part of an answer waits until the caller reads."""
        return self.listener.queued.get(connection.sock, 0) > 0
