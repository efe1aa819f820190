"""How the memory of a process is divided."""

from typing import NamedTuple

__all__ = ["MemoryShares", "divide_memory"]

MEGABYTE = 1_000_000
PROCESS_BYTES = 48 * MEGABYTE  # an idle process takes 39 MB, one in use some more
# Of what a process has beside that. The rest is for copies that live shortly,
# for what the allocator can't reuse, and for endpoints' sockets.
CALLERS_SHARE = 0.35
RESPONSES_SHARE = 0.25
KERNEL_SHARE = 0.15
BULK_SHARE = 0.75  # of the callers' share, for requests that are not small
# For one request, while others hold only small ones. With their reserve, the
# kernel's share and a quarter of the responses' it is less than the whole.
LARGEST_SHARE = 0.68
# Larger machines run more than this process.
MAX_MEMORY = 1024 * MEGABYTE
MAX_RESPONSES = 48 * 1024 * 1024


class MemoryShares(NamedTuple):
    """Bytes of the parts of an instance's memory.

    Attributes
    ----------
    callers : int
        Requests that are unfinished, waiting or in progress, and answers
        that callers have not read.
    bulk : int
        Part of `callers` that requests may take which are not small.
    responses : int
        Responses of endpoints that are buffered until they are complete.
    kernel : int
        Buffers of callers' sockets.
    largest : int
        What one request may take that is served alone.
    """

    callers: int
    bulk: int
    responses: int
    kernel: int
    largest: int


def divide_memory(memory):
    """Return the MemoryShares of a process that may take `memory` bytes.

    Examples
    --------
    >>> divide_memory(160_000_000).callers
    39200000
    """
    free = max(min(memory, MAX_MEMORY) - PROCESS_BYTES, PROCESS_BYTES // 4)
    callers = round(free * CALLERS_SHARE)
    return MemoryShares(
        callers=callers,
        bulk=round(callers * BULK_SHARE),
        responses=min(round(free * RESPONSES_SHARE), MAX_RESPONSES),
        kernel=round(free * KERNEL_SHARE),
        largest=round(free * LARGEST_SHARE),
    )
