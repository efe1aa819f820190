"""Limits of a server on its connections and requests."""

__all__ = ["ServerLimits"]


class ServerLimits:
    """Limits of one server.

    Parameters
    ----------
    max_head : int
        Bytes of request line and headers.
    max_body : int
        Bytes of a request body.
    head_timeout : float
        Seconds that a caller may take to send a complete request.
    idle_timeout : float
        Seconds for which a connection may stay open between requests.
    max_connections : int
    """

    def __init__(
        self,
        *,
        max_head=32 * 1024,
        max_body=8 * 1024 * 1024,
        head_timeout=20.0,
        idle_timeout=75.0,
        max_connections=2000,
    ):
        self.max_head = max_head
        self.max_body = max_body
        self.head_timeout = head_timeout
        self.idle_timeout = idle_timeout
        self.max_connections = max_connections
