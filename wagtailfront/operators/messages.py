"""Conversion between protobuf messages and configuration types."""

import functools
import math
from typing import NamedTuple

from wagtailfront.authority import config_effects as effects, config_state as state
from wagtailfront.authority.engine_marks import EngineMark, EngineTarget
from wagtailfront.operators import wagtailfront_pb2 as pb

__all__ = [
    "MessageError",
    "from_message",
    "to_message",
    "change_from_message",
    "change_to_message",
    "configuration_from_message",
    "configuration_to_message",
    "outcome_to_message",
]

MAX_TEXT = 256  # characters of one text field


class MessageError(ValueError):
    """A field of a message is missing or invalid."""


class NamedState(NamedTuple):
    """Fields of a change of state."""

    name: str
    state: str


class MarkStep(NamedTuple):
    """Fields of `MarkEngine`."""

    name: str
    revision: int
    draining: bool
    running: EngineTarget | None = None


class Variant(NamedTuple):
    """How one member of the `Change` oneof maps to a change type.

    Attributes
    ----------
    field : str
        Field of the change that holds the member, or "" if the member's
        fields are those of the change.
    value_type : type or None
        NamedTuple for a member that is a message; None for a string.
    """

    change: type
    field: str
    value_type: type | None = None


VARIANTS = {
    "put_service": Variant(state.PutService, "service", state.Service),
    "delete_service": Variant(state.DeleteService, "name"),
    "put_engine": Variant(state.PutEngine, "engine", state.Engine),
    "delete_engine": Variant(state.DeleteEngine, "name"),
    "set_engine_state": Variant(state.SetEngineState, "", NamedState),
    "mark_engine": Variant(state.MarkEngine, "", MarkStep),
    "put_endpoint": Variant(state.PutEndpoint, "endpoint", state.Endpoint),
    "delete_endpoint": Variant(state.DeleteEndpoint, "name"),
    "set_endpoint_state": Variant(state.SetEndpointState, "", NamedState),
    "put_workspace": Variant(state.PutWorkspace, "workspace", state.Workspace),
    "delete_workspace": Variant(state.DeleteWorkspace, "name"),
    "join_roster": Variant(state.JoinRoster, "member", state.RosterMember),
    "leave_roster": Variant(state.LeaveRoster, "incarnation"),
}
VARIANT_NAMES = {variant.change: name for name, variant in VARIANTS.items()}
COLLECTIONS = {
    "services": state.Service,
    "engines": state.Engine,
    "endpoints": state.Endpoint,
    "workspaces": state.Workspace,
    "roster": state.RosterMember,
}
# Types of nested messages by field name.
NESTED_TYPES = {
    "non_idempotent": state.NonIdempotentRule,
    "objectives": state.Objective,
    "running": EngineTarget,
}


def from_message(message, value_type):
    """Return the NamedTuple of type `value_type` for a message.

    Absent fields take the defaults of `value_type`.

    Raises
    ------
    MessageError
        Naming the field.

    Examples
    --------
    >>> from_message(pb.Endpoint(name="ledger-1"), state.Endpoint).state
    'serving'
    """
    values = {}
    for name in value_type._fields:
        descriptor = message.DESCRIPTOR.fields_by_name[name]
        if descriptor.has_presence and not message.HasField(name):
            continue
        value = _field_value(descriptor, getattr(message, name))
        if value is not None:
            values[name] = value
    missing = set(value_type._fields) - set(values) - set(value_type._field_defaults)
    if missing:
        raise MessageError(f"{message.DESCRIPTOR.name}.{min(missing)} is not given")
    return value_type(**values)


def _field_value(descriptor, value):
    """Return a field's value without protobuf types; None if unspecified."""
    if descriptor.is_repeated:
        if descriptor.message_type is not None:
            nested_type = NESTED_TYPES[descriptor.name]
            return tuple(from_message(item, nested_type) for item in value)
        return tuple(_validated(descriptor, item) for item in value)
    if descriptor.message_type is not None:
        return from_message(value, NESTED_TYPES[descriptor.name])
    if descriptor.enum_type is None:
        return _validated(descriptor, value)
    if value == 0:
        return None
    member = descriptor.enum_type.values_by_number.get(value)
    if member is None:
        raise MessageError(f"{descriptor.name} has no value {value}")
    return member.name.removeprefix(f"{descriptor.name.upper()}_").lower()


def _validated(descriptor, value):
    if isinstance(value, float) and not math.isfinite(value):
        # The configuration is stored as JSON, which has no such numbers.
        raise MessageError(f"{descriptor.name} must be finite")
    if isinstance(value, str) and (len(value) > MAX_TEXT or not value.isprintable()):
        raise MessageError(
            f"{descriptor.name} must have at most {MAX_TEXT} printable characters"
        )
    return value


