"""Engines that a service's demand takes."""

from typing import NamedTuple

from wagtailfront.forwarding.placement import (
    DECODE_ENGINE_PREFILL_RATE,
    PREFILL,
    PREFILL_RATE,
)

__all__ = [
    "EngineAbility",
    "Need",
    "Utilisation",
    "find_need",
    "measure_ability",
    "nominal_rate",
]

# Bounds of the slowness that is believed.
MIN_SLOWNESS, MAX_SLOWNESS = 1 / 16, 16.0


class EngineAbility(NamedTuple):
    """What one engine of a service can do, on average; 0 if not known.

    Attributes
    ----------
    prefill : float
        Prompt tokens per second.
    slots : float
        Requests at a time.
    memory : float
        Tokens of KV cache.
    """

    prefill: float
    slots: float
    memory: float


class Utilisation(NamedTuple):
    """Part of an engine's prefill time, slots and memory that is in use."""

    prefill: float
    slots: float
    memory: float


# Typical use while all engines are there. Bursts of 1.9 times as much take it
# to the limit of an engine, sooner than a new engine can serve.
# Prefill waits most, and parts of prompts that are used again take about half
# of the memory.
AMPLE = Utilisation(prefill=0.5, slots=0.55, memory=0.45)
# The same where room for bursts costs the whole price of an engine.
TIGHT = Utilisation(prefill=0.75, slots=0.78, memory=0.65)
# Use at the highest rate of the last minutes, where engines are cheap and
# where they are not: a queue that a burst leaves for some seconds costs less
# then than engines that wait for the next burst.
PEAK = Utilisation(prefill=0.9, slots=0.92, memory=0.85)
TIGHT_PEAK = Utilisation(prefill=1.1, slots=0.95, memory=0.9)
# Typical use after the loss of all engines that may be reclaimed of one data
# centre; waves reach 1.27 times as much.
AFTER_LOSS = Utilisation(prefill=0.72, slots=0.75, memory=0.65)
# Price of an engine that may be reclaimed, relative to others, up to which
# room for bursts is bought.
CHEAP = 0.5


class Need(NamedTuple):
    """Engines to have, in units of one engine.

    Attributes
    ----------
    total : float
        With all engines there.
    after_loss : float
        After the loss of those of one data centre that may be reclaimed.
    in_use : float
        Engines that the demand takes without any room.
    """

    total: float
    after_loss: float
    in_use: float

    def times(self, factor):
        """Return the need multiplied by a factor."""
        return Need(*(factor * each for each in self))


def measure_ability(records, service, slowness):
    """Return the EngineAbility of the mean engine among some.

    Parameters
    ----------
    records : list of EndpointRecord
    service : Service
    slowness : callable
        Returns the observed slowness of an engine, or None.

    Notes
    -----
    Engines that only prefill hold no streams, and those that decode prefill
    at half the speed, so the mean follows the stages that engines have.
    """
    if not records:
        return EngineAbility(
            DECODE_ENGINE_PREFILL_RATE,
            float(service.engine_slots),
            float(service.kv_capacity_tokens),
        )
    rates = [_prefill_rate(r, slowness(r)) for r in records]
    decoding = [r for r in records if r.stage != PREFILL]
    part = len(decoding) / len(records) if decoding else 1.0
    slots = sum(r.slots or service.engine_slots for r in decoding or records)
    return EngineAbility(
        sum(rates) / len(rates) if service.is_model else 0.0,
        slots / len(records),
        part * service.kv_capacity_tokens,
    )


def nominal_rate(stage):
    """Return the prompt tokens per second at a slowness of 1."""
    return PREFILL_RATE if stage == PREFILL else DECODE_ENGINE_PREFILL_RATE


def _prefill_rate(record, slowness):
    rate = nominal_rate(record.stage)
    return rate / min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness or 1.0))


def find_need(outlook, ability, *, is_cheap, pressure=1.0):
    """Return the Need that an Outlook implies.

    Parameters
    ----------
    outlook : Outlook
    ability : EngineAbility
    is_cheap : bool
        Whether room for bursts is cheap.
    pressure : float, optional
        Factor learned from refusals beside engines that seemed enough.

    Examples
    --------
    >>> from wagtailfront.fleet_size.demand import Demand, Outlook
    >>> typical, peak = Demand(100_000.0, 20.0, 90_000.0), Demand(120_000.0)
    >>> outlook = Outlook(typical, peak, typical, {"a": 1.0}, 0.0, 60.0)
    >>> engine = EngineAbility(50_000.0, 64.0, 400_000.0)
    >>> [round(each, 2) for each in find_need(outlook, engine, is_cheap=True)]
    [4.0, 2.78, 2.0]
    """
    typical = outlook.typical
    steady = _engines(typical, ability, AMPLE if is_cheap else TIGHT)
    peak = _engines(outlook.peak, ability, PEAK if is_cheap else TIGHT_PEAK)
    return Need(
        total=pressure * max(steady, peak),
        after_loss=pressure * _engines(typical, ability, AFTER_LOSS),
        in_use=_engines(outlook.recent, ability, Utilisation(1.0, 1.0, 1.0)),
    )


def _engines(demand, ability, utilisation):
    """Return the engines for a demand, at a utilisation of each."""
    return max(
        (
            wanted / (able * use)
            for wanted, able, use in zip(demand, ability, utilisation, strict=True)
            if able
        ),
        default=0.0,
    )
