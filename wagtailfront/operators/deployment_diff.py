"""Difference between the running configuration and a deployment file."""

import itertools
from typing import NamedTuple

from wagtailfront.authority import config_state as state
from wagtailfront.exception import ConfigurationError

__all__ = ["Plan", "difference", "describe", "batches"]

# Leaves room for the rest of a commit, which is limited to 64 KiB.
MAX_BATCH_BYTES = 48 * 1024
MAX_BATCH = 1_000  # changes; the server's limit for one call


class Plan(NamedTuple):
    """Changes to make now, and those that depend on a later state.

    Attributes
    ----------
    changes : list of Change
        Ordered so that each is valid after the ones before it.
    deferred : list of (Change, str)
        Changes that are not valid yet, each with the reason.
    """

    changes: list
    deferred: list


def difference(running, wanted):
    """Return the plan that changes `running` into `wanted`.

    Parameters
    ----------
    running : Configuration
    wanted : Configuration
        As read from a deployment file; its states and roster are ignored.

    Returns
    -------
    Plan

    Notes
    -----
    Engines and endpoints keep their state. One that the file leaves out is
    withdrawn first and deleted by a later plan, so that its requests can
    finish. Until then, changes that reuse its address or remove its service
    or model are deferred.
    """
    plan = Plan([], [])
    config = running
    for change in _candidates(running, wanted):
        try:
            config = state.apply_change(config, change)
        except ConfigurationError as error:
            plan.deferred.append((change, str(error)))
        else:
            plan.changes.append(change)
    return plan


def _candidates(running, wanted):
    """Yield all changes, ordered so that most of them are valid."""
    yield from _removals(running, wanted)
    widened = [_widen(running, service) for service in wanted.services.values()]
    for service in widened:
        if service != running.services.get(service.name):
            yield state.PutService(service=service)
    yield from _entry_changes(running.engines, wanted.engines, _put_engine)
    yield from _entry_changes(running.endpoints, wanted.endpoints, _put_endpoint)
    for service in widened:
        if service != wanted.services[service.name]:
            yield state.PutService(service=wanted.services[service.name])
    for name in sorted(running.services.keys() - wanted.services.keys()):
        yield state.DeleteService(name=name)
    for name, workspace in wanted.workspaces.items():
        if workspace != running.workspaces.get(name):
            yield state.PutWorkspace(workspace=workspace)
    for name in sorted(running.workspaces.keys() - wanted.workspaces.keys()):
        yield state.DeleteWorkspace(name=name)


def _widen(running, service):
    """Return the service with the models and adapters still in use."""
    old = running.services.get(service.name)
    if old is None or old.kind != service.kind:
        return service
    return service._replace(
        models=_add_used(
            service.models, old.models, _used_values(running, service, "model")
        ),
        adapters=_add_used(
            service.adapters, old.adapters, _used_values(running, service, "adapters")
        ),
    )


def _add_used(wanted, old, used):
    return (*wanted, *(name for name in old if name in used and name not in wanted))


def _used_values(running, service, field):
    values = [
        getattr(engine, field)
        for engine in running.engines.values()
        if engine.service == service.name
    ]
    if field == "model":
        return set(values)
    return set(itertools.chain.from_iterable(values))


def _removals(running, wanted):
    """Yield withdrawals and deletions of entries not in `wanted`."""
    for field, delete, set_state in (
        ("engines", state.DeleteEngine, state.SetEngineState),
        ("endpoints", state.DeleteEndpoint, state.SetEndpointState),
    ):
        for name, entry in getattr(running, field).items():
            if name in getattr(wanted, field):
                continue
            if entry.state == "withdrawn":
                yield delete(name=name)
            else:
                yield set_state(name=name, state="withdrawn")


def _entry_changes(running, wanted, put):
    """Yield changes that add or replace the entries that differ."""
    for name, entry in wanted.items():
        old = running.get(name)
        entry = entry if old is None else entry._replace(state=old.state)
        if entry != old:
            yield put(entry)


def _put_engine(engine):
    return state.PutEngine(engine=engine)


def _put_endpoint(endpoint):
    return state.PutEndpoint(endpoint=endpoint)


def describe(change, running):
    """Return a one-line description of a change for operators.

    Examples
    --------
    >>> change = state.SetEngineState(name="e1", state="draining")
    >>> describe(change, state.EMPTY)
    'engine e1: state draining'
    """
    (resource,) = state.resources_touched(change)
    kind, _, name = resource.partition("/")
    if type(change).__name__.startswith("Delete"):
        return f"{kind} {name}: delete"
    if isinstance(change, state.SetEngineState | state.SetEndpointState):
        return f"{kind} {name}: state {change.state}"
    entry = getattr(change, kind)
    old = getattr(running, f"{kind}s").get(name)
    if old is None:
        return f"{kind} {name}: add"
    fields = [
        f"{field} {before!r} -> {after!r}"
        for field, before, after in zip(entry._fields, old, entry, strict=True)
        if before != after
    ]
    return f"{kind} {name}: {', '.join(fields) or 'no change'}"


def batches(changes):
    """Yield the changes in lists that each fit into one commit."""
    batch, size = [], 0
    for change in changes:
        length = len(state.encode_change(change))
        if batch and (size + length > MAX_BATCH_BYTES or len(batch) == MAX_BATCH):
            yield batch
            batch, size = [], 0
        batch.append(change)
        size += length
    if batch:
        yield batch
