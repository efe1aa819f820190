"""One bound on what callers' and peers' connections hold in memory."""

from typing import Protocol

from wagtailfront.intake.giving_way import SMALL_BYTES, choose_to_give_way

__all__ = ["IntakeHolder", "IntakeMemory", "IntakeOwner"]

# Bytes that a connection must receive, or have read from it, to have made
# progress: a caller that sends single bytes must not count as busy.
PROGRESS_BYTES = 64 * 1024


class IntakeOwner(Protocol):
    """What holds bytes, and can be made to give them up."""

    @property
    def may_give_way(self) -> bool:
        """Return whether no request of it has been passed on."""

    def give_way(self) -> None:
        """Refuse or close it, as its bytes are needed for others."""


class IntakeHolder:
    """Bytes that one connection holds.

    Parameters
    ----------
    owner : IntakeOwner
    now : float

    Attributes
    ----------
    size : int
    progress_at : float
        Time of the last progress.
    """

    def __init__(self, *, owner, now):
        self.owner = owner
        self.size = self.marked_size = 0
        self.progress_at = now

    @property
    def small_size(self):
        """Return its bytes if they are few, else 0."""
        return self.size if self.size <= SMALL_BYTES else 0

    @property
    def may_give_way(self):
        """Return whether its bytes may be given up."""
        return self.owner.may_give_way

    def change(self, size, *, now):
        """Take a new size, and note whether that is progress."""
        self.size = size
        if size <= SMALL_BYTES or abs(size - self.marked_size) >= PROGRESS_BYTES:
            self.marked_size = size
            self.progress_at = now


class IntakeMemory:
    """Bound on the bytes of all holders together.

    Parameters
    ----------
    shares : MemoryShares

    Attributes
    ----------
    total : int
        Bytes that are held now.

    Notes
    -----
    A holder that is not small may exceed the bound while others hold only
    small things, so that each request within the limits can be served. Small
    ones have a reserve, so that they need not take its place.
    """

    def __init__(self, *, shares):
        self.shares = shares
        self.total = self.small_total = 0
        self.holders = set()

    @property
    def excess(self):
        """Return by how many bytes one large request exceeds the share."""
        return max(0, self.total - self.shares.callers)

    def hold(self, owner, *, now):
        """Return an IntakeHolder for one more connection."""
        holder = IntakeHolder(owner=owner, now=now)
        self.holders.add(holder)
        return holder

    def resize(self, holder, size, *, now, announced=0):
        """Return whether a holder can have `size` bytes from now on.

        Parameters
        ----------
        holder : IntakeHolder
        size : int
            Recorded in each case, as the bytes are there already.
        now : float
        announced : int, optional
            Further bytes that it will need.
        """
        if holder not in self.holders:
            return True  # it has given way already
        more = size - holder.size
        self.total += more
        self.small_total -= holder.small_size
        holder.change(size, now=now)
        self.small_total += holder.small_size
        if more <= 0 and not announced:
            return True
        return self._make_room(holder, announced, now)

    def release(self, holder):
        """Forget a holder, whose bytes are free."""
        if holder in self.holders:
            self.holders.discard(holder)
            self.total -= holder.size
            self.small_total -= holder.small_size
            holder.size = 0

    def _make_room(self, holder, announced, now):
        needed = holder.size + announced
        while not self._fits(holder, needed):
            chosen = choose_to_give_way(self.holders, holder, needed=needed, now=now)
            if chosen is holder:
                return False
            # First released, as giving way may report a smaller size.
            self.release(chosen)
            chosen.owner.give_way()
        return True

    def _fits(self, holder, needed):
        others = self.total - holder.size
        reserve = self.shares.callers - self.shares.bulk
        if needed <= SMALL_BYTES:
            small = self.small_total - holder.small_size + needed
            return others + needed <= self.shares.callers or small <= reserve
        return others + needed <= self.shares.bulk or others <= reserve
