"""One holder for several duties."""

__all__ = ["SharedHold"]


class SharedHold:
    """A duty's part in a holder that it shares with others.

    Implements `DutyHold`. The holder is released once no duty wants it.

    Parameters
    ----------
    hold : DutyHold
        The holder.
    wanting : set of str
        Duties that want it, shared by all parts.
    duty : str

    Examples
    --------
    >>> import functools
    >>> class Holder:
    ...     def want(self, wanted):
    ...         print(wanted)
    >>> wanting, holder = set(), Holder()
    >>> part_of = functools.partial(SharedHold, hold=holder, wanting=wanting)
    >>> parts = [part_of(duty=duty) for duty in "ab"]
    >>> for part in parts:
    ...     part.want(True)
    True
    True
    >>> for part in parts:
    ...     part.want(False)
    True
    False
    """

    def __init__(self, *, hold, wanting, duty):
        self.hold = hold
        self.wanting = wanting
        self.duty = duty

    def grant(self):
        """Return the Grant of the lease, or None if no call may be made."""
        return self.hold.grant()

    def want(self, wanted):
        """Take part in holding the duty, or leave it to the others."""
        if wanted:
            self.wanting.add(self.duty)
        else:
            self.wanting.discard(self.duty)
        self.hold.want(bool(self.wanting))
