"""Plan of engines' stages: prefill or decode."""

import itertools
from collections import Counter
from typing import NamedTuple

from wagtailfront.forwarding.placement import PREFILL

__all__ = ["StageChange", "plan_stages"]

DECODE = "decode"


class StageChange(NamedTuple):
    """An engine, as an EndpointRecord, and its planned stage."""

    record: object
    stage: str


def plan_stages(records, *, prefill_share):
    """Return the changes that bring a service to a share of prefill engines.

    With long prompts and short outputs, prefill engines are at their limit
    while decode engines have most of their slots free. Each stage keeps at
    least one engine, and each data centre about its share of both stages, so
    that KV caches need not leave it.

    Parameters
    ----------
    records : iterable of EndpointRecord
        Engines of one service.
    prefill_share : float
        Share of the engines to run in the prefill stage.

    Returns
    -------
    list of StageChange
    """
    engines = sorted(
        (record for record in records if record.stage and not record.is_leaving),
        key=lambda record: record.endpoint_id,
    )
    if len(engines) < 2:
        return []
    wanted = min(max(1, round(prefill_share * len(engines))), len(engines) - 1)
    prefill_engines = [record for record in engines if record.stage == PREFILL]
    prefill_deficit = wanted - len(prefill_engines)
    stage = PREFILL if prefill_deficit > 0 else DECODE
    donors = [record for record in engines if record.stage != stage]
    chosen = itertools.islice(_spread(donors), abs(prefill_deficit))
    return [StageChange(record, stage) for record in chosen]


def _spread(records):
    """Yield records, each from the data centre that has most of them left."""
    left = Counter(record.data_centre for record in records)
    waiting = list(records)
    while waiting:
        record = max(waiting, key=lambda record: left[record.data_centre])
        waiting.remove(record)
        left[record.data_centre] -= 1
        yield record
