"""Deployment files: the wanted services, engines, endpoints and workspaces.

A deployment file is TOML with one table per resource. Its name is the key:

    [services.desk-assist]
    kind = "model"                # or "plain"
    models = ["stall-7b"]         # model services: at least one
    adapters = ["recipes"]        # optional
    min_serving = 3               # optional; default: half of the engines

    [[services.desk-assist.objectives]]
    request_class = "short"
    latency = 0.77                # seconds to first token or whole response
    latency_share = 0.95          # share of requests within the latency
    availability = 0.999          # share of requests that are answered

    [[services.member-ledger.non_idempotent]]   # plain services only
    methods = ["POST"]
    path_prefix = "/bookings"

    [engines.desk-1]
    service = "desk-assist"
    address = "127.0.0.1:21001"   # IP address and port
    data_centre = "brum"
    model = "stall-7b"
    version = "1"
    adapters = ["recipes"]        # optional
    role = "mixed"                # optional; or "prefill", "decode"
    checks_fencing = true         # optional; false: accepts stale orders

    [endpoints.ledger-1]
    service = "member-ledger"
    address = "127.0.0.1:21101"
    data_centre = "brum"

    [workspaces.stalls]
    requests_per_s = 50.0
    burst = 100.0                 # requests
    queue_share = 0.5             # optional; default 1
    key_digest = "..."            # optional; SHA-256 of the API key

The file does not state whether engines and endpoints serve or drain.
"""

import tomllib
import types
import typing

from wagtailfront.authority import config_state as state
from wagtailfront.exception import ConfigurationError, DeploymentError

__all__ = ["read_deployment", "parse_deployment"]

SECTIONS = {
    "services": (state.Service, state.PutService, "service"),
    "engines": (state.Engine, state.PutEngine, "engine"),
    "endpoints": (state.Endpoint, state.PutEndpoint, "endpoint"),
    "workspaces": (state.Workspace, state.PutWorkspace, "workspace"),
}
NOT_IN_FILE = {"name", "state"}
TYPE_NAMES = {str: "a string", bool: "true or false", int: "a whole number"}


def read_deployment(path):
    """Return the configuration in a file, as version 0.

    Parameters
    ----------
    path : Path

    Raises
    ------
    DeploymentError
        Naming the file and the key, or the line of a syntax error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DeploymentError(f"{path}: {error}")
    try:
        return parse_deployment(text)
    except DeploymentError as error:
        raise DeploymentError(f"{path}: {error}")


def parse_deployment(text):
    """Return the configuration in a text, as version 0.

    Raises
    ------
    DeploymentError
        Naming the key, or the line of a syntax error.

    Examples
    --------
    >>> parse_deployment('[engine.desk-1]')
    Traceback (most recent call last):
    ...
    wagtailfront.exception.DeploymentError: engine: is not one of services, ...
    """
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise DeploymentError(str(error))
    unknown = sorted(set(document) - set(SECTIONS))
    if unknown:
        raise DeploymentError(f"{unknown[0]}: is not one of {', '.join(SECTIONS)}")
    config = state.EMPTY
    for section, (entry_type, change, field) in SECTIONS.items():
        tables = _check_table(section, document.get(section, {}))
        for name, table in tables.items():
            key = f"{section}.{name}"
            entry = _parse_entry(key, _check_table(key, table), entry_type, name=name)
            try:
                config = state.apply_change(config, change(**{field: entry}))
            except ConfigurationError as error:
                raise DeploymentError(f"{key}: {error}")
    return config._replace(version=0)


def _check_table(key, value):
    if not isinstance(value, dict):
        raise DeploymentError(f"{key}: is not a table")
    return value


def _parse_entry(key, table, entry_type, **fixed):
    """Return the NamedTuple of type `entry_type` for a table."""
    hints = {
        name: hint
        for name, hint in typing.get_type_hints(entry_type).items()
        if name not in (NOT_IN_FILE if fixed else ())
    }
    unknown = sorted(set(table) - set(hints))
    if unknown:
        raise DeploymentError(
            f"{key}.{unknown[0]}: is not one of {', '.join(sorted(hints))}"
        )
    missing = sorted(set(hints) - set(table) - set(entry_type._field_defaults))
    if missing:
        raise DeploymentError(f"{key}.{missing[0]}: is missing")
    values = {
        name: _parse_value(f"{key}.{name}", value, hints[name])
        for name, value in table.items()
    }
    return entry_type(**fixed, **values)


def _parse_value(key, value, hint):
    """Return a value from the file, validated against a type hint."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple:
        if not isinstance(value, list):
            raise DeploymentError(f"{key}: is not a list")
        return tuple(
            _parse_value(f"{key}[{index}]", item, arguments[0])
            for index, item in enumerate(value)
        )
    if origin is typing.Literal:
        if value not in arguments:
            raise DeploymentError(f"{key}: is not one of {', '.join(arguments)}")
        return value
    if origin in (typing.Union, types.UnionType):
        (hint,) = (item for item in arguments if item is not type(None))
        return _parse_value(key, value, hint)
    if hasattr(hint, "_fields"):
        return _parse_entry(key, _check_table(key, value), hint)
    if hint is float:
        return _parse_number(key, value)
    if type(value) is not hint:
        raise DeploymentError(f"{key}: is not {TYPE_NAMES[hint]}")
    if hint is str and (len(value) > 256 or not value.isprintable()):
        raise DeploymentError(f"{key}: is not at most 256 printable characters")
    return value


def _parse_number(key, value):
    if type(value) not in (int, float) or not abs(value) < 1e12:
        raise DeploymentError(f"{key}: is not a number")
    return float(value)
