"""How long the platform's store has answered nobody."""

import math

__all__ = ["StoreContact"]

# Seconds without an answer of the store after which endpoints may be missing
# from the registry though they live. Entries are removed after three
# heartbeats of 1.2 s without a write, the first of which may be just over
# when the store stops answering.
LAPSE_SECONDS = 2.4


class StoreContact:
    """Answers of the store to this instance and to its peers.

    A call that is not answered says little: its connection may be silent
    while the store is sound. The store was away only while it answered none
    of the instances.

    Attributes
    ----------
    own_answer_at, answer_at : float
        When the store last answered this instance, and any instance.
    away_until : float
        When the store last answered after it may have lost entries.

    Examples
    --------
    >>> contact = StoreContact()
    >>> for now in (10.0, 11.0):
    ...     contact.record_answer(now=now)
    >>> contact.was_away(since=10.0)
    False
    >>> contact.record_peer(0.5, now=12.0)
    >>> contact.record_answer(now=13.5)
    >>> contact.was_away(since=10.0)
    False
    >>> contact.record_answer(now=16.5)
    >>> contact.was_away(since=13.5)
    True
    """

    def __init__(self):
        self.own_answer_at = -math.inf
        self.answer_at = -math.inf
        self.away_until = -math.inf

    def record_answer(self, *, now):
        """Record that the store has answered this instance."""
        self.own_answer_at = now
        self._record(now)

    def record_peer(self, age, *, now):
        """Record that the store answered a peer `age` seconds ago."""
        self._record(now - age)

    def _record(self, answered):
        if answered - self.answer_at >= LAPSE_SECONDS:
            self.away_until = answered
        self.answer_at = max(self.answer_at, answered)

    def own_age(self, *, now):
        """Return the age of its last answer to this instance, or None."""
        return None if self.own_answer_at == -math.inf else now - self.own_answer_at

    def was_away(self, *, since):
        """Return whether entries may have lapsed after the time `since`."""
        return self.away_until > since
