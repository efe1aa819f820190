"""Which connections give their places to new ones."""

import enum
import heapq
from typing import Any, NamedTuple

__all__ = ["Occupant", "Rank", "choose_to_leave", "rank_occupant"]

STALL_SECONDS = 1.0  # without a byte until a request counts as stalled


class Rank(enum.IntEnum):
    """Order in which connections leave."""

    WITHOUT_REQUEST = 0  # never sent a whole head, or were refused
    STALLED = 1  # sent no byte of a body for some time
    SERVED = 2  # are idle after an answer


class Occupant(NamedTuple):
    """A connection that holds a place.

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


def rank_occupant(occupant, *, now):
    """Return the Rank of an Occupant, or None if it stays.

    Examples
    --------
    >>> rank_occupant(Occupant("a", opened_at=0.0, active_at=0.0), now=0.1)
    <Rank.WITHOUT_REQUEST: 0>
    >>> rank_occupant(Occupant("a", 0.0, 0.0, has_work=True), now=9.0)
    """
    if occupant.has_work:
        return None
    if occupant.is_refused:
        return Rank.WITHOUT_REQUEST
    if occupant.has_part_of_body:
        is_stalled = now - occupant.active_at > STALL_SECONDS
        return Rank.STALLED if is_stalled else None
    return Rank.SERVED if occupant.was_served else Rank.WITHOUT_REQUEST


def choose_to_leave(occupants, *, count, now):
    """Return the keys of up to `count` connections that leave, in order.

    Parameters
    ----------
    occupants : iterable of Occupant
    count : int
    now : float

    Notes
    -----
    A connection costs its caller nothing, so connections that ask for
    nothing must not keep others out. Of one rank the oldest leaves first: a
    caller that sends single bytes does not become younger by them.
    """
    ranked = ((rank_occupant(each, now=now), each) for each in occupants)
    leaving = heapq.nsmallest(
        count,
        ((rank, each) for rank, each in ranked if rank is not None),
        key=lambda entry: (entry[0], entry[1].opened_at),
    )
    return [each.key for _rank, each in leaving]
