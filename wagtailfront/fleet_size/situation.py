"""Inputs of the decision on the engines of a service."""

from typing import NamedTuple

from wagtailfront.fleet_size.allocation import Place

__all__ = ["Situation", "Supply", "find_places"]


class Supply(NamedTuple):
    """Engines of one kind in one data centre.

    Attributes
    ----------
    serving : int
        Those that are there and stay.
    ordered : int
        Those that the latest order asked for, or `serving` without one.
    decoding : int
        Those of `serving` that can decode.
    is_settled : bool
        Whether the latest order has had the time to take effect.
    limit : int or None
        Engines that can be had; None if that is not known to be limited.
    """

    serving: int
    ordered: int
    decoding: int
    is_settled: bool = True
    limit: int | None = None

    @property
    def expected(self):
        """Return the engines that serve once the order has taken effect."""
        return self.serving if self.is_settled else self.ordered


class Situation(NamedTuple):
    """Inputs of a decision on one service.

    Attributes
    ----------
    now : float
    outlook : Outlook
    ability : EngineAbility
    scaling : Scaling
    supplies : dict of Place to Supply
        All places in which engines may be ordered.
    """

    now: float
    outlook: object
    ability: object
    scaling: object
    supplies: dict

    @property
    def expected(self):
        """Return the engines expected to serve soon, by place."""
        return {place: each.expected for place, each in self.supplies.items()}


def find_places(scaling, records):
    """Return the places in which engines of a service may be ordered.

    Parameters
    ----------
    scaling : Scaling
    records : iterable of EndpointRecord
        Engines of the service; their places are among them in any case.
    """
    kinds = (False, True) if scaling.spot_price < 1.0 else (False,)
    named = {Place(name, kind) for name in scaling.prices for kind in kinds}
    present = {Place(record.data_centre, record.is_spot) for record in records}
    return sorted(named | present)
