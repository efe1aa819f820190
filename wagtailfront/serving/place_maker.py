"""Makes places for new connections."""

from wagtailfront.intake.connection_intake import RETRY_AFTER, UNAVAILABLE
from wagtailfront.intake.places import choose_to_leave, rank_occupant

__all__ = ["PlaceMaker"]

MAX_MADE = 64  # connections that leave at once
PLACE_NEEDED = "closed as others need its place"


class PlaceMaker:
    """Closes connections that ask for nothing when a new one needs a place.

    Several leave at once, since to choose them takes a look at all.

    Parameters
    ----------
    server : ConnectionServer
    places : int
        Connections that may be open.
    """

    def __init__(self, *, server, places):
        self.server = server
        self.count = max(1, min(MAX_MADE, places // 32))

    def make(self):
        """Close some connections, if there are such."""
        server = self.server
        now, before = server.clock(), len(server.listener.clients)
        occupants = (
            self._as_occupant(each)
            for each in server.connections.values()
            if each.sock in server.listener.clients
        )
        for connection in choose_to_leave(occupants, count=self.count, now=now):
            # What has arrived since it was last read may be a request.
            if not connection.is_closing:
                server.read_more(connection)
            if rank_occupant(self._as_occupant(connection), now=now) is not None:
                self._close(connection)
        server.intake.record_places(
            left=before - len(server.listener.clients), open_connections=before
        )

    def _as_occupant(self, connection):
        is_reading = self.server.timeouts.is_reading_answer(connection)
        return connection.as_occupant(is_reading_answer=is_reading)

    def _close(self, connection):
        if not connection.is_closing and not connection.reader.is_between_requests:
            self.server.write_refusal(connection, UNAVAILABLE, RETRY_AFTER)
        self.server.start_closing(connection, PLACE_NEEDED)
        self.server.listener.cut(connection.sock)
