"""Order in which connections are read whose bytes are expensive to parse."""

from typing import NamedTuple

__all__ = ["LIGHT_COST", "PASS_COST", "ReadTurns"]

# Costs are in bytes; a part of a body takes as long to parse as so many.
PART_COST = 64
# Of the requests that a connection may send without waiting for its turn.
LIGHT_COST = 256 * 1024
# Of the turns between two looks at the other connections.
PASS_COST = 1024 * 1024
SMALL_READ, LARGE_READ = 16 * 1024, 64 * 1024


class ReadCost(NamedTuple):
    """What was read on a connection.

    Attributes
    ----------
    size : int
        Bytes.
    framing : int
        Cost of the parts into which a body was divided.
    """

    size: int = 0
    framing: int = 0


NOTHING = ReadCost()


class ReadTurns:
    """Lets connections whose requests are expensive to parse wait for a turn.

    Others are read as soon as bytes arrive. So a crowd that sends without
    end, in whatever parts, delays a new request by one pass at most.

    Attributes
    ----------
    waiting : dict
        Keys that wait for their turn, in order.

    Notes
    -----
    Turns go round, as in deficit round robin (Shreedhar and Varghese, 1995),
    and cost decides how many of them one pass has. Connections that were
    served keep half of the cost of their framing, so that a request in parts
    of single bytes does not become cheap when it ends.

    Examples
    --------
    >>> turns = ReadTurns()
    >>> turns.charge("a", size=65536, parts=10_000)
    >>> turns.must_wait("a"), turns.must_wait("b")
    (True, False)
    """

    def __init__(self):
        self.costs = {}
        self.waiting = {}
        self.pass_cost = 0

    def charge(self, key, *, size, parts):
        """Count bytes that were read, in so many parts of a body."""
        cost = self.costs.get(key, NOTHING)
        framing = PART_COST * parts
        self.costs[key] = ReadCost(cost.size + size, cost.framing + framing)
        self.pass_cost += size + framing

    def settle(self, key):
        """Note that a connection's request is complete."""
        framing = self.costs.pop(key, NOTHING).framing // 2
        if framing:
            self.costs[key] = ReadCost(0, framing)

    def must_wait(self, key):
        """Return whether a connection is only read in its turn."""
        return sum(self.costs.get(key, NOTHING)) > LIGHT_COST

    def read_size(self, key):
        """Return how many bytes to read at once."""
        cost = self.costs.get(key, NOTHING)
        return LARGE_READ if cost.size > cost.framing else SMALL_READ

    def wait(self, key):
        """Add a connection that has bytes to read."""
        self.waiting[key] = None

    def leave(self, key):
        """Remove a connection that is not read now."""
        self.waiting.pop(key, None)

    def forget(self, key):
        """Remove a connection that has ended."""
        self.leave(key)
        self.costs.pop(key, None)

    def take_pass(self):
        """Yield the connections that are read before others get a look."""
        self.pass_cost = 0
        for key in list(self.waiting):
            if self.pass_cost >= PASS_COST:
                return
            # One that was yielded before may have ended this one.
            if key in self.waiting:
                del self.waiting[key]
                yield key
