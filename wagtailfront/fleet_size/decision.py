"""Decision on how many engines of a service to order, and where."""

import math
from typing import NamedTuple

from wagtailfront.fleet_size.allocation import allocate, cost, has_enough
from wagtailfront.fleet_size.need import CHEAP, Need, find_need

__all__ = ["Decision", "Memory", "decide"]

# Seconds of demand to measure before the first engine is ordered away or
# replaced. After 8 s, callers of short days lost more than the engines cost.
MIN_MEASURED = 24.0
# Seconds for which fewer engines must have been enough; doubled after each
# reduction that was taken back within `TURN_SECONDS`.
HOLD_SECONDS = 24.0
# The same for engines that may be reclaimed, as a multiple: keeping them costs
# little, and bursts return.
SPOT_HOLD = 4.0
PEAK_HOLDS = 3.75  # holds for which the highest demand is remembered
# Factor on the need in reductions, so that the noise of the measured demand
# does not take them back; smaller where room costs the whole price.
CHEAP_MARGIN, DEAR_MARGIN = 1.1, 1.03
MAX_HOLD_SECONDS = 192.0
TURN_SECONDS = 30.0
CALM_SECONDS = 240.0  # without such a turn, until the hold is shortened again
REDUCTION_INTERVAL = 3.0  # seconds between two reductions of a service
REDUCTION_SHARE = 1 / 2  # of the engines of a place, at most, in one reduction
# Part of the engines by which all of them together may be reduced within one
# hold: what fewer engines can do is only known once fewer serve, as those that
# leave take their caches along.
EPOCH_REDUCTION = 1 / 4
MIN_COST = 1e-9
MIN_SAVING = 0.1  # of the cost, for which enough engines are replaced by others
CHECK_SLACK = 1.5  # seconds; decisions are about a second apart
MAX_REFUSED_SHARE = 0.01  # of the requests, above which engines are too few
PRESSURE_STEP, MAX_PRESSURE = 1.2, 3.0
PRESSURE_SECONDS = 60.0  # in which learned pressure falls to 1 / e
MEASURING_SECONDS = 3.0  # from a new engine to its effect on refusals


class Memory(NamedTuple):
    """What later decisions need of earlier ones.

    Attributes
    ----------
    targets : tuple of (float, dict of Place to int)
        Divisions that were best, with their times.
    reduced_at, turned_at : float
        Times of the latest reduction and of the latest one taken back.
    hold : float
        Seconds for which fewer engines must have been enough.
    pressure : float
        Factor on the need, learned from refusals.
    pressure_at : float
    epoch_engines : int
        Engines that served when the present hold began.
    epoch_at : float
    proven : tuple of (int, Demand) or None
        Engines that served a highest demand without refusals.
    """

    targets: tuple = ()
    reduced_at: float = -math.inf
    turned_at: float = -math.inf
    hold: float = HOLD_SECONDS
    pressure: float = 1.0
    pressure_at: float = -math.inf
    epoch_engines: int = 0
    epoch_at: float = -math.inf
    proven: tuple | None = None

    @property
    def peak_seconds(self):
        """Return for how long the highest demand is remembered.

        Longer where a reduction was taken back, as bursts return.
        """
        return PEAK_HOLDS * self.hold


class Decision(NamedTuple):
    """Outcome of a decision.

    Attributes
    ----------
    orders : dict of Place to int
        Engines to have, in the order in which to ask for them.
    need : Need
    target : dict of Place to int
        Division that is best.
    memory : Memory
    """

    orders: dict
    need: Need
    target: dict
    memory: Memory


