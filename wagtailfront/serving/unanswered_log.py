"""Log of requests whose connection ended before their answer."""

__all__ = ["UnansweredLog"]


class UnansweredLog:
    """Logs and counts whole requests that got no complete answer.

    Parameters
    ----------
    application : Application
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, application, clock):
        self.application = application
        self.context = application.context
        self.clock = clock

    def record(self, received, *, reason, state):
        """Record a request that was read and gets no complete answer.

        Parameters
        ----------
        received : ReceivedRequest
        reason : str
            Why the connection ended, from a closed set.
        state : str
            How far the request had come, from a closed set.
        """
        now = self.clock()
        self.context.metrics.count("unanswered_requests_total", reason=reason)
        self.context.log.decision(
            "unanswered",
            request=self.application.request_id(received.request),
            outcome=reason,
            state=state,
            age=round(now - received.read_at, 4),
            **self.application.log_fields(now),
        )

    def record_bytes(self, size, *, reason):
        """Record bytes on a closing connection that were not parsed."""
        self.context.log.decision("unserved", outcome=reason, size=size)
