"""Check that callers of instances without endpoints are served like others."""

from typing import NamedTuple

__all__ = ["FirstTry", "find_worse_served"]

STABLE_WINDOW = 3.0  # seconds from the beginning of a cut
MIN_SHARE = 2 / 3  # of the share that is served at the other instances
ALLOWED_FAILURES, ALLOWED_SHARE = 10, 1 / 50


class FirstTry(NamedTuple):
    """A request's first try: when it was sent, where, and how it ended."""

    sent_at: float
    instance: int
    is_served: bool


def find_worse_served(tries, *, cut_off, begins, ends):
    """Return what was served at cut instances and at others, if too little.

    Parameters
    ----------
    tries : list of FirstTry
    cut_off : collection of int
        Instances that reached no endpoint.
    begins, ends : float
        When the cut began and ended.

    Returns
    -------
    str
        Empty if they are served well enough.

    Examples
    --------
    >>> tries = [FirstTry(4.0, n % 2, n % 2 == 1) for n in range(100)]
    >>> find_worse_served(tries, cut_off=[0], begins=0.0, ends=9.0)
    '0 of 50 served at cut instances, 50 of 50 at others'
    >>> find_worse_served(tries, cut_off=[1], begins=0.0, ends=9.0)
    ''
    """
    counted = [t for t in tries if begins + STABLE_WINDOW <= t.sent_at <= ends]
    at_cut = [t.is_served for t in counted if t.instance in cut_off]
    at_others = [t.is_served for t in counted if t.instance not in cut_off]
    failures = len(at_cut) - sum(at_cut)
    is_allowed = failures <= ALLOWED_FAILURES + ALLOWED_SHARE * len(counted)
    others_share = sum(at_others) / max(1, len(at_others))
    is_fair = sum(at_cut) >= MIN_SHARE * others_share * len(at_cut)
    if is_allowed or is_fair:
        return ""
    return (
        f"{sum(at_cut)} of {len(at_cut)} served at cut instances, "
        f"{sum(at_others)} of {len(at_others)} at others"
    )