def decide(situation, memory):
    """Return the Decision on a service.

    More engines are ordered at once. Fewer are ordered only when they have
    been enough for a while, in steps, and only once the engines that remain
    serve all that is needed.

    Parameters
    ----------
    situation : Situation
    memory : Memory
        Of the decision before.
    """
    memory = _update_pressure(situation, memory)
    outlook = situation.outlook
    is_cheap = _has_cheap_engines(situation)
    need = find_need(
        outlook,
        situation.ability,
        is_cheap=is_cheap,
        pressure=memory.pressure,
    )
    memory = _begin_epoch(situation, memory)
    need = need._replace(total=_bounded(need.total, situation, memory))
    target = _allocate(situation, need)
    margin = CHEAP_MARGIN if is_cheap else DEAR_MARGIN
    enough = _allocate(situation, need.times(margin))
    most = {place: max(count, target[place]) for place, count in enough.items()}
    memory = _remember(memory, most, situation.now)
    orders = _increases(situation, need, target)
    if orders:
        is_turn = situation.now - memory.reduced_at < TURN_SECONDS
        if is_turn and situation.now - memory.turned_at >= memory.hold:
            hold = min(MAX_HOLD_SECONDS, 2 * memory.hold)
            memory = memory._replace(hold=hold, turned_at=situation.now)
    elif outlook.measured >= MIN_MEASURED:
        orders = _reductions(situation, need, memory)
        if orders:
            memory = memory._replace(reduced_at=situation.now)
    return Decision(orders, need, target, memory)


def _begin_epoch(situation, memory):
    """Return the Memory with the engines that served when the hold began."""
    outlook = situation.outlook
    if outlook.refused_share > MAX_REFUSED_SHARE:
        memory = memory._replace(proven=None)
    if situation.now - memory.epoch_at < memory.hold:
        return memory
    serving = sum(each.serving for each in situation.supplies.values())
    is_proven = (
        memory.epoch_engines
        and outlook.measured >= MIN_MEASURED
        and outlook.refused_share <= MAX_REFUSED_SHARE
    )
    if is_proven:
        engines = min(serving, memory.epoch_engines)
        memory = memory._replace(proven=(engines, outlook.peak))
        serving = engines
    return memory._replace(epoch_engines=serving, epoch_at=situation.now)


def _bounded(total, situation, memory):
    """Return the engines needed, within what is known of the present ones.

    Engines that have served a demand without refusals are enough for it,
    whatever their measured ability. The first requests find empty caches, and
    show neither how fast engines are nor what callers bring.
    """
    outlook = situation.outlook
    if memory.proven is not None:
        engines, demand = memory.proven
        growth = max(
            (
                now / then
                for now, then in zip(outlook.peak, demand, strict=True)
                if then
            ),
            default=1.0,
        )
        total = min(total, engines * max(1.0, growth))
    elif outlook.measured < MIN_MEASURED and outlook.refused_share <= MAX_REFUSED_SHARE:
        total = min(total, memory.epoch_engines)
    return max(total, (1.0 - EPOCH_REDUCTION) * memory.epoch_engines)


def _allocate(situation, need):
    return allocate(
        need,
        shares=situation.outlook.shares,
        limits=_limits(situation),
        scaling=situation.scaling,
    )


def _has_cheap_engines(situation):
    return situation.scaling.spot_price <= CHEAP and any(
        place.is_spot and supply.limit is None
        for place, supply in situation.supplies.items()
    )


def _limits(situation):
    maximum = situation.scaling.maximum
    return {
        place: maximum if each.limit is None else min(maximum, each.limit)
        for place, each in situation.supplies.items()
    }


def _update_pressure(situation, memory):
    """Return the Memory with the pressure that refusals show.

    It rises only when all ordered engines serve, once per time in which an
    order shows its effect.
    """
    now = situation.now
    elapsed = now - memory.pressure_at
    if memory.pressure > 1.0 and elapsed > PRESSURE_SECONDS:
        relaxed = 1.0 + (memory.pressure - 1.0) / math.e
        memory = memory._replace(pressure=relaxed, pressure_at=now)
    is_short = situation.outlook.refused_share > MAX_REFUSED_SHARE
    is_settled = all(each.is_settled for each in situation.supplies.values())
    pause = situation.scaling.boot + MEASURING_SECONDS
    if is_short and is_settled and elapsed >= pause:
        raised = min(MAX_PRESSURE, PRESSURE_STEP * memory.pressure)
        memory = memory._replace(pressure=raised, pressure_at=now)
    return memory


