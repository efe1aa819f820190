"""Reservation of engines for short work."""

import math

from wagtailfront.decisions.routing import reserve_order

__all__ = ["MovingRate", "ShortReserve"]

# Short work, in engines, below which none is reserved.
MIN_SHORT_LOAD = 0.02


class MovingRate:
    """Exponentially weighted moving average of amounts per second.

    Parameters
    ----------
    seconds : float
        Time constant of the average.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.rate = 0.0
        self.at = None

    def add(self, amount, now):
        """Count an amount."""
        self.rate = self.value(now) + amount / self.seconds
        self.at = now

    def value(self, now):
        """Return the present rate per second."""
        if self.at is None:
            return 0.0
        return self.rate * math.exp((self.at - now) / self.seconds)


class ShortReserve:
    """Chooses engines that get no long work while there is short work.

    Parameters
    ----------
    engines : sequence of str
    instances : int
        Number of instances; the fleet's short work is estimated as the
        instance's own times this.
    settings : PolicySettings
    """

    def __init__(self, *, engines, instances, settings):
        self.order = reserve_order(engines)
        self.instances = instances
        self.settings = settings
        self.rate = MovingRate(settings.reserve_window)
        self.needed = 0
        self.reserved = ()

    def sent(self, cost, now):
        """Count short work sent, in engine-seconds."""
        self.rate.add(cost, now)

    def update(self, now, *, long_work, ejected):
        """Recompute the reserved engines.

        Parameters
        ----------
        long_work : float
            Number of engines that long work keeps busy, from the load
            reports, which are the same for all instances.
        ejected : container of str
            Engines that get no work.
        """
        active = [name for name in self.order if name not in ejected]
        needed = (
            self.rate.value(now) * self.instances / self.settings.reserve_utilisation
        )
        # Hysteresis of 1.2 engines prevents oscillation.
        if needed > self.needed or needed < self.needed - 1.2:
            self.needed = math.ceil(needed)
        if needed < MIN_SHORT_LOAD:
            self.needed = 0
        min_open = math.ceil(self.settings.min_open * len(active))
        opened = max(min_open, math.ceil(long_work / self.settings.long_utilisation))
        spare = len(active) - opened if self.needed else 0
        count = min(max(self.needed, spare), len(active) - min_open)
        self.reserved = tuple(active[: max(0, count)])
