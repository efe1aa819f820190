"""When the store last confirmed what this instance knows of its tables."""

import math
from typing import Protocol

from wagtailfront.decisions.subsetting import ranked

__all__ = ["Confirmations", "TableAge"]

UNCONFIRMED_SHARE = 0.5  # of the bound, after which an instance asks the store
TURN_SECONDS = 0.1  # between two instances that ask; about a report's way
# Seconds between an answer and a question by a strict bound, as the answer may
# not help: that of a restored store does not count at first.
STRICT_GAP = 0.5
MAX_TURNS_SHARE = 0.25  # of the bound, in which all have asked


class TableAge(Protocol):
    """Strict bound on the age of what is known of a table."""

    def record_applied(self, read) -> None:
        """Record an answer that is in force, with all changes before it."""

    def due(self) -> float:
        """Return when the store is to be asked by this bound."""


class Confirmations:
    """Ages of what is known of each table, by answers to anyone in the fleet.

    The store's answer to an instance shows that it knew all changes then. Told
    to its peers, it shows the same of those that know as much. Without any, a
    change may go unnoticed: all connections may have fallen silent, those
    between instances too.

    Parameters
    ----------
    tables : tuple of str
        In the order in which ages are sent.
    bound : float
        Seconds within which a change must be in force.
    address : str
        That of this instance.
    find_live : callable
        Returns the addresses of the instances in touch, this one included.
    ages : Mapping of str to TableAge, optional
        Strict bounds on the age of what is known, by table.

    Examples
    --------
    >>> confirmations = Confirmations(
    ...     tables=("routing",),
    ...     bound=2.0,
    ...     address="a",
    ...     find_live=lambda: {"a"},
    ... )
    >>> confirmations.record_answer("routing", now=5.0)
    >>> confirmations.due("routing")
    6.0
    >>> confirmations.record_peer((0.5,), is_level=(True,), now=6.0)
    >>> confirmations.due("routing"), confirmations.ages(now=7.0)
    (6.5, (2.0,))
    """

    def __init__(self, *, tables, bound, address, find_live, ages=None):
        self.tables = tables
        self.bound = bound
        self.address = address
        self.find_live = find_live
        self.strict_ages = ages or {}
        self.answered_at = dict.fromkeys(tables, -math.inf)
        self.confirmed_at = dict.fromkeys(tables, -math.inf)

    def record_answer(self, table, *, now):
        """Record that the store has answered this instance."""
        self.answered_at[table] = self.confirmed_at[table] = now

    def record_peer(self, ages, *, is_level, now):
        """Record a peer's report.

        Parameters
        ----------
        ages : sequence of float or None
            Seconds since the store answered the peer, for each table; None if
            it has not.
        is_level : sequence of bool
            Whether the peer knows no later change of the table.
        now : float
        """
        for table, age, level in zip(self.tables, ages, is_level, strict=False):
            if level and age is not None:
                self.confirmed_at[table] = max(self.confirmed_at[table], now - age)

    def record_applied(self, table, read):
        """Record an answer that is in force, with all changes before it."""
        if table in self.strict_ages:
            self.strict_ages[table].record_applied(read)

    def ages(self, *, now):
        """Return the seconds since the store answered this instance.

        Returns
        -------
        tuple of float or None
            For each table; None if it has not answered.
        """
        return tuple(
            None if at == -math.inf else now - at for at in self.answered_at.values()
        )

    def due(self, table):
        """Return when this instance should ask for changes of a table.

        Instances take turns, so that the answer to the first confirms what
        the others know before they ask. A strict bound counts too, as it may
        not be able to use what confirms the table here.
        """
        turns = ranked({*self.find_live(), self.address}, key=table)
        wait = turns.index(self.address) * TURN_SECONDS
        asked_at = self.confirmed_at[table] + UNCONFIRMED_SHARE * self.bound
        if table in self.strict_ages:
            due = max(
                self.strict_ages[table].due(), self.answered_at[table] + STRICT_GAP
            )
            asked_at = min(asked_at, due)
        return asked_at + min(wait, MAX_TURNS_SHARE * self.bound)

    def is_strict(self, table):
        """Return whether the age of a table has a strict bound."""
        return table in self.strict_ages
