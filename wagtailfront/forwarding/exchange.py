"""One request to an endpoint and the receiver of its response."""

from typing import Protocol

__all__ = ["Exchange", "ExchangeSink"]


class ExchangeSink(Protocol):
    """Receiver of the response to one request."""

    def on_head(self, status: int, headers: list) -> bool:
        """Handle the head; return False to discard the response."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, reason: str, sent: bool) -> None:
        """Handle a failure; `sent` is True if bytes may have been sent."""


class Exchange:
    """One request to an endpoint, until its response is complete.

    Attributes
    ----------
    record : EndpointRecord
    connection : object
        Identifies the connection that the request was given to.
    is_first : bool
        Whether it is the first request on its connection, so that a response
        on it cannot be one to an earlier request.
    is_sent : bool
        Whether a byte of the request may have reached the endpoint.
    is_returned : bool
        Whether `send` has returned it, so that its failure may be reported.
    """

    def __init__(self, *, pool, record, payload, sink):
        self.pool = pool
        self.record = record
        self.payload = payload
        self.sink = sink
        self.connection = None
        self.is_first = True
        self.is_sent = False
        self.is_returned = False
        self.is_done = False

    def cancel(self):
        """Abandon the request and close its connection."""
        if not self.is_done:
            self.is_done = True
            if self.connection is not None:
                self.pool.close(self.connection)

    def fail(self, reason):
        """Report a failure unless the exchange has ended."""
        if not self.is_returned:
            # The sink does not know its exchange before send() has returned.
            self.pool.timers.after(0.0, lambda: self.fail(reason))
        elif not self.is_done:
            self.is_done = True
            self.sink.on_failure(reason, self.is_sent)
