"""Memory for responses that are buffered until they are complete."""

__all__ = ["BodyMemory"]

MAX_BODY = 16 * 1024 * 1024  # bytes of one response
MAX_TOTAL = 48 * 1024 * 1024  # bytes; a sixth of a small instance's memory


class BodyMemory:
    """Limits the bytes of one response, and of all responses together.

    Parameters
    ----------
    max_body, max_total : int, optional
        Bytes.

    Examples
    --------
    >>> memory = BodyMemory(max_body=3, max_total=4)
    >>> memory.reserve(0, 3), memory.reserve(3, 1), memory.reserve(0, 2)
    (True, False, False)
    """

    def __init__(self, *, max_body=MAX_BODY, max_total=MAX_TOTAL):
        self.max_body = max_body
        self.max_total = max_total
        self.total = 0

    def reserve(self, size, more):
        """Return whether a response of `size` bytes may grow by `more`."""
        if size + more > self.max_body or self.total + more > self.max_total:
            return False
        self.total += more
        return True

    def release(self, size):
        """Free the bytes of a response."""
        self.total -= size
