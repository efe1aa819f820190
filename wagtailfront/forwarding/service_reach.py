"""Whether an instance reaches the endpoints of a service."""

import math

__all__ = ["ServiceReach"]

# Endpoints without a connection, or without an answer, from which on the
# instance's own links are taken to be the cause.
MIN_UNCONNECTED = 3
MIN_SILENT = 2
# Seconds without a response of any endpoint after which silence counts.
SILENT_SECONDS = 0.25


class ServiceReach:
    """Decides from failures whether the endpoints are out of reach.

    One endpoint that fails has crashed. If several fail and none does
    better, the path to them may be lost, and other instances may have
    another one.

    Attributes
    ----------
    unconnected : set of str
        Incarnations that could not be connected to since the latest
        connection that was opened.
    silent : set of str
        Incarnations that were silent since the latest response.
    responded_at : float
        Time of the latest response, in seconds.

    Notes
    -----
    Connections that are open may live on while new ones are refused, so each
    of the two is enough.

    Examples
    --------
    >>> reach = ServiceReach()
    >>> known = {"e1", "e2", "e3", "e4"}
    >>> for incarnation in ("e1", "e2", "e3"):
    ...     reach.record_unconnected(incarnation)
    >>> reach.is_lost(known)
    True
    >>> reach.record_connected()
    >>> reach.is_lost(known)
    False
    """

    def __init__(self):
        self.unconnected = set()
        self.silent = set()
        self.responded_at = -math.inf

    def record_connected(self):
        """Record that a connection was opened."""
        self.unconnected.clear()

    def record_unconnected(self, incarnation):
        """Record that no connection could be opened."""
        self.unconnected.add(incarnation)

    def record_response(self, *, now):
        """Record a part of a response."""
        self.responded_at = now
        self.silent.clear()

    def record_silence(self, incarnation, *, now):
        """Record that a request got no response for a while."""
        if now - self.responded_at >= SILENT_SECONDS:
            self.silent.add(incarnation)

    def is_silent(self, known):
        """Return whether open connections to endpoints are silent.

        Parameters
        ----------
        known : collection of str
            Incarnations of the endpoints of the service.
        """
        return self._is_enough(self.silent, known, MIN_SILENT)

    def is_lost(self, known):
        """Return whether new work cannot be sent; `known` as above."""
        return self.is_silent(known) or self._is_enough(
            self.unconnected, known, MIN_UNCONNECTED
        )

    @staticmethod
    def _is_enough(failed, known, least):
        found = len(failed.intersection(known))
        return found > 0 and found >= min(least, len(known))
