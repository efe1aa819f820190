"""Pauses that endpoints ask for, and the return of work after them."""

from dataclasses import dataclass

__all__ = ["MAX_PAUSE", "EndpointPauses"]

# Seconds; far above the time limit of any route. In a longer pause single
# requests show whether the endpoint takes work again.
MAX_PAUSE = 300.0
MAX_TRIALS = 2  # the platform tolerates no third request in a pause
FOREVER = 1e9  # seconds; longer pauses are as long, so that times stay finite
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
        Time of its end, or of the first trial in a long pause.
    ends : float
        Latest end that the endpoint asked for.
    next_send : float
        When the next request may be sent.
    trials : int
        Requests that may still be sent before `ends`.
    """

    until: float
    ends: float
    next_send: float
    trials: int


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
        ends = now + min(seconds, FOREVER)
        known = self.pauses.get(incarnation)
        if ends <= now or (known is not None and ends <= known.ends):
            return False
        is_longer = known is not None and now < known.ends
        trials = known.trials if is_longer else MAX_TRIALS
        until = min(ends, now + MAX_PAUSE) if trials else ends
        spread = RETURN_SPREAD * min(1.0, until - now)
        self.pauses[incarnation] = _Pause(
            until=until,
            ends=ends,
            next_send=until + self.rng.uniform(0.0, spread),
            trials=trials,
        )
        return True

    def record_served(self, incarnation, *, sent, now):
        """Record an answer to a request sent at `sent` that was not refused.

        A trial lets work return in a long pause; return whether it does.
        """
        pause = self.pauses.get(incarnation)
        if pause is None or not pause.until <= sent < pause.ends:
            return False
        pause.until = pause.ends = pause.next_send = now
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
        if send_at < pause.ends:
            pause.trials -= 1
            after_end = pause.ends + self.rng.uniform(0.0, RETURN_SPREAD)
            next_trial = send_at + MAX_PAUSE if pause.trials else after_end
            pause.next_send = min(next_trial, after_end)
        elif send_at > now or now < pause.ends + RETURN_SECONDS:
            pause.next_send = send_at + RETURN_SPACING
        else:
            del self.pauses[incarnation]
        return send_at - now

    def drop_ended(self, *, now):
        """Forget the pauses after which work has returned."""
        self.pauses = {
            incarnation: pause
            for incarnation, pause in self.pauses.items()
            if max(pause.ends + RETURN_SECONDS, pause.next_send) > now
        }
