"""Tests of the generated protobuf code and of the conversions."""

import pathlib

import pytest
from grpc_tools import protoc
from hypothesis import given

from wagtailfront.authority import config_effects as effects, config_state as state
from wagtailfront.authority.config_log import LogEntry
from wagtailfront.operators import messages, wagtailfront_pb2 as pb
from wagtailfront.operators.calls import CHANGE_CALLS
from wagtailfront.operators.operator_client import READ_CALLS
from wagtailfront.operators.tests.builders import changes, configurations, entries
from wagtailfront.outcome import Verdict

ROOT = pathlib.Path(__file__).parents[3]
SCHEMA = "wagtailfront/operators/wagtailfront.proto"


def test_generated_code_matches_the_schema(tmp_path):
    """Guards against a schema change without regenerating the code."""
    arguments = ["protoc", f"-I{ROOT}", f"--python_out={tmp_path}", str(ROOT / SCHEMA)]
    assert protoc.main(arguments) == 0
    generated = SCHEMA.replace(".proto", "_pb2.py")
    assert (tmp_path / generated).read_text() == (ROOT / generated).read_text()


def test_every_method_is_handled():
    """Guards against a method of the schema that the server lacks."""
    methods = pb.DESCRIPTOR.services_by_name["Operators"].methods
    handled = {name: call.request for name, call in CHANGE_CALLS.items()}
    handled |= {"GetStatus": pb.GetStatusRequest, "GetBurn": pb.GetBurnRequest}
    assert {method.name: method.input_type for method in methods} == {
        name: kind.DESCRIPTOR for name, kind in handled.items()
    }
    for method in methods:
        reply = READ_CALLS.get(method.name, pb.ChangeReply)
        assert method.output_type is reply.DESCRIPTOR


@given(config=configurations())
def test_configurations_survive_the_round_trip(config):
    """Guards against a field that the conversion drops."""
    message = messages.configuration_to_message(config)
    copy = pb.Configuration.FromString(message.SerializeToString())
    assert messages.configuration_from_message(copy) == config


@given(change=changes)
def test_changes_survive_the_round_trip(change):
    """Guards against a conversion that alters a change."""
    message = messages.change_to_message(change)
    copy = pb.Change.FromString(message.SerializeToString())
    assert messages.change_from_message(copy) == change


@given(entry=entries)
def test_absent_fields_take_their_defaults(entry):
    """Guards against defaults that differ between schema and configuration."""
    kind = type(entry)
    reset = entry._replace(**kind._field_defaults)
    message = messages.to_message(reset, getattr(pb, kind.__name__))
    for name in kind._field_defaults:
        message.ClearField(name)
    assert messages.from_message(message, kind) == reset


@pytest.mark.parametrize(
    "message, kind, named",
    [
        (pb.Service(name="a"), state.Service, "Service.kind is not given"),
        (pb.Engine(role=9), state.Engine, "role has no value 9"),
        (pb.Endpoint(name="\n"), state.Endpoint, "name must have"),
        (pb.Endpoint(name="a" * 300), state.Endpoint, "name must have"),
        (pb.Workspace(burst=float("inf")), state.Workspace, "burst must be finite"),
        (pb.Workspace(burst=float("nan")), state.Workspace, "burst must be finite"),
    ],
)
def test_unusable_fields_are_named(message, kind, named):
    """Guards against values that the stored configuration cannot hold."""
    with pytest.raises(messages.MessageError, match=named):
        messages.from_message(message, kind)


def test_outcomes():
    """Guards against an outcome that is converted to another one."""

    def convert(outcome):
        reply = messages.outcome_to_message(outcome, change_id="c")
        kind = reply.WhichOneof("outcome")
        return kind, getattr(reply, kind)

    change = state.DeleteWorkspace(name="a")
    batch = state.Batch(changes=(change, change))
    entry = LogEntry(version=3, change_id="d", author="op", change=batch)
    assert convert(effects.Accepted(version=3)) == ("accepted", pb.Accepted(version=3))
    kind, conflict = convert(effects.Conflict(changes=(entry,)))
    assert kind == "conflict" and len(conflict.changes[0].changes) == 2
    assert convert(effects.Conflict(changes=()))[0] == "conflict"
    kind, pending = convert(effects.Pending(version=3, missing=("i1",)))
    assert (kind, list(pending.missing_instances)) == ("pending", ["i1"])
    unavailable = effects.Unavailable(reason="r", verdict=Verdict.MAY_HAVE_RUN)
    assert convert(unavailable)[1].verdict == pb.VERDICT_MAY_HAVE_RUN