def _remember(memory, target, now):
    hold = memory.hold
    if hold > HOLD_SECONDS and now - memory.turned_at > CALM_SECONDS:
        hold = max(HOLD_SECONDS, hold / 2)
        memory = memory._replace(turned_at=now)
    longest = SPOT_HOLD * hold
    kept = tuple(each for each in memory.targets if now - each[0] <= longest)
    return memory._replace(targets=(*kept, (now, target)), hold=hold)


def _increases(situation, need, target):
    """Return orders for more engines, by place.

    Places that lack most come first, until there are enough in all.
    """
    expected = situation.expected
    missing = {place: count - expected[place] for place, count in target.items()}
    saving = 1.0 - cost(target, situation.scaling) / max(
        cost(expected, situation.scaling), MIN_COST
    )
    is_worth_it = saving >= MIN_SAVING and situation.outlook.measured >= MIN_MEASURED
    orders = {}
    for place in sorted(missing, key=lambda p: (-missing[p], p)):
        if missing[place] <= 0 or has_enough(expected, need) and not is_worth_it:
            continue
        room = situation.scaling.maximum - _others_at(place, expected)
        count = min(target[place], room)
        if count > situation.supplies[place].ordered:
            orders[place] = expected[place] = count
    return orders or _way_back(situation)


def _others_at(place, counts):
    """Return the engines of the other kind in a place's data centre."""
    return counts.get(place._replace(is_spot=not place.is_spot), 0)


def _way_back(situation):
    """Return an order for one more engine if none that stays can decode.

    The platform chooses which engines leave, and they may be the last.
    """
    supplies = situation.supplies
    if any(each.decoding for each in supplies.values()) or not all(
        each.is_settled for each in supplies.values()
    ):
        return {}
    free = [
        place
        for place, count in situation.expected.items()
        if count + _others_at(place, situation.expected) < situation.scaling.maximum
        and supplies[place].limit is None
    ]
    if not free:
        return {}
    shares = situation.outlook.shares
    best = max(free, key=lambda p: (not p.is_spot, shares.get(p.data_centre, 0.0)))
    return {best: situation.expected[best] + 1}


def _reductions(situation, need, memory):
    """Return orders for fewer engines, by place."""
    now = situation.now
    if (
        now - memory.reduced_at < REDUCTION_INTERVAL
        or situation.outlook.refused_share > MAX_REFUSED_SHARE
    ):
        return {}
    wanted = {
        place: _largest_target(place, memory, situation) for place in situation.supplies
    }
    left = {
        place: min(each.serving, each.ordered)
        for place, each in situation.supplies.items()
    }
    orders = {}
    dearest = sorted(left, key=lambda place: -_price(place, situation.scaling))
    for place in dearest:
        surplus = left[place] - wanted[place]
        most = max(1, math.ceil(REDUCTION_SHARE * left[place]))
        for count in range(min(surplus, most), 0, -1):
            remaining = {**left, place: left[place] - count}
            if _may_remain(remaining, place, situation, need):
                left, orders[place] = remaining, remaining[place]
                break
    return orders


def _largest_target(place, memory, situation):
    """Return the engines that were enough for all of the hold."""
    now = situation.now
    hold = memory.hold * (SPOT_HOLD if place.is_spot else 1.0)
    if now - memory.targets[0][0] < hold - CHECK_SLACK:
        return situation.scaling.maximum
    return max(t.get(place, 0) for at, t in memory.targets if now - at <= hold)


def _price(place, scaling):
    price = scaling.prices.get(place.data_centre, 1.0)
    return price * (scaling.spot_price if place.is_spot else 1.0)


def _may_remain(remaining, place, situation, need):
    """Return whether these engines are enough, whichever ones leave."""
    sure = sum(
        max(0, each.decoding - (each.serving - remaining[other]))
        for other, each in situation.supplies.items()
    )
    count = remaining[place] + _others_at(place, remaining)
    return (
        sure >= 1
        and count >= situation.scaling.minimum
        and sum(remaining.values()) > need.in_use
        and has_enough(remaining, need)
    )
