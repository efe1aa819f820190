"""Which connections are closed for new ones at the connection limit."""

import enum
import heapq
from typing import Any, NamedTuple

__all__ = ["OpenConnection", "Rank", "choose_evicted", "eviction_rank"]

STALL_SECONDS = 1.0  # without a byte until a request counts as stalled


class Rank(enum.IntEnum):
    """Order in which connections are closed."""

    WITHOUT_REQUEST = 0  # never sent a whole head, or were refused
    STALLED = 1  # sent no byte of a body for some time
    SERVED = 2  # are idle after an answer


class OpenConnection(NamedTuple):
    """What decides whether a connection may be closed for a new one.

    Attributes
    ----------
    key : object
    opened_at, active_at : float
        Times at which it began and of its last byte or answer.
    has_work : bool
        Whether a request is in progress, or its answer is being read.
    was_served : bool
        Whether it has had an answer.
    is_refused : bool
        Whether it only stays to read a refusal.
    has_part_of_body : bool
    """

    key: Any
    opened_at: float
    active_at: float
    has_work: bool = False
    was_served: bool = False
    is_refused: bool = False
    has_part_of_body: bool = False


def eviction_rank(connection, *, now):
    """Return the Rank of an OpenConnection, or None if it stays open.

    Examples
    --------
    >>> eviction_rank(OpenConnection("a", 0.0, 0.0), now=0.1)
    <Rank.WITHOUT_REQUEST: 0>
    >>> eviction_rank(OpenConnection("a", 0.0, 0.0, has_work=True), now=9.0)
    """
    if connection.has_work:
        return None
    if connection.is_refused:
        return Rank.WITHOUT_REQUEST
    if connection.has_part_of_body:
        is_stalled = now - connection.active_at > STALL_SECONDS
        return Rank.STALLED if is_stalled else None
    return Rank.SERVED if connection.was_served else Rank.WITHOUT_REQUEST


def choose_evicted(connections, *, count, now):
    """Return the keys of up to `count` connections to close, in order.

    Parameters
    ----------
    connections : iterable of OpenConnection
    count : int
    now : float

    Notes
    -----
    A connection costs its caller nothing, so connections that ask for
    nothing must not keep others out. Of one rank the oldest is first: a
    caller that sends single bytes does not become younger by them.
    """
    ranked = ((eviction_rank(each, now=now), each) for each in connections)
    evicted = heapq.nsmallest(
        count,
        ((rank, each) for rank, each in ranked if rank is not None),
        key=lambda entry: (entry[0], entry[1].opened_at),
    )
    return [each.key for _rank, each in evicted]
