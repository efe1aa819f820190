"""How many descriptors a process may open."""

import logging
import resource

__all__ = ["allow_descriptors"]

logger = logging.getLogger(__name__)


def allow_descriptors(wanted):
    """Return how many descriptors may be open, `wanted` at most.

    The soft limit of the process is raised where its hard limit permits. A
    listener that reaches the limit can accept nothing, and is woken again and
    again by the connections that wait.
    """
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = [each for each in (wanted, hard) if each != resource.RLIM_INFINITY]
        if soft != resource.RLIM_INFINITY and soft < min(limits):
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(limits), hard))
    except (OSError, ValueError) as error:
        logger.warning("[intake] The limit of descriptors is not known: %r", error)
        return wanted
    if min(limits) < wanted:
        logger.warning(
            "[intake] %d descriptors are permitted, not %d.", min(limits), wanted
        )
    return min(limits)
