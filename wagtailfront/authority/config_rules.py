"""Rules that a configuration change must meet, and its application."""

import ipaddress
import re

from wagtailfront.authority.engine_marks import EngineMark, marks_after_put
from wagtailfront.exception import ConfigurationError

__all__ = [
    "put_service",
    "delete_service",
    "put_engine",
    "put_endpoint",
    "set_state",
    "delete_withdrawn",
    "delete_engine",
    "record_mark",
    "put_workspace",
    "delete_workspace",
    "join_roster",
    "leave_roster",
    "require",
]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", re.ASCII)
MODEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@-]{0,126}", re.ASCII)
STATES = ("serving", "draining", "withdrawn")


def require(condition, message):
    """Raise `ConfigurationError` with `message` unless `condition` holds."""
    if not condition:
        raise ConfigurationError(message)


def check_name(kind, name):
    require(NAME.fullmatch(name), f"{name!r} is not usable as name of a {kind}")


def check_model(model):
    require(MODEL.fullmatch(model), f"{model!r} is not usable as name of a model")


def check_share(kind, share):
    require(0 < share <= 1, f"the {kind} must be above 0 and at most 1")


def check_address(address):
    """Require an IP address and a port, as in 10.0.0.1:80 or [::1]:80."""
    host, _, port = address.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ConfigurationError(f"{address!r} has no IP number") from None
    require(bracketed == (number.version == 6), f"{address!r} is not host:port")
    require(port.isascii() and port.isdigit(), f"{address!r} has no port")
    require(0 < int(port) < 65536, f"the port of {address!r} is out of range")


def put_service(config, change):
    service = change.service
    check_name("service", service.name)
    require(service.kind in ("model", "plain"), f"unknown kind {service.kind!r}")
    old = config.services.get(service.name)
    require(
        old is None or old.kind == service.kind or not entries_of(config, service.name),
        f"service {service.name} has endpoints, its kind cannot change",
    )
    if service.kind == "model":
        require(service.models, f"model service {service.name} names no model")
        require(not service.non_idempotent, "a model service has no call rules")
    else:
        require(not service.models, f"plain service {service.name} names models")
    require(
        service.min_serving is None or service.min_serving >= 0,
        "min_serving must not be negative",
    )
    used = {
        engine.model
        for engine in config.engines.values()
        if engine.service == service.name
    }
    dropped = sorted(used - set(service.models))
    require(not dropped, f"engines of {service.name} still run {', '.join(dropped)}")
    for model in (*service.models, *service.adapters):
        check_model(model)
    for rule in service.non_idempotent:
        require(rule.methods, "a call rule needs a method")
        require(rule.path_prefix.startswith("/"), "a path prefix starts with /")
    for objective in service.objectives:
        require(objective.latency > 0, "a latency target must be above 0")
        check_share("latency share", objective.latency_share)
        check_share("availability", objective.availability)
    return config._replace(services={**config.services, service.name: service})


def delete_service(config, change):
    require(change.name in config.services, f"no service {change.name}")
    left = entries_of(config, change.name)
    require(not left, f"service {change.name} still has {', '.join(left[:5])}")
    return config._replace(services=without(config.services, change.name))


def put_engine(config, change):
    engine = change.engine
    check_name("engine", engine.name)
    check_name("data centre", engine.data_centre)
    service = config.services.get(engine.service)
    require(service is not None, f"no service {engine.service}")
    require(service.kind == "model", f"service {service.name} takes no engines")
    require(
        engine.model in service.models,
        f"service {service.name} does not serve model {engine.model!r}",
    )
    unknown = set(engine.adapters) - set(service.adapters)
    require(not unknown, f"service {service.name} has no adapters {sorted(unknown)}")
    require(engine.role in ("mixed", "prefill", "decode"), "unknown role")
    check_state_and_address(config, engine)
    old = config.engines.get(engine.name)
    # The lease under which orders are sent belongs to the data centre.
    require(
        old is None or old.data_centre == engine.data_centre,
        f"engine {engine.name} cannot move to another data centre; "
        "withdraw and delete it, then add it under another name",
    )
    marks = marks_after_put(
        config.engine_marks,
        engine=engine,
        old=old,
        version=config.version + 1,
    )
    engines = {**config.engines, engine.name: engine}
    return config._replace(engines=engines, engine_marks=marks)


