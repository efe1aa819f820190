"""Closes connections for new ones at the connection limit."""

from wagtailfront.intake.connection_intake import RETRY_AFTER, UNAVAILABLE
from wagtailfront.intake.eviction import choose_evicted, eviction_rank

__all__ = ["ConnectionEvictor"]

MAX_EVICTED = 64  # connections that are closed at once
EVICTED = "closed at the connection limit"


class ConnectionEvictor:
    """Closes connections that ask for nothing at the connection limit.

    Several are closed at once, since to choose them takes a look at all.

    Parameters
    ----------
    server : ConnectionServer
    max_connections : int
    """

    def __init__(self, *, server, max_connections):
        self.server = server
        self.count = max(1, min(MAX_EVICTED, max_connections // 32))

    def evict(self):
        """Close some connections, if there are such."""
        server = self.server
        now, before = server.clock(), len(server.listener.clients)
        connections = (
            self._as_open_connection(each)
            for each in server.connections.values()
            if each.sock in server.listener.clients
        )
        for connection in choose_evicted(connections, count=self.count, now=now):
            # What has arrived since it was last read may be a request.
            if not connection.is_closing:
                server.read_more(connection)
            if eviction_rank(self._as_open_connection(connection), now=now) is not None:
                self._close(connection)
        server.intake.record_eviction(
            evicted=before - len(server.listener.clients), open_connections=before
        )

    def _as_open_connection(self, connection):
        is_reading = self.server.timeouts.is_reading_answer(connection)
        return connection.as_open_connection(is_reading_answer=is_reading)

    def _close(self, connection):
        if not connection.is_closing and not connection.reader.is_between_requests:
            self.server.write_refusal(connection, UNAVAILABLE, RETRY_AFTER)
        self.server.start_closing(connection, EVICTED)
        self.server.listener.cut(connection.sock)
