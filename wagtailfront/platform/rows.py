"""Decoding of the store's rows that endpoints and operators write."""

import base64
import functools
import json
import logging
import re
from typing import Annotated, Any, Literal

import msgspec

from wagtailfront.decoding import decode_address, decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.forwarding.endpoint_directory import EndpointRecord
from wagtailfront.forwarding.routes import (
    RequestKind,
    Route,
    RoutingConfig,
    Scaling,
    Service,
    ServiceShare,
)
from wagtailfront.serving.caller_limits import CallerLimits
from wagtailfront.workspaces.keys import KeyedWorkspace, key_digest

__all__ = [
    "StoreRows",
    "read_seconds",
    "read_rows",
    "read_registry",
    "read_instance_address",
    "read_routing",
]

logger = logging.getLogger(__name__)

MS_PER_SECOND = 1000
BITS_PER_BYTE, BITS_PER_MEGABIT = 8, 1e6
DRAINING = "draining"
READ_ERRORS = (ValueError, OverflowError, msgspec.ValidationError)
MAX_SLOTS = 100_000
MAX_REASON = 160  # characters of a reason in the log
MAX_NUMBER = 2**53
# Ids are sent as a header's value.
ENDPOINT_ID = re.compile(r"[!-~]+")
MAX_VERSION = 100  # characters of a software version
ROUTING_KEY = "config"
KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAMING,
}

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
NonEmpty = Annotated[str, msgspec.Meta(min_length=1)]
# It is sent as a header's value.
WorkspaceName = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]+\Z")]


class _Wire(msgspec.Struct, rename="kebab"):
    """Base of the wire types; their field names have hyphens."""


class StoreRow(_Wire, kw_only=True):
    """Row of the store; `value` is base64, and missing if it was removed."""

    key: str
    value: str = ""
    ver: Number = 0
    removed: bool = False


class StoreRows(_Wire, kw_only=True):
    """Response to a read; `ver` is the latest version of the whole store.

    `now_ms` is its clock, which runs steadily; a value of another type is
    taken as missing, as the rows do not depend on it.
    """

    rows: list[StoreRow]
    ver: Number
    has_more: bool = False
    now_ms: Any = None

    @property
    def store_time(self):
        """Return the store's clock in seconds, or None if it is not given."""
        return read_seconds(self.now_ms)


class _Registration(_Wire, kw_only=True):
    """Registration of an engine or of an endpoint of a plain service.

    `zone` is its data centre, `slots` how many requests it processes
    concurrently, and `born` its start time in Unix milliseconds. The fields
    `sequence`, a count of its orders, and `cold-remaining-ms` are not used. An
    entry with a field of another type is not an endpoint's own. A `version` of
    its software that is too long is unknown.
    """

    service: NonEmpty
    address: NonEmpty
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    stage: Literal["prefill", "decode", ""] = ""
    born: Number = 0
    cold_remaining_ms: float = 0.0
    sequence: Number = 0
    version: str = ""
    spot: bool = False


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
    public: bool = False


class _Engine(_Wire, kw_only=True):
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    slots: Number = 0
    handle_ttl_s: float = 0.0


class _Scaling(_Wire, kw_only=True):
    min: Number = 1
    max: Number = 1
    boot_s: float = 0.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(_Wire, kw_only=True):
    name: str
    max_connections: int = 0
    health_path: str = "/health"
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Tenant(_Wire, kw_only=True):
    name: WorkspaceName
    api_keys: list[str] = []
    priority: Number | None = None


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
    tenants: list[_Tenant] | None = None


def read_seconds(milliseconds):
    """Return a time of the store's in seconds, or None if it is unreadable."""
    is_number = isinstance(milliseconds, int | float)
    if not is_number or not 0 <= milliseconds <= MAX_NUMBER:
        return None
    return milliseconds / MS_PER_SECOND


def read_rows(body):
    """Decode the store's response to a read.

    A row of another form that has a key is taken as changed and has no value;
    one without a printable key is left out.

    Raises
    ------
    ValueError
        If the response is malformed.
    """
    try:
        return decode_json(body, StoreRows)
    except ProtocolError as error:
        return _read_sound_rows(body, error)


