"""Memory for responses that are buffered until they are complete."""

__all__ = ["BodyMemory", "HeldBytes"]

MAX_BODY = 16 * 1024 * 1024  # bytes of one response
MAX_TOTAL = 48 * 1024 * 1024  # bytes; a sixth of a small instance's memory


class HeldBytes:
    """Bytes that are buffered of one response.

    Parameters
    ----------
    memory : BodyMemory
    on_evicted : callable
        Called without arguments when the response must be given up.
    """

    def __init__(self, *, memory, on_evicted):
        self.memory = memory
        self.on_evicted = on_evicted
        self.size = 0

    def resize(self, size):
        """Return whether so many bytes may be buffered from now on."""
        memory, more = self.memory, size - self.size
        if size > memory.max_body or not memory.make_room(self, size):
            return False
        self.size = size
        memory.total += more
        memory.holders.add(self)
        return True

    def release(self):
        """Free the bytes."""
        self.memory.total -= self.size
        self.memory.holders.discard(self)
        self.size = 0


class BodyMemory:
    """Limits the bytes of one response, and of all responses together.

    If there are too many together, the largest response is given up: it is
    the one that may never end, while the others are needed for their callers.

    Parameters
    ----------
    max_body, max_total : int, optional
        Bytes.
    borrowed : callable, optional
        Returns the bytes of the total that are in use for other purposes; a
        quarter of it is never lent.

    Attributes
    ----------
    total : int
        Bytes that are buffered now.

    Examples
    --------
    >>> memory = BodyMemory(max_body=6, max_total=8)
    >>> endless = memory.hold(on_evicted=lambda: print("evicted"))
    >>> endless.resize(6), endless.resize(7)
    (True, False)
    >>> memory.hold(on_evicted=None).resize(3)
    evicted
    True
    >>> memory.total
    3
    """

    def __init__(self, *, max_body=MAX_BODY, max_total=MAX_TOTAL, borrowed=lambda: 0):
        self.max_body = max_body
        self.max_total = max_total
        self.borrowed = borrowed
        self.total = 0
        self.holders = set()

    def hold(self, *, on_evicted):
        """Return HeldBytes for one more response."""
        return HeldBytes(memory=self, on_evicted=on_evicted)

    def make_room(self, holder, size):
        """Return whether a holder can have `size` bytes within the total."""
        limit = max(self.max_total - self.borrowed(), self.max_total // 4)
        while self.total - holder.size + size > limit:
            largest = max(self.holders, key=lambda each: each.size, default=holder)
            if largest is holder or largest.size <= size:
                return False
            largest.release()
            largest.on_evicted()
        return True
