"""Whether an instance is cut off from its peers."""

__all__ = ["Isolation"]

# Seconds without most peers after which the holder of duties lets another one
# take them over, which may hear them; and after which none has done so, since
# the others have ended.
CUT_SECONDS, ALONE_SECONDS = 1.5, 9.0
# An instance that hears less of the fleet is rather cut off than one of few
# that are left, as after the loss of a data centre.
LEAST_SHARE = 0.25


class Isolation:
    """Lets an instance hold duties that need what its peers tell it.

    Examples
    --------
    >>> isolation = Isolation()
    >>> [isolation.may_hold(now, heard=1, known=6) for now in (0.0, 2.0, 9.0)]
    [True, False, True]
    >>> isolation.may_hold(10.0, heard=2, known=6)
    True
    """

    def __init__(self):
        self.since = None

    def may_hold(self, now, *, heard, known):
        """Return whether duties may be held.

        Parameters
        ----------
        now : float
            Seconds.
        heard, known : int
            Instances that are heard, and that were there lately; this one is
            among them.
        """
        if heard >= LEAST_SHARE * known:
            self.since = None
            return True
        if self.since is None:
            self.since = now
        return not CUT_SECONDS <= now - self.since < ALONE_SECONDS
