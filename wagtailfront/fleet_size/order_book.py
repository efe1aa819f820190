"""Orders for engines of one service that are in effect or in progress."""

from typing import NamedTuple

from wagtailfront.fleet_size.situation import Supply

__all__ = ["OrderBook"]

# Seconds beyond the boot until ordered engines have registered, or those
# ordered away have begun to leave.
GRACE = 5.0
FIRST_PAUSE, MAX_PAUSE = 5.0, 80.0  # seconds without orders after a shortage
RECLAIM_SECONDS = 30.0  # in which engines that leave were ordered away


class _Placed(NamedTuple):
    """The latest order for a place; `accepted` is the latest one accepted."""

    count: int
    at: float
    accepted: tuple | None = None
    is_answered: bool = False
    is_in_flight: bool = False


class _Pause(NamedTuple):
    """A time in which a place gives no more engines."""

    until: float
    seconds: float


class OrderBook:
    """Orders of one service by place, and pauses of places without engines.

    Parameters
    ----------
    boot : float
        Seconds until a new engine serves.

    Examples
    --------
    >>> from wagtailfront.fleet_size.allocation import Place
    >>> book, place = OrderBook(boot=4.0), Place("a", True)
    >>> book.place(place, 6, serving=2, now=0.0)
    >>> book.supply(place, serving=2, decoding=2, now=1.0).expected
    6
    >>> book.record_unavailable(place, 6, now=1.0)
    >>> supply = book.supply(place, serving=2, decoding=2, now=1.5)
    >>> supply.expected, supply.limit
    (2, 2)
    """

    def __init__(self, *, boot):
        self.boot = boot
        self.placed = {}
        self.pauses = {}
        self.reduced = {}

    def place(self, place, count, *, serving, now):
        """Record a new order.

        One that is in progress ends first, so that two orders for a place
        can't overtake each other.
        """
        known = self.placed.get(place)
        if count < (serving if known is None else known.count):
            self.reduced[place] = now
        if known is None:
            self.placed[place] = _Placed(count, now)
            return
        accepted = known if known.is_answered else known.accepted
        self.placed[place] = _Placed(
            count, now, accepted, is_in_flight=known.is_in_flight
        )

    def supply(self, place, *, serving, decoding, now):
        """Return the Supply of a place, given the engines there that stay."""
        placed = self.placed.get(place)
        ordered = serving if placed is None else placed.count
        pause = self.pauses.get(place)
        is_paused = pause is not None and now < pause.until
        limit = max(serving, ordered) if is_paused else None
        is_settled = placed is None or self._is_settled(placed, now)
        return Supply(serving, ordered, decoding, is_settled, limit)

    def _is_settled(self, placed, now):
        """Return whether an order has had the time to take effect."""
        return placed.is_answered and now - placed.at >= self.boot + GRACE

    def review(self, place, *, serving, is_reclaimed, now):
        """Find shortages that the platform did not report; return whether any.

        Parameters
        ----------
        place : Place
        serving : int
            Engines there that stay.
        is_reclaimed : bool
            Whether engines that may be reclaimed leave.
        now : float
        """
        placed = self.placed.get(place)
        is_own = now - self.reduced.get(place, -RECLAIM_SECONDS) < RECLAIM_SECONDS
        is_paused = place in self.pauses and now < self.pauses[place].until
        if is_paused or placed is not None and placed.is_in_flight:
            return False
        is_missing = (
            placed is not None
            and self._is_settled(placed, now)
            and serving < placed.count
        )
        if not is_missing and (is_own or not is_reclaimed):
            return False
        self._pause(place, now)
        self.placed.pop(place, None)
        return True

    def record_unavailable(self, place, count, *, now):
        """Record that a place has no more engines of its kind to give.

        The order accepted before this one, of `count`, stays in effect.
        """
        self._pause(place, now)
        placed = self.placed.pop(place, None)
        if placed is None:
            return
        if placed.count != count:
            self.placed[place] = placed._replace(is_in_flight=False)
        elif placed.accepted is not None:
            self.placed[place] = placed.accepted

    def _pause(self, place, now):
        earlier = self.pauses.get(place)
        seconds = FIRST_PAUSE
        # A place that gives none right after a pause is asked less often.
        if earlier is not None and now < earlier.until + 2 * earlier.seconds:
            seconds = min(MAX_PAUSE, 2 * earlier.seconds)
        self.pauses[place] = _Pause(now + seconds, seconds)

    def due(self):
        """Return the orders to send, by place: new ones and unanswered ones.

        An order without an answer may have taken effect, so the same number
        is ordered again.
        """
        return {
            place: placed.count
            for place, placed in self.placed.items()
            if not placed.is_answered and not placed.is_in_flight
        }

    def record_send(self, place):
        """Record that the order of a place is in progress."""
        self.placed[place] = self.placed[place]._replace(is_in_flight=True)

    def record_answer(self, place, count, *, is_accepted, now):
        """Record that an order was accepted, or got no answer."""
        placed = self.placed.get(place)
        if placed is None:
            return
        placed = placed._replace(is_in_flight=False)
        if is_accepted and placed.count == count:
            placed = placed._replace(is_answered=True, at=now, accepted=None)
        self.placed[place] = placed