def put_endpoint(config, change):
    endpoint = change.endpoint
    check_name("endpoint", endpoint.name)
    check_name("data centre", endpoint.data_centre)
    service = config.services.get(endpoint.service)
    require(service is not None, f"no service {endpoint.service}")
    require(service.kind == "plain", f"service {service.name} takes no endpoints")
    check_state_and_address(config, endpoint)
    endpoints = {**config.endpoints, endpoint.name: endpoint}
    return config._replace(endpoints=endpoints)


def check_state_and_address(config, entry):
    """Check state and address; one address under two names is rejected.

    An engine known under two names would be in two lease groups and could
    get conflicting orders.
    """
    require(entry.state in STATES, f"unknown state {entry.state!r}")
    check_address(entry.address)
    others = (*config.engines.values(), *config.endpoints.values())
    taken = [
        other.name
        for other in others
        if other.address == entry.address
        and (other.name, type(other)) != (entry.name, type(entry))
    ]
    require(not taken, f"address {entry.address} is taken by {', '.join(taken)}")


def set_state(field):
    """Return the function that applies a change of state in `field`."""

    def apply(config, change):
        entries = getattr(config, field)
        require(change.name in entries, f"no {field[:-1]} {change.name}")
        require(change.state in STATES, f"unknown state {change.state!r}")
        entry = entries[change.name]._replace(state=change.state)
        return config._replace(**{field: {**entries, change.name: entry}})

    return apply


def delete_withdrawn(field):
    """Return the function that deletes a withdrawn entry of `field`."""

    def apply(config, change):
        entries = getattr(config, field)
        require(change.name in entries, f"no {field[:-1]} {change.name}")
        state = entries[change.name].state
        require(state == "withdrawn", f"{change.name} is {state}, not withdrawn")
        return config._replace(**{field: without(entries, change.name)})

    return apply


def delete_engine(config, change):
    """Delete a withdrawn engine and its mark."""
    config = delete_withdrawn("engines")(config, change)
    return config._replace(engine_marks=without(config.engine_marks, change.name))


def record_mark(config, change):
    """Record a step of a planned change unless its target was replaced."""
    old = config.engine_marks.get(change.name)
    require(old is not None, f"no engine {change.name}")
    require(
        change.revision >= old.revision,
        f"revision {change.revision} of {change.name} was replaced by {old.revision}",
    )
    new = EngineMark(
        revision=change.revision,
        running=change.running or old.running,
        draining=change.draining,
    )
    marks = {**config.engine_marks, change.name: new}
    return config._replace(engine_marks=marks)


def put_workspace(config, change):
    workspace = change.workspace
    check_name("workspace", workspace.name)
    require(0 < workspace.requests_per_s < 1e9, "requests_per_s is out of range")
    require(1 <= workspace.burst < 1e9, "burst is out of range")
    check_share("queue share", workspace.queue_share)
    workspaces = {**config.workspaces, workspace.name: workspace}
    return config._replace(workspaces=workspaces)


def delete_workspace(config, change):
    require(change.name in config.workspaces, f"no workspace {change.name}")
    return config._replace(workspaces=without(config.workspaces, change.name))


def join_roster(config, change):
    member = change.member
    check_name("incarnation", member.incarnation)
    check_name("instance", member.instance)
    check_name("data centre", member.data_centre)
    check_address(member.address)
    require(
        member.incarnation not in config.roster,
        f"incarnation {member.incarnation} is already in the roster",
    )
    return with_roster(config, {**config.roster, member.incarnation: member})


def leave_roster(config, change):
    require(
        change.incarnation in config.roster,
        f"incarnation {change.incarnation} is not in the roster",
    )
    require(len(config.roster) > 1, "the last member cannot leave the roster")
    return with_roster(config, without(config.roster, change.incarnation))


def with_roster(config, roster):
    """Return the next configuration with `roster` in place of the old one."""
    return config._replace(
        roster=roster,
        roster_version=config.version + 1,
        previous_roster=config.roster,
    )


def entries_of(config, service):
    """Return the names of the engines and endpoints of a service."""
    entries = (*config.engines.values(), *config.endpoints.values())
    return [entry.name for entry in entries if entry.service == service]


def without(entries, name):
    return {key: value for key, value in entries.items() if key != name}
