"""Which engines read prompts only and which generate."""

import itertools
from collections import Counter
from typing import NamedTuple

from wagtailfront.forwarding.placement import PREFILL

__all__ = ["StageChange", "plan_stages"]

DECODE = "decode"


class StageChange(NamedTuple):
    """An engine, as an EndpointRecord, and the stage that it is to have."""

    record: object
    stage: str


def plan_stages(records, *, prefill_share):
    """Return the changes that bring a service to a share of prefill engines.

    Answers long prompts with short answers: the engines that only read are
    at their limit while those that generate have most of their places free.
    Both stages keep an engine, and each data centre keeps about its share of
    both, so that KV caches need not leave it.

    Parameters
    ----------
    records : iterable of EndpointRecord
        Engines of one service.
    prefill_share : float
        Share of the engines that is to read prompts only.

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
    reading = [record for record in engines if record.stage == PREFILL]
    more = wanted - len(reading)
    stage = PREFILL if more > 0 else DECODE
    donors = [record for record in engines if record.stage != stage]
    chosen = itertools.islice(_spread(donors), abs(more))
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
