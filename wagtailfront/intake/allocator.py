"""Settings of the C library's allocator."""

import ctypes
import logging

__all__ = ["return_large_blocks"]

logger = logging.getLogger(__name__)

M_MMAP_THRESHOLD = -3  # of malloc.h
LARGE_BLOCK = 128 * 1024  # bytes; glibc's first value


def return_large_blocks():
    """Have the allocator return each large block when it is freed.

    By default glibc raises its threshold to the largest block that was freed,
    up to 32 MB. Bodies then grow inside the heap, where each move leaves a gap
    and memory that is free stays with the process.
    """
    try:
        is_set = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK)
    except (OSError, AttributeError) as error:  # a C library without mallopt
        logger.info("[intake] The allocator keeps its defaults: %r", error)
        return
    if not is_set:
        logger.warning("[intake] The allocator refused its setting.")
