"""Order of requests at an engine: by rank, then by the time to spare."""

__all__ = ["LEVELS", "engine_level"]

LEVELS = 10  # priorities that an engine knows, 0 for the most urgent


def engine_level(rank, ranks, *, spare):
    """Return the priority of a request at an engine.

    Requests of higher rank come first, and of one rank those with the least
    time to spare.

    Parameters
    ----------
    rank : int
        Priority of the request's route, 0 for the highest.
    ranks : sequence of int
        Priorities of all routes to the service, in order.
    spare : float
        Time that the caller is expected to have left over, as a share of the
        time for which it waits for a first event.

    Examples
    --------
    >>> [engine_level(1, (0, 1, 2), spare=spare) for spare in (0.0, 0.5, 1.0)]
    [3, 4, 5]
    >>> [engine_level(rank, (0, 1, 2), spare=1.0) for rank in (0, 1, 2)]
    [2, 5, 8]
    >>> engine_level(30, range(40), spare=0.5)
    9
    """
    higher = sum(each < rank for each in ranks)
    width = max(1, LEVELS // max(1, len(ranks)))
    step = min(width - 1, int(width * max(0.0, spare)))
    return min(LEVELS - 1, higher * width + step)
