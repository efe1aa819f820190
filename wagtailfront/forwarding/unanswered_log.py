"""Log of requests whose connection ended before their answer."""

__all__ = ["UnansweredLog"]


class UnansweredLog:
    """Logs and counts whole requests that got no complete answer.

    Parameters
    ----------
    forwarder : Forwarder
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, forwarder, clock):
        self.forwarder = forwarder
        self.context = forwarder.context
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
        config, applied_at = self.forwarder.config, self.forwarder.config_applied_at
        self.context.metrics.count("unanswered_requests_total", reason=reason)
        self.context.log.decision(
            "unanswered",
            request=self._request_id(received.request),
            outcome=reason,
            state=state,
            age=round(now - received.read_at, 4),
            config=None if config is None else config.version,
            config_age=None if applied_at is None else round(now - applied_at, 3),
        )

    def record_bytes(self, size, *, reason):
        """Record bytes on a closing connection that were not parsed."""
        self.context.log.decision("unserved", outcome=reason, size=size)

    def _request_id(self, request):
        try:
            return self.context.dialect.read_request(request.headers).request_id
        except ValueError:
            return None  # unreadable headers, which would have got status 400
