"""Conversion of operators' calls to typed configuration changes."""

import re
from collections.abc import Callable
from typing import NamedTuple

from wagtailfront.authority import config_state as state
from wagtailfront.identifiers import new_id
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.connect import ConnectError
from wagtailfront.operators.messages import (
    MessageError,
    change_from_message,
    from_message,
)

__all__ = ["CHANGE_CALLS", "ProposedChange", "ChangeCall", "read_change"]

CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
RESERVED_PREFIX = "roster-"  # change ids that instances generate
MAX_BATCH = 1_000  # changes in one call
INSTANCE_ONLY_CHANGES = (state.JoinRoster, state.LeaveRoster, state.MarkEngine)


class ProposedChange(NamedTuple):
    """A change and the configuration version that it is based on."""

    change: state.Change
    base_version: int
    change_id: str


class ChangeCall(NamedTuple):
    """Request type of a call and the function that makes its change."""

    request: type
    make: Callable


def read_change(call, request, config):
    """Return the change that a call proposes.

    Parameters
    ----------
    call : ChangeCall
    request : message
    config : Configuration
        The configuration that this instance has applied. Calls that set some
        fields of a resource copy the others from it; this is safe because a
        proposal fails if the resource changed after the base version.

    Raises
    ------
    ConnectError
    """
    if not request.HasField("header"):
        raise ConnectError("invalid_argument", "header.base_version is not given")
    base_version, change_id = request.header.base_version, request.header.change_id
    if base_version > config.version:
        text = f"this instance has applied version {config.version} so far"
        raise ConnectError("unavailable", text)
    if change_id and (
        not CHANGE_ID.fullmatch(change_id) or change_id.startswith(RESERVED_PREFIX)
    ):
        raise ConnectError("invalid_argument", "header.change_id is not usable")
    try:
        change = call.make(request, config)
    except MessageError as error:
        raise ConnectError("invalid_argument", str(error))
    return ProposedChange(change, base_version, change_id or new_id())


def _create_service(request, config):
    if request.service.name in config.services:
        raise ConnectError("already_exists", f"service {request.service.name} exists")
    return state.PutService(service=from_message(request.service, state.Service))


def _update_service(request, config):
    _find(config.services, "service", request.service.name)
    return state.PutService(service=from_message(request.service, state.Service))


def _set_service_models(request, config):
    service = _find(config.services, "service", request.service)
    wanted = pb.Service(models=request.models, adapters=request.adapters, kind=1)
    wanted = from_message(wanted, state.Service)
    return state.PutService(
        service=service._replace(models=wanted.models, adapters=wanted.adapters)
    )


def _put_engine(request, config):
    return state.PutEngine(engine=from_message(request.engine, state.Engine))


def _put_endpoint(request, config):
    return state.PutEndpoint(endpoint=from_message(request.endpoint, state.Endpoint))


def _set_engine(request, config):
    engine = _find(config.engines, "engine", request.engine)
    wanted = pb.Engine(role=request.role)
    fields = [name for name in ("model", "version") if request.HasField(name)]
    for name in fields:
        setattr(wanted, name, getattr(request, name))
    if request.HasField("adapters"):
        wanted.adapters.extend(request.adapters.names)
        fields.append("adapters")
    if request.role != pb.ROLE_UNSPECIFIED:
        fields.append("role")
    if not fields:
        raise MessageError("none of model, version, adapters and role is given")
    wanted = from_message(wanted, state.Engine)
    return state.PutEngine(
        engine=engine._replace(**{name: getattr(wanted, name) for name in fields})
    )


def _assign(request, config):
    kind, entry = _find_target(request, config)
    _find(config.services, "service", request.service)
    moved = entry._replace(service=request.service)
    if kind == "engine":
        return state.PutEngine(engine=moved)
    return state.PutEndpoint(endpoint=moved)


def _set_state(wanted):
    """Return the function that makes a change to the state `wanted`."""

    def make(request, config):
        kind, entry = _find_target(request, config)
        if entry.state == "withdrawn" and wanted != "withdrawn":
            raise ConnectError("failed_precondition", f"{entry.name} is withdrawn")
        change = state.SetEngineState if kind == "engine" else state.SetEndpointState
        return change(name=entry.name, state=wanted)

    return make


def _delete(request, config):
    kind, entry = _find_target(request, config)
    change = state.DeleteEngine if kind == "engine" else state.DeleteEndpoint
    return change(name=entry.name)


def _put_workspace(request, config):
    return state.PutWorkspace(
        workspace=from_message(request.workspace, state.Workspace)
    )


def _apply(request, config):
    if not 1 <= len(request.changes) <= MAX_BATCH:
        raise MessageError(f"a batch has 1 to {MAX_BATCH} changes")
    changes = tuple(map(change_from_message, request.changes))
    if any(isinstance(change, INSTANCE_ONLY_CHANGES) for change in changes):
        text = "the roster and engine marks are changed by instances only"
        raise ConnectError("permission_denied", text)
    return changes[0] if len(changes) == 1 else state.Batch(changes=changes)


def _by_name(change):
    return lambda request, config: change(name=request.name)


def _find_target(request, config):
    kind = request.target.WhichOneof("target")
    if kind is None:
        raise MessageError("target is not given")
    entries = config.engines if kind == "engine" else config.endpoints
    return kind, _find(entries, kind, getattr(request.target, kind))


def _find(entries, kind, name):
    if name not in entries:
        raise ConnectError("not_found", f"there is no {kind} {name!r}")
    return entries[name]


CHANGE_CALLS = {
    "CreateService": ChangeCall(pb.PutServiceRequest, _create_service),
    "UpdateService": ChangeCall(pb.PutServiceRequest, _update_service),
    "DeleteService": ChangeCall(pb.NameRequest, _by_name(state.DeleteService)),
    "SetServiceModels": ChangeCall(pb.SetServiceModelsRequest, _set_service_models),
    "PutEngine": ChangeCall(pb.PutEngineRequest, _put_engine),
    "SetEngine": ChangeCall(pb.SetEngineRequest, _set_engine),
    "PutEndpoint": ChangeCall(pb.PutEndpointRequest, _put_endpoint),
    "Assign": ChangeCall(pb.AssignRequest, _assign),
    "Drain": ChangeCall(pb.TargetRequest, _set_state("draining")),
    "Undrain": ChangeCall(pb.TargetRequest, _set_state("serving")),
    "Withdraw": ChangeCall(pb.TargetRequest, _set_state("withdrawn")),
    "Delete": ChangeCall(pb.TargetRequest, _delete),
    "PutWorkspace": ChangeCall(pb.PutWorkspaceRequest, _put_workspace),
    "DeleteWorkspace": ChangeCall(pb.NameRequest, _by_name(state.DeleteWorkspace)),
    "Apply": ChangeCall(pb.ApplyRequest, _apply),
}