def _read_sound_rows(body, error):
    """Decode the rows of a response one by one after an error."""
    try:
        answer = json.loads(body)
        found = msgspec.convert({**answer, "rows": []}, StoreRows)
        values = list(answer["rows"])
    except (*READ_ERRORS, KeyError, TypeError, RecursionError):
        raise ValueError(f"unreadable rows: {error}")
    rows = []
    for value in values:
        try:
            row = msgspec.convert(value, StoreRow)
            (row.key + row.value).encode()  # raises for lone surrogates
            rows.append(row)
        except READ_ERRORS as error:
            key = value.get("key") if isinstance(value, dict) else None
            _log_unreadable(f"{key!r:.80}", f"{error!s:.160}")
            if isinstance(key, str) and key.isprintable():
                rows.append(StoreRow(key=key, ver=found.ver))
    found.rows = rows
    return found


@functools.lru_cache(maxsize=256)
def _log_unreadable(key, reason):
    """Log an unreadable row, once for each key and reason."""
    logger.warning("[store] row %s is unreadable: %s", key, reason)


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
        except (ValueError, ProtocolError) as error:
            skipped[row.key] = str(error)[:MAX_REASON]
    return records


def _read_endpoint(row):
    data = base64.b64decode(row.value, validate=True)
    wire = decode_json(data, _Registration)
    host, port = decode_address(wire.address)
    if not ENDPOINT_ID.fullmatch(row.key):
        raise ValueError(f"unreadable id {row.key!r:.80}")
    return EndpointRecord(
        endpoint_id=row.key,
        service=wire.service,
        host=host,
        port=port,
        data_centre=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state == DRAINING,
        stage=wire.stage,
        started_ms=wire.born,
        software_version=_read_version(wire.version),
        is_spot=wire.spot,
    )


def _read_version(value):
    return value if len(value) <= MAX_VERSION else ""


def read_instance_address(row):
    """Return the address in an instance's row; ValueError if it has none."""
    address = base64.b64decode(row.value, validate=True).decode("ascii")
    decode_address(address)
    return address


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
        wire = decode_json(data, _Config)
        return RoutingConfig(
            version=wire.version,
            routes=tuple(_read_route(route) for route in wire.routes),
            services={s.name: _read_service(s) for s in wire.services},
            limits=_read_limits(wire.limits),
            workspaces=_read_workspaces(wire.tenants),
        )
    except (ValueError, KeyError, ProtocolError) as error:
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
        is_public=wire.public,
    )


def _read_workspaces(tenants):
    """Return each workspace by the digests of its keys, or None."""
    if tenants is None:
        return None
    return {
        key_digest(key): KeyedWorkspace(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def _read_service(wire):
    return Service(
        name=wire.name,
        max_connections=wire.max_connections,
        is_model=wire.engine is not None,
        kv_capacity_tokens=wire.engine.kv_capacity_tokens if wire.engine else 0,
        health_path=wire.health_path,
        transfer_seconds_per_token=_read_transfer_time(wire.engine),
        engine_slots=wire.engine.slots if wire.engine else 0,
        scaling=_read_scaling(wire.scaling),
        handle_lifetime=wire.engine.handle_ttl_s if wire.engine else 0.0,
    )


def _read_scaling(wire):
    if wire is None:
        return None
    return Scaling(
        minimum=wire.min,
        maximum=max(wire.min, wire.max),
        boot=wire.boot_s,
        spot_price=wire.spot_price,
        prices=wire.zone_prices,
    )


def _read_transfer_time(engine):
    """Return the seconds for a token's KV cache on an engine's link."""
    if engine is None or engine.link_mbps <= 0:
        return 0.0
    return engine.kv_token_bytes * BITS_PER_BYTE / (engine.link_mbps * BITS_PER_MEGABIT)


def _read_limits(wire):
    return CallerLimits(
        max_head=wire.max_header_bytes,
        max_body=wire.max_body_bytes,
        head_timeout=wire.header_timeout_ms / MS_PER_SECOND,
        idle_timeout=wire.idle_timeout_ms / MS_PER_SECOND,
    )
