"""Which connection gives way when callers' memory is full."""

__all__ = ["SMALL_BYTES", "choose_to_give_way"]

# What a connection may hold as an ordinary one; the longest prompts of the
# known workloads take some 100 KB.
SMALL_BYTES = 256 * 1024
STALL_SECONDS = 1.0  # without progress until a connection counts as stalled
# How much more another connection must hold to give way to one that grows.
MUCH_LARGER = 2.0


def choose_to_give_way(holders, grower, *, needed, now):
    """Return the holder that gives way to `grower`, which may be itself.

    Parameters
    ----------
    holders : iterable of IntakeHolder
    grower : IntakeHolder
    needed : int
        Bytes that the grower will hold.
    now : float

    Notes
    -----
    First comes one that has stalled, by the bytes it holds and the time since
    its last progress, then one that holds much more than the grower. Small
    holders give way only to small ones, after all others.
    """
    others = [each for each in holders if each is not grower and each.may_give_way]
    large = [each for each in others if each.size > SMALL_BYTES]
    is_small = needed <= SMALL_BYTES
    candidates = large or others if is_small else large
    stalled = [each for each in candidates if now - each.progress_at > STALL_SECONDS]
    if stalled:
        return max(stalled, key=lambda each: each.size * (now - each.progress_at))
    largest = max(candidates, key=lambda each: each.size, default=grower)
    if largest.size > MUCH_LARGER * needed or (large and is_small):
        return largest
    return grower
