"""Configuration of the fleet as immutable values, and changes to it."""

from collections.abc import Callable
from operator import attrgetter
from typing import Any, NamedTuple

import msgspec

from wagtailfront.authority import config_rules as rules
from wagtailfront.authority.config_entries import (
    EMPTY,
    Configuration,
    Endpoint,
    Engine,
    NonIdempotentRule,
    Objective,
    RosterMember,
    Service,
    State,
    Workspace,
)
from wagtailfront.authority.engine_marks import EngineTarget
from wagtailfront.decoding import decode_json

__all__ = [
    "NonIdempotentRule",
    "Objective",
    "Service",
    "Engine",
    "Endpoint",
    "Workspace",
    "RosterMember",
    "Configuration",
    "PutService",
    "DeleteService",
    "PutEngine",
    "DeleteEngine",
    "SetEngineState",
    "MarkEngine",
    "PutEndpoint",
    "DeleteEndpoint",
    "SetEndpointState",
    "PutWorkspace",
    "DeleteWorkspace",
    "JoinRoster",
    "LeaveRoster",
    "Batch",
    "Change",
    "EMPTY",
    "apply_change",
    "resources_touched",
    "is_roster_change",
    "encode_configuration",
    "decode_configuration",
    "encode_change",
    "decode_change",
]


class ChangeBase(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all changes; the tag is the class name."""


class PutService(ChangeBase):
    """Add or replace a service."""

    service: Service


class DeleteService(ChangeBase):
    """Delete a service that has neither engines nor endpoints."""

    name: str


class PutEngine(ChangeBase):
    """Add or replace an engine."""

    engine: Engine


class DeleteEngine(ChangeBase):
    """Delete a withdrawn engine."""

    name: str


class SetEngineState(ChangeBase):
    """Set the state of an engine."""

    name: str
    state: State


class MarkEngine(ChangeBase):
    """Record a step of a planned change; never sent by operators.

    Attributes
    ----------
    revision : int
        Revision of the target that the step belongs to; one older than the
        engine's current revision is rejected.
    running : EngineTarget or None
        What the engine runs now; None leaves the recorded value.
    """

    name: str
    revision: int
    draining: bool
    running: EngineTarget | None = None


class PutEndpoint(ChangeBase):
    """Add or replace an endpoint."""

    endpoint: Endpoint


class DeleteEndpoint(ChangeBase):
    """Delete a withdrawn endpoint."""

    name: str


class SetEndpointState(ChangeBase):
    """Set the state of an endpoint."""

    name: str
    state: State


class PutWorkspace(ChangeBase):
    """Add or replace a workspace."""

    workspace: Workspace


class DeleteWorkspace(ChangeBase):
    """Delete a workspace."""

    name: str


class JoinRoster(ChangeBase):
    """Add an instance incarnation to the roster."""

    member: RosterMember


class LeaveRoster(ChangeBase):
    """Remove an instance incarnation from the roster."""

    incarnation: str


RosterChange = JoinRoster | LeaveRoster
SimpleChange = (
    PutService
    | DeleteService
    | PutEngine
    | DeleteEngine
    | SetEngineState
    | MarkEngine
    | PutEndpoint
    | DeleteEndpoint
    | SetEndpointState
    | PutWorkspace
    | DeleteWorkspace
)


class Batch(ChangeBase):
    """Several changes that take effect as one version."""

    changes: tuple[SimpleChange, ...]


Change = SimpleChange | RosterChange | Batch


def apply_change(config, change):
    """Return the configuration that follows `config` by `change`.

    Parameters
    ----------
    config : Configuration
    change : Change

    Returns
    -------
    Configuration
        Its version is one above that of `config`.

    Raises
    ------
    ConfigurationError
        If the change is not valid for `config`.

    Examples
    --------
    >>> service = Service(name="member-ledger", kind="plain")
    >>> apply_change(EMPTY, PutService(service=service)).version
    1
    """
    changes = change.changes if isinstance(change, Batch) else (change,)
    rules.require(changes, "a batch needs at least one change")
    result = config
    for item in changes:
        result = CHANGE_RULES[type(item)].apply(result, item)
    return result._replace(version=config.version + 1)


class ChangeRule(NamedTuple):
    """How one type of change names its resource and is applied."""

    kind: str
    name_of: Callable[[Any], str]
    apply: Callable[[Configuration, Any], Configuration]


NAME_OF = attrgetter("name")
CHANGE_RULES = {
    PutService: ChangeRule("service", attrgetter("service.name"), rules.put_service),
    DeleteService: ChangeRule("service", NAME_OF, rules.delete_service),
    PutEngine: ChangeRule("engine", attrgetter("engine.name"), rules.put_engine),
    DeleteEngine: ChangeRule("engine", NAME_OF, rules.delete_engine),
    MarkEngine: ChangeRule("mark", NAME_OF, rules.record_mark),
    SetEngineState: ChangeRule("engine", NAME_OF, rules.set_state("engines")),
    PutEndpoint: ChangeRule(
        "endpoint", attrgetter("endpoint.name"), rules.put_endpoint
    ),
    DeleteEndpoint: ChangeRule(
        "endpoint", NAME_OF, rules.delete_withdrawn("endpoints")
    ),
    SetEndpointState: ChangeRule("endpoint", NAME_OF, rules.set_state("endpoints")),
    PutWorkspace: ChangeRule(
        "workspace", attrgetter("workspace.name"), rules.put_workspace
    ),
    DeleteWorkspace: ChangeRule("workspace", NAME_OF, rules.delete_workspace),
    JoinRoster: ChangeRule(
        "roster", attrgetter("member.incarnation"), rules.join_roster
    ),
    LeaveRoster: ChangeRule("roster", attrgetter("incarnation"), rules.leave_roster),
}


def resources_touched(change):
    """Return the names of the resources that a change writes.

    Examples
    --------
    >>> resources_touched(SetEngineState(name="e1", state="draining"))
    frozenset({'engine/e1'})
    """
    if isinstance(change, Batch):
        return frozenset().union(*map(resources_touched, change.changes))
    rule = CHANGE_RULES[type(change)]
    return frozenset({f"{rule.kind}/{rule.name_of(change)}"})


def is_roster_change(change):
    """Return whether a change alters the roster."""
    return isinstance(change, JoinRoster | LeaveRoster)


def encode_configuration(config):
    """Return a configuration as JSON bytes."""
    return msgspec.json.encode(config)


def decode_configuration(data):
    """Return the configuration that `encode_configuration` wrote.

    Raises
    ------
    ProtocolError
        If `data` is not such JSON.
    """
    return decode_json(data, Configuration)


def encode_change(change):
    """Return a change as JSON bytes."""
    return msgspec.json.encode(change)


def decode_change(data):
    """Return the change that `encode_change` wrote.

    Raises
    ------
    ProtocolError
        If `data` is not such JSON.
    """
    return decode_json(data, Change)
