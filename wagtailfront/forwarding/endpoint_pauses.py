"""Pauses that endpoints ask for, and the return of work after them."""

from dataclasses import dataclass

__all__ = ["MAX_PAUSE", "EndpointPauses"]

# Seconds; far above the time limit of any route. After a longer pause a single
# request shows whether the endpoint takes work again.
MAX_PAUSE = 300.0
# After a pause requests come back one by one, so that an endpoint that was
# full is not full again at once.
RETURN_SPREAD = 0.25  # seconds in which the first request is sent
RETURN_SPACING = 0.04  # seconds between requests
RETURN_SECONDS = 1.0  # seconds for which requests are spaced


@dataclass(kw_only=True, slots=True)
class _Pause:
    """Pause of one incarnation; times in seconds.

    Attributes
    ----------
    until : float
        Time of its end.
    next_send : float
        When the next request may be sent.
    is_shortened : bool
        Whether the endpoint asked for more than MAX_PAUSE.
    """

    until: float
    next_send: float
    is_shortened: bool


class EndpointPauses:
    """Pauses by incarnation of an endpoint.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> import random
    >>> pauses = EndpointPauses(rng=random.Random(1))
    >>> pauses.begin("e1/1", 2.0, now=10.0)
    True
    >>> [pauses.is_paused("e1/1", now=now) for now in (11.9, 12.0)]
    [True, False]
    >>> pauses.reserve("e1/1", now=12.5)
    0.0
    >>> round(pauses.wait("e1/1", now=12.5), 3)
    0.04
    """

    def __init__(self, *, rng):
        self.rng = rng
        self.pauses = {}

    def __contains__(self, incarnation):
        return incarnation in self.pauses

    def __len__(self):
        return len(self.pauses)

    def begin(self, incarnation, seconds, *, now):
        """Begin or lengthen a pause; return whether anything changed."""
        until = now + min(seconds, MAX_PAUSE)
        known = self.pauses.get(incarnation)
        if until <= now or (known is not None and until <= known.until):
            return False
        spread = RETURN_SPREAD * min(1.0, until - now)
        self.pauses[incarnation] = _Pause(
            until=until,
            next_send=until + self.rng.uniform(0.0, spread),
            is_shortened=seconds > MAX_PAUSE,
        )
        return True

    def record_served(self, incarnation, *, sent, now):
        """Record an answer to a request sent at `sent` that was not refused.

        It lets work return after a shortened pause; return whether it does.
        """
        pause = self.pauses.get(incarnation)
        if pause is None or not pause.is_shortened or sent < pause.until:
            return False
        pause.is_shortened = False
        pause.until = pause.next_send = now
        return True

    def is_paused(self, incarnation, *, now):
        """Return whether an endpoint wants no requests now."""
        pause = self.pauses.get(incarnation)
        return pause is not None and now < pause.until

    def count_paused(self, *, now):
        """Return the number of endpoints that want no requests now."""
        return sum(now < pause.until for pause in self.pauses.values())

    def wait(self, incarnation, *, now):
        """Return the seconds until the next request may be sent."""
        pause = self.pauses.get(incarnation)
        return 0.0 if pause is None else max(0.0, pause.next_send - now)

    def reserve(self, incarnation, *, now):
        """Reserve the next request; return the seconds to wait for it."""
        pause = self.pauses.get(incarnation)
        if pause is None:
            return 0.0
        send_at = max(now, pause.next_send)
        if pause.is_shortened:
            pause.next_send = send_at + MAX_PAUSE
        elif send_at > now or now < pause.until + RETURN_SECONDS:
            pause.next_send = send_at + RETURN_SPACING
        else:
            del self.pauses[incarnation]
        return send_at - now

    def drop_ended(self, *, now):
        """Forget the pauses after which work has returned."""
        self.pauses = {
            incarnation: pause
            for incarnation, pause in self.pauses.items()
            if pause.is_shortened
            or max(pause.until + RETURN_SECONDS, pause.next_send) > now
        }
