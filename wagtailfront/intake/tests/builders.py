"""Owners of memory, for tests."""

from wagtailfront.intake.intake_memory import IntakeMemory
from wagtailfront.intake.shares import MemoryShares

__all__ = ["FakeOwner", "make_memory"]


class FakeOwner:
    """Records whether it gave way."""

    def __init__(self, *, may_give_way=True):
        self.may_give_way = may_give_way
        self.gave_way = False

    def give_way(self):
        self.gave_way = True


def make_memory(*, callers=4_000_000, bulk=3_000_000):
    """Return a memory with the given shares."""
    shares = MemoryShares(
        callers=callers, bulk=bulk, responses=0, kernel=0, largest=2 * callers
    )
    return IntakeMemory(shares=shares)
