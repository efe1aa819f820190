"""Which engines have room for a request, and when others will."""

import math

__all__ = ["seconds_until_room", "with_room"]


def with_room(views):
    """Return the views of engines that have room for the request."""
    return [view for view in views if view.has_room]


def seconds_until_room(views, *, hold_seconds, waiting=0.0):
    """Return the seconds until the first of some engines has room.

    Memory is released at the rate at which requests end: by Little's law, what
    is taken by the mean time for which it is.

    Parameters
    ----------
    views : list of EngineView
    hold_seconds : float or None
        Mean seconds for which requests take memory; None if not measured, so
        that no time can be told and 0.0 is returned.
    waiting : float, optional
        Tokens by engine for which requests wait that the views do not contain.

    Examples
    --------
    >>> from wagtailfront.forwarding.placement import EngineView
    >>> full = EngineView(None, 9, committed_tokens=900, free_tokens=100)
    >>> view = full._replace(needed_tokens=400)
    >>> round(seconds_until_room([view], hold_seconds=1.5), 3)
    0.5
    """
    if hold_seconds is None:
        return 0.0
    return min(
        (
            hold_seconds
            * max(0.0, view.needed_tokens + waiting - view.free_tokens)
            / max(1, view.committed_tokens)
            for view in views
        ),
        default=math.inf,
    )
