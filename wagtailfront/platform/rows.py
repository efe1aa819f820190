"""Decoding of the store's rows that endpoints and operators write."""

import base64
import logging
from typing import Annotated, Any

import msgspec

from wagtailfront.forwarding.endpoint_directory import EndpointRecord
from wagtailfront.forwarding.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingConfig,
    Service,
    ServiceShare,
)

__all__ = ["StoreRows", "read_rows", "read_registry", "read_routing"]

logger = logging.getLogger(__name__)

MS_PER_SECOND = 1000
MAX_VERSION = 100  # characters of a software version
READY, DRAINING = "ready", "draining"
ROUTING_KEY = "config"
KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAMING,
}

NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]


class _Wire(msgspec.Struct, rename="kebab"):
    """Base of the wire types; their field names have hyphens."""


class StoreRow(_Wire, kw_only=True):
    """Row of the store; `value` is base64, and missing if it was removed."""

    key: str
    value: str = ""
    ver: int = 0
    removed: bool = False


class StoreRows(_Wire, kw_only=True):
    """Response to a read; `ver` is the latest version of the whole store."""

    rows: list[StoreRow]
    ver: int
    has_more: bool = False


class _Registration(_Wire, kw_only=True):
    """Registration of an engine or of an endpoint of a plain service.

    `zone` is its data centre, `slots` how many requests it processes
    concurrently, and `born` its start time in Unix milliseconds. The field
    `sequence`, a count of its orders, is ignored. A `version` of its software
    that is no short text is unknown.
    """

    service: NonEmpty
    address: NonEmpty
    zone: str = ""
    slots: Annotated[int, msgspec.Meta(ge=1)] = 1
    state: str
    stage: str = ""
    born: int = 0
    version: Any = ""


class _Share(_Wire, kw_only=True):
    service: str
    weight: float


class _Route(_Wire, kw_only=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Engine(_Wire, kw_only=True):
    kv_capacity_tokens: int = 0


class _Service(_Wire, kw_only=True):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(_Wire, kw_only=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(_Wire, kw_only=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_rows(body):
    """Decode the store's response to a read; ValueError if it is malformed."""
    try:
        return msgspec.json.decode(body, type=StoreRows)
    except msgspec.MsgspecError as error:
        raise ValueError(f"unreadable rows: {error}")


def read_registry(rows, *, skipped=None):
    """Return the registered endpoints.

    Parameters
    ----------
    rows : iterable of StoreRow
    skipped : dict, optional
        Gets the key of each malformed row and the reason why it is skipped.

    Returns
    -------
    list of EndpointRecord
    """
    skipped = {} if skipped is None else skipped
    records = []
    for row in rows:
        try:
            records.append(_read_endpoint(row))
        except (ValueError, msgspec.MsgspecError) as error:
            skipped[row.key] = str(error)
    return records


def _read_endpoint(row):
    data = base64.b64decode(row.value, validate=True)
    wire = msgspec.json.decode(data, type=_Registration)
    host, colon, port = wire.address.rpartition(":")
    if wire.state not in (READY, DRAINING):
        raise ValueError(f"unknown state {wire.state!r}")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"unreadable address {wire.address!r}")
    return EndpointRecord(
        endpoint_id=row.key,
        service=wire.service,
        host=host,
        port=int(port),
        data_centre=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state == DRAINING,
        stage=wire.stage,
        started_ms=wire.born,
        software_version=_read_version(wire.version),
    )


def _read_version(value):
    is_usable = isinstance(value, str) and len(value) <= MAX_VERSION
    return value if is_usable else ""


def read_routing(rows):
    """Return the latest RoutingConfig in the rows, or None if there is none.

    A watch that is answered late contains several versions of the row.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    versions = [row for row in rows if row.key == ROUTING_KEY]
    row = max(versions, key=lambda row: row.ver, default=None)
    if row is None or row.removed:
        return None
    try:
        data = base64.b64decode(row.value, validate=True)
        wire = msgspec.json.decode(data, type=_Config)
        return RoutingConfig(
            version=wire.version,
            routes=tuple(_read_route(route) for route in wire.routes),
            services={s.name: _read_service(s) for s in wire.services},
            limits=_read_limits(wire.limits),
        )
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        raise ValueError(f"unreadable configuration: {error!r}")


def _read_route(wire):
    shares = tuple(
        ServiceShare(share.service, share.weight)
        for share in wire.traffic_split
        if share.weight > 0
    )
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=KINDS[wire.kind],
        shares=shares or (ServiceShare(wire.service, 1.0),),
        timeout=wire.timeout_ms / MS_PER_SECOND,
        target_latency=wire.target_latency_ms / MS_PER_SECOND,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        is_resumable=wire.resumable,
        gap_target=wire.gap_aim_ms / MS_PER_SECOND,
    )


def _read_service(wire):
    return Service(
        name=wire.name,
        max_connections=wire.max_connections,
        is_model=wire.engine is not None,
        kv_capacity_tokens=wire.engine.kv_capacity_tokens if wire.engine else 0,
    )


def _read_limits(wire):
    return CallerLimits(
        max_head=wire.max_header_bytes,
        max_body=wire.max_body_bytes,
        head_timeout=wire.header_timeout_ms / MS_PER_SECOND,
        idle_timeout=wire.idle_timeout_ms / MS_PER_SECOND,
    )
