"""Groups of engines that share a lease."""

from typing import NamedTuple

import xxhash

from wagtailfront.authority.change_rows import ChangeLimits
from wagtailfront.authority.engine_marks import target_of
from wagtailfront.authority.order_rows import Target

__all__ = ["BUCKETS", "GroupPart", "group_of", "group_parts", "wanted_targets"]

# Groups per data centre. With 19 data centres there are 76 leases of about 15
# engines each, whose renewals are 25 table writes per second.
BUCKETS = 4


class GroupPart(NamedTuple):
    """The engines of one service in one group.

    Attributes
    ----------
    engines : tuple of (str, bool)
        Name, and whether the engine checks fencing numbers.
    """

    group: str
    service: str
    engines: tuple
    limits: ChangeLimits


def group_of(engine):
    """Return the group of an engine, which never changes.

    It depends on the name and the data centre alone. If an engine changed its
    group, it would get orders under two leases, whose fencing numbers can't
    be compared.
    """
    bucket = xxhash.xxh3_64_intdigest(engine.name.encode()) % BUCKETS
    return f"{engine.data_centre}/{bucket}"


def group_parts(config):
    """Return the `GroupPart` of each group and service as a list."""
    members = {}
    for _, engine in sorted(config.engines.items()):
        members.setdefault((group_of(engine), engine.service), []).append(
            (engine.name, engine.checks_fencing)
        )
    limits = {name: _limits(config, name) for name in config.services}
    return [
        GroupPart(group, service, tuple(engines), limits[service])
        for (group, service), engines in members.items()
    ]


def _limits(config, service):
    count = sum(engine.service == service for engine in config.engines.values())
    min_serving = config.services[service].min_serving
    # At least one engine may change; a single engine never could otherwise.
    min_serving = count // 2 if min_serving is None else min(min_serving, count - 1)
    return ChangeLimits(service=service, engines=count, min_serving=max(0, min_serving))


def wanted_targets(config):
    """Return each engine's target and the version that last changed it."""
    targets = {
        name: Target(*target_of(engine)) for name, engine in config.engines.items()
    }
    revisions = {name: mark.revision for name, mark in config.engine_marks.items()}
    return targets, revisions