def to_message(value, message_type):
    """Return the message of type `message_type` for a NamedTuple.

    Examples
    --------
    >>> endpoint = state.Endpoint("ledger-1", "ledger", "127.0.0.1:1", "brum")
    >>> to_message(endpoint, pb.Endpoint).state == pb.STATE_SERVING
    True
    """
    fields = {}
    for (name, convert), item in zip(
        _converters(message_type, type(value)), value, strict=True
    ):
        if item is not None:
            fields[name] = convert(item) if convert is not None else item
    return message_type(**fields)


@functools.cache
def _converters(message_type, value_type):
    """Return each field's name and the function that converts its value.

    Cached, since looking the descriptors up for every entry more than
    doubles the time of a conversion.
    """
    return tuple(
        (name, _converter(message_type.DESCRIPTOR.fields_by_name[name]))
        for name in value_type._fields
    )


def _converter(descriptor):
    if descriptor.enum_type is not None:
        prefix = f"{descriptor.name.upper()}_"
        return {
            member.name.removeprefix(prefix).lower(): member.number
            for member in descriptor.enum_type.values
        }.__getitem__
    if descriptor.message_type is None:
        return None
    nested_type = getattr(pb, descriptor.message_type.name)
    if descriptor.is_repeated:
        return lambda items: [to_message(item, nested_type) for item in items]
    return lambda item: to_message(item, nested_type)


def change_from_message(message):
    """Return the typed change for a `Change` message.

    Raises
    ------
    MessageError
    """
    name = message.WhichOneof("change")
    if name is None:
        raise MessageError("a change is empty")
    variant, content = VARIANTS[name], getattr(message, name)
    if variant.value_type is None:
        descriptor = message.DESCRIPTOR.fields_by_name[name]
        return variant.change(**{variant.field: _validated(descriptor, content)})
    value = from_message(content, variant.value_type)
    fields = {variant.field: value} if variant.field else value._asdict()
    return variant.change(**fields)


def change_to_message(change):
    """Return the `Change` message for a typed change other than `Batch`."""
    name = VARIANT_NAMES[type(change)]
    variant, message = VARIANTS[name], pb.Change()
    if variant.value_type is None:
        setattr(message, name, getattr(change, variant.field))
        return message
    if variant.field:
        value = getattr(change, variant.field)
    else:
        value = variant.value_type(
            *(getattr(change, key) for key in variant.value_type._fields)
        )
    content = getattr(message, name)
    content.CopyFrom(to_message(value, type(content)))
    return message


def configuration_to_message(config):
    """Return the `Configuration` message for a configuration.

    Omits the roster's history, which only instances use.
    """
    message = pb.Configuration(version=config.version)
    for field, value_type in COLLECTIONS.items():
        entries = (
            to_message(entry, getattr(pb, value_type.__name__))
            for _name, entry in sorted(getattr(config, field).items())
        )
        getattr(message, field).extend(entries)
    for name, mark in config.engine_marks.items():
        message.engine_marks[name].CopyFrom(to_message(mark, pb.EngineMark))
    return message


def configuration_from_message(message):
    """Return the configuration for a `Configuration` message.

    Raises
    ------
    MessageError
    """
    collections = {
        field: {
            entry[0]: entry
            for entry in (
                from_message(item, value_type) for item in getattr(message, field)
            )
        }
        for field, value_type in COLLECTIONS.items()
    }
    marks = {
        name: from_message(mark, EngineMark)
        for name, mark in message.engine_marks.items()
    }
    return state.Configuration(
        version=message.version, engine_marks=marks, **collections
    )


def outcome_to_message(outcome, *, change_id):
    """Return the `ChangeReply` for the outcome of a proposal.

    Raises
    ------
    MessageError
        For `Invalid`, which is sent as an error response instead.
    """
    reply = pb.ChangeReply(change_id=change_id)
    if isinstance(outcome, effects.Accepted):
        reply.accepted.version = outcome.version
    elif isinstance(outcome, effects.Pending):
        reply.pending.version = outcome.version
        reply.pending.missing_instances.extend(outcome.missing)
    elif isinstance(outcome, effects.Conflict):
        reply.conflict.SetInParent()
        reply.conflict.changes.extend(map(_record_to_message, outcome.changes))
    elif isinstance(outcome, effects.Unavailable):
        reply.unavailable.reason = outcome.reason
        verdict = f"VERDICT_{outcome.verdict.value.upper()}"
        reply.unavailable.verdict = pb.Verdict.Value(verdict)
    else:
        raise MessageError(outcome.reason)
    return reply


def _record_to_message(entry):
    change = entry.change
    changes = change.changes if isinstance(change, state.Batch) else (change,)
    return pb.ChangeRecord(
        version=entry.version,
        author=entry.author,
        changes=map(change_to_message, changes),
    )
