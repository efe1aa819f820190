"""Dependencies that all requests of an instance share."""

from typing import Any, NamedTuple

__all__ = ["ForwardContext"]


class ForwardContext(NamedTuple):
    """Dependencies of a ForwardTask, shared by all tasks of an instance.

    `confirm_registry` is called with a callable, which gets whether the
    directory has the endpoints that are registered from the call on.
    `record_run` is called with a workspace or None, and how many seconds ago
    an engine began to run a request.
    """

    data_centre: str
    dialect: Any
    directory: Any
    confirm_registry: Any
    health: Any
    reach: Any
    proxies: Any
    rate_limits: Any
    notices: Any
    pool: Any
    body_memory: Any
    timers: Any
    budgets: Any
    evidence: Any
    crashing_parts: Any
    prefix_caches: Any
    load: Any
    streams: Any
    admission: Any
    room: Any
    log: Any
    metrics: Any
    work: Any
    clock: Any
    rng: Any
    record_run: Any = lambda workspace, *, age: None
