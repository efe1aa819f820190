"""Division of a service's engines over data centres and kinds."""

import math
from typing import NamedTuple

__all__ = ["Place", "allocate", "cost", "has_enough"]

# Part of the engines needed after a loss that may not be reclaimed: those of
# several data centres can be reclaimed at the same time.
OTHERS_SHARE = 0.15
STEPS = 6  # numbers of others that are compared
MIN_WEIGHT = 1e-3  # of a data centre without demand


class Place(NamedTuple):
    """Engines of one kind in one data centre."""

    data_centre: str
    is_spot: bool


def has_enough(counts, need):
    """Return whether engines carry the load, also after one loss.

    Parameters
    ----------
    counts : Mapping of Place to int
    need : Need

    Examples
    --------
    >>> from wagtailfront.fleet_size.need import Need
    >>> spots = {Place(name, True): 2 for name in "abc"}
    >>> [has_enough(spots, Need(6, lost, 3)) for lost in (4, 5)]
    [True, False]
    """
    total = sum(counts.values())
    lost = max((count for place, count in counts.items() if place.is_spot), default=0)
    return total >= need.total and total - lost >= need.after_loss


def cost(counts, scaling):
    """Return the price of engines per second."""
    return sum(
        count
        * scaling.prices.get(place.data_centre, 1.0)
        * (scaling.spot_price if place.is_spot else 1.0)
        for place, count in counts.items()
    )


def allocate(need, *, shares, limits, scaling):
    """Return the cheapest division that carries the load, by Place.

    Parameters
    ----------
    need : Need
    shares : Mapping of str to float
        Part of the demand that each data centre brings.
    limits : Mapping of Place to int
        Engines that can be had there; no other places are used.
    scaling : Scaling

    Returns
    -------
    dict of Place to int
        As many engines as there can be, if there can't be enough.

    Examples
    --------
    >>> from wagtailfront.fleet_size.need import Need
    >>> from wagtailfront.forwarding.routes import Scaling
    >>> scaling = Scaling(1, 30, 4.0, 0.18, {"a": 1.0, "b": 1.0})
    >>> kinds = (False, True)
    >>> limits = {Place(name, kind): 30 for name in "ab" for kind in kinds}
    >>> need = Need(8, 5, 4)
    >>> found = allocate(need, shares={}, limits=limits, scaling=scaling)
    >>> [found[place] for place in sorted(limits)]
    [1, 4, 0, 4]
    """
    weights = {
        name: (shares.get(name, 0.0 if shares else 1.0) + MIN_WEIGHT)
        / scaling.prices.get(name, 1.0)
        for name in sorted({place.data_centre for place in limits})
    }
    total = math.ceil(need.total)
    fewest = min(total, math.ceil(OTHERS_SHARE * need.after_loss))
    step = max(1, math.ceil((total - fewest) / STEPS))
    options = []
    for others in {*range(fewest, total, step), total}:
        counts = _divide(others, need, weights, limits, scaling)
        short = _shortage(counts, need)
        options.append((short, cost(counts, scaling), others, counts))
    return min(options, key=lambda option: option[:3])[3]


def _divide(others, need, weights, limits, scaling):
    """Return the division with some engines that can't be reclaimed."""
    room = {name: scaling.maximum for name in weights}
    counts = _spread(others, False, weights, limits, room)
    spots = math.ceil(need.total) - others
    # Each further one adds to what is left after a loss, or to the largest.
    for _ in range(len(weights) + 1):
        found = {**counts, **_spread(spots, True, weights, limits, room)}
        short = _shortage(found, need)
        if short <= 0:
            break
        spots += math.ceil(short)
    return _fill_minimum(found, limits, scaling)


def _shortage(counts, need):
    total = sum(counts.values())
    lost = max((count for place, count in counts.items() if place.is_spot), default=0)
    return max(0.0, need.total - total, need.after_loss - (total - lost))


def _spread(count, is_spot, weights, limits, room):
    """Return a count divided by weights, within limits.

    `room` has the places left in each data centre; others use it up.
    """
    places = {
        place: min(limit, room[place.data_centre])
        for place, limit in limits.items()
        if place.is_spot == is_spot
    }
    each = {place: _weight(place, weights) for place in places}
    whole = sum(each.values())
    found = {
        place: min(limit, int(count * each[place] / whole))
        for place, limit in places.items()
    }
    for _ in range(count - sum(found.values())):
        free = [place for place in places if found[place] < places[place]]
        if not free:
            break
        best = max(free, key=lambda p: each[p] / (found[p] + 0.5))
        found[best] += 1
    if not is_spot:
        for place, number in found.items():
            room[place.data_centre] -= number
    return found


def _weight(place, weights):
    """Return a place's weight.

    Engines that may be reclaimed are divided more evenly than the demand, so
    that the loss of a data centre's takes fewer.
    """
    weight = weights[place.data_centre]
    return math.sqrt(weight) if place.is_spot else weight


def _fill_minimum(counts, limits, scaling):
    """Return counts with at least the minimum in each data centre."""
    counts = dict(counts)
    for name in {place.data_centre for place in counts}:
        kinds = [Place(name, True), Place(name, False)]
        if scaling.spot_price >= 1.0:
            kinds.reverse()
        missing = scaling.minimum - sum(counts.get(place, 0) for place in kinds)
        for place in kinds:
            added = min(missing, limits.get(place, 0) - counts.get(place, 0))
            if added > 0:
                counts[place] = counts.get(place, 0) + added
                missing -= added
    return counts
