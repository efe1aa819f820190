"""What a ConnectionServer expects of those who use it."""

from typing import Any, Protocol

__all__ = ["Application", "ServerContext"]


class ServerContext(Protocol):
    """Parts of an instance that a server uses.

    Attributes
    ----------
    timers : Timers
    log : DecisionLog
    metrics : Metrics
    """

    timers: Any
    log: Any
    metrics: Any


class Application(Protocol):
    """Serves the requests that a ConnectionServer has read.

    Attributes
    ----------
    limits : LimitsInForce
    context : ServerContext
    """

    limits: Any
    context: ServerContext

    def accept(self, request, reply):
        """Start a Request, whose answer goes to a Reply.

        Returns
        -------
        object or None
            The task that `run(cancel)` of it ends if the caller leaves, or
            None if nothing is to be ended.
        """

    def refusal(self, status, retry_after=None) -> tuple:
        """Return headers and body of an answer of the server itself.

        Parameters
        ----------
        status : int
        retry_after : float, optional
            Seconds after which the caller may return.
        """

    def request_id(self, request) -> Any:
        """Return the id by which the log names a request, or None."""

    def log_fields(self, now) -> dict:
        """Return what the log says of each unanswered request."""
