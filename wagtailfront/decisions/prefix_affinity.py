"""Estimate of the prompt pieces that each engine has cached.

Cache events of engines arrive late and some are lost.
"""

import itertools
import math
from collections import OrderedDict

import xxhash

from wagtailfront.decisions.work import PIECE_TOKENS

__all__ = ["chain_hashes", "PrefixMap"]

# A piece that was neither sent nor reported for this long no longer counts as
# cached, because the event of its eviction may have been lost.
PIECE_LIFETIME_SECONDS = 120.0
# After lost events, pieces last seen longer than this before the loss do not
# count as cached.
UNCERTAIN_LIFETIME_SECONDS = 30.0


def chain_hashes(parts):
    """Return a hash per part that also covers all parts before it.

    Parameters
    ----------
    parts : iterable of bytes
        The prompt's pieces in order.

    Returns
    -------
    tuple of int

    Examples
    --------
    >>> chain_hashes([b"rules", b"a"])[0] == chain_hashes([b"rules", b"b"])[0]
    True
    >>> chain_hashes([b"x", b"a"])[1] == chain_hashes([b"y", b"a"])[1]
    False
    """
    chained = itertools.accumulate(
        parts,
        lambda before, part: xxhash.xxh64_intdigest(part, seed=before),
        initial=0,
    )
    return tuple(itertools.islice(chained, 1, None))


class PrefixMap:
    """Pieces cached per engine, least recently used first.

    Parameters
    ----------
    pieces_per_engine : int
        Capacity of an engine's cache in pieces; the least recently used
        pieces beyond it are dropped.

    Examples
    --------
    >>> prefixes = PrefixMap()
    >>> pieces = tuple(chain_hashes([b"a", b"b"]))
    >>> prefixes.record_prompt("e1", pieces, now=0.0)
    >>> prefixes.cached_tokens("e1", pieces, now=1.0)
    4000
    >>> prefixes.cached_tokens("e2", pieces, now=1.0)
    0
    """

    def __init__(self, *, pieces_per_engine=100):
        self.pieces_per_engine = pieces_per_engine
        self.cached = {}
        self.last_number = {}
        self.gap_at = {}

    def record_prompt(self, engine, pieces, *, now):
        """Record that `engine` has prefilled a prompt of these pieces."""
        cached = self.cached.setdefault(engine, OrderedDict())
        for piece in pieces:
            cached[piece] = now
            cached.move_to_end(piece)
        while len(cached) > self.pieces_per_engine:
            cached.popitem(last=False)

    def apply(self, engine, events, *, now):
        """Apply an engine's cache events; a gap in their numbers means loss.

        Parameters
        ----------
        events : iterable of CacheEvent
            Repeated events are ignored.
        """
        cached = self.cached.setdefault(engine, OrderedDict())
        last = self.last_number.get(engine)
        for event in events:
            if last is not None and event.number <= last:
                continue
            if last is not None and event.number > last + 1:
                self.gap_at[engine] = now
            last = event.number
            if event.stored:
                cached[event.piece] = now
                cached.move_to_end(event.piece)
            else:
                cached.pop(event.piece, None)
        if last is not None:
            self.last_number[engine] = last
        while len(cached) > self.pieces_per_engine:
            cached.popitem(last=False)

    def forget(self, engine):
        """Drop all entries of an engine that restarted."""
        self.cached.pop(engine, None)
        self.last_number.pop(engine, None)
        self.gap_at.pop(engine, None)

    def cached_tokens(self, engine, pieces, *, now):
        """Return how many leading tokens `engine` has probably cached."""
        cached = self.cached.get(engine)
        if not cached or not pieces:
            return 0
        oldest = now - PIECE_LIFETIME_SECONDS
        gap_at = self.gap_at.get(engine)
        if gap_at is not None:
            oldest = max(oldest, gap_at - UNCERTAIN_LIFETIME_SECONDS)
        fresh = itertools.takewhile(lambda p: cached.get(p, -math.inf) > oldest, pieces)
        return PIECE_TOKENS * sum(1 for _ in fresh)
