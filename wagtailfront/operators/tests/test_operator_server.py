"""Tests of the operators' calls over sockets, with a fake proposer."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.authority import config_effects as effects, config_state as state
from wagtailfront.exception import SettingsError
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.calls import CHANGE_CALLS
from wagtailfront.operators.connect import MAX_MESSAGE
from wagtailfront.operators.messages import change_to_message
from wagtailfront.operators.operator_server import (
    OUTCOME_TIMEOUT,
    OperatorServer,
    read_tokens,
    token_digest,
)
from wagtailfront.operators.tests.builders import changes
from wagtailfront.operators.tests.fake_configuration import FakeConfiguration
from wagtailfront.transport.http_client import HttpPool, WholeResponse
from wagtailfront.transport.tests.event_loop import EventLoop

TOKEN = "correct horse"
JSON = "application/json"
PROTO = "application/proto"
SERVICE = state.Service(name="assist", kind="model", models=("m1", "m2"))
ENGINE = state.Engine("e1", "assist", "127.0.0.1:9001", "brum", "m1", "1")


class Fleet:
    """Server, fake configuration and client in one event loop."""

    def __init__(self):
        self.root = EventLoop()
        self.fake = FakeConfiguration()
        self.now = [0.0]
        self.server = OperatorServer(
            bind=("127.0.0.1", 0),
            tokens={token_digest(TOKEN): "alice"},
            propose=self.fake.propose,
            read_status=self.fake.read_status,
            pages={"/health": lambda: (200, "text/plain", b"ok")},
            clock=lambda: self.now[0],
        ).register(self.root)
        self.pool = HttpPool(channel="test_pool").register(self.root)

    def start(self, method, body, *, kind=JSON, token=TOKEN, http="POST", path=None):
        """Send a call; return the list to which its response is added."""
        responses = []
        headers = [("Content-Type", kind), ("Authorization", f"Bearer {token}")]
        self.pool.request(
            host="127.0.0.1",
            port=self.server.port,
            method=http,
            path=path or f"/wagtailfront.v1.Operators/{method}",
            headers=headers,
            body=body if isinstance(body, bytes) else json.dumps(body).encode(),
            sink=WholeResponse(lambda *response: responses.append(response)),
        )
        return responses

    def send(self, method, body, **options):
        """Return status and body of the response to a call."""
        responses = self.start(method, body, **options)
        self.root.wait_for(lambda: responses)
        status, _headers, body = responses[0]
        return status, body

    def call(self, method, body, **options):
        """Return status and decoded JSON body."""
        status, body = self.send(method, body, **options)
        return status, json.loads(body)

    def put(self, *given):
        for change in given:
            self.fake.config = state.apply_change(self.fake.config, change)


@pytest.fixture(scope="module")
def shared():
    return Fleet()


@pytest.fixture
def fleet(shared):
    shared.fake.__init__()
    shared.put(state.PutService(service=SERVICE), state.PutEngine(engine=ENGINE))
    return shared


HEADER = {"baseVersion": "2", "changeId": "c1"}
TARGET = {"header": HEADER, "target": {"engine": "e1"}}


@pytest.mark.parametrize(
    "method, body, expected",
    [
        ("Drain", TARGET, state.SetEngineState(name="e1", state="draining")),
        ("Undrain", TARGET, state.SetEngineState(name="e1", state="serving")),
        ("Withdraw", TARGET, state.SetEngineState(name="e1", state="withdrawn")),
        ("Delete", TARGET, state.DeleteEngine(name="e1")),
        (
            "SetEngine",
            {"header": HEADER, "engine": "e1", "version": "2", "role": "ROLE_DECODE"},
            state.PutEngine(engine=ENGINE._replace(version="2", role="decode")),
        ),
        (
            "SetServiceModels",
            {"header": HEADER, "service": "assist", "models": ["m1"]},
            state.PutService(service=SERVICE._replace(models=("m1",))),
        ),
        (
            "Assign",
            TARGET | {"service": "assist"},
            state.PutEngine(engine=ENGINE),
        ),
        (
            "Apply",
            {"header": HEADER, "changes": [{"deleteWorkspace": "w"}] * 2},
            state.Batch(changes=(state.DeleteWorkspace(name="w"),) * 2),
        ),
    ],
)
def test_calls_propose_typed_changes(fleet, method, body, expected):
    """Guards against a call that changes more or less than it states."""
    fleet.call(method, body)
    assert fleet.fake.proposals == [(expected, 2, "c1", "alice")]


@pytest.mark.parametrize(
    "method, body, code",
    [
        ("Drain", {"header": HEADER}, "invalid_argument"),
        ("Drain", {"target": {"engine": "e1"}}, "invalid_argument"),
        ("Drain", {"header": HEADER, "target": {"engine": "e2"}}, "not_found"),
        ("Drain", TARGET | {"header": {"baseVersion": 3}}, "unavailable"),
        ("Drain", TARGET | {"header": {"changeId": "a b"}}, "invalid_argument"),
        ("Drain", TARGET | {"extra": 1}, "invalid_argument"),
        ("SetEngine", {"header": HEADER, "engine": "e1"}, "invalid_argument"),
        ("Apply", {"header": HEADER}, "invalid_argument"),
        (
            "Apply",
            {"header": HEADER, "changes": [{"leaveRoster": "a"}]},
            "permission_denied",
        ),
        (
            "Apply",
            {"header": HEADER, "changes": [{"markEngine": {"name": "e1"}}]},
            "permission_denied",
        ),
        (
            "CreateService",
            {"header": HEADER, "service": {"name": "assist"}},
            "already_exists",
        ),
        ("UpdateService", {"header": HEADER}, "not_found"),
        ("Missing", {}, "unimplemented"),
    ],
)
def test_rejected_calls_propose_nothing(fleet, method, body, code):
    """Guards against a call that is rejected but still makes a change."""
    status, error = fleet.call(method, body)
    assert (status >= 400, error["code"]) == (True, code)
    assert error["message"]
    assert fleet.fake.proposals == []


def test_invalid_change_is_an_error(fleet):
    """Guards against an invalid change that is reported as accepted."""
    body = {"header": HEADER, "name": "assist"}
    status, error = fleet.call("DeleteService", body)
    assert (status, error["code"]) == (400, "invalid_argument")
    assert "e1" in error["message"]


def test_repeat_joins_the_first_call(fleet):
    """Guards against a repeated call that proposes twice or never returns."""
    fleet.fake.delayed_replies = []
    first = fleet.start("Drain", TARGET)
    second = fleet.start("Drain", TARGET)
    waiting = fleet.server.waiting
    fleet.root.wait_for(lambda: "c1" in waiting and len(waiting["c1"].responses) == 2)
    (reply,) = fleet.fake.delayed_replies
    reply(effects.Pending(version=3, missing=("i2",)))
    fleet.root.wait_for(lambda: first and second)
    for responses in (first, second):
        pending = json.loads(responses[0][2])["pending"]
        assert pending == {"version": "3", "missingInstances": ["i2"]}
    assert fleet.server.waiting == {}


def test_lost_proposal_times_out(fleet):
    """Guards against calls that wait forever for a lost proposal."""
    fleet.fake.delayed_replies = []
    responses = fleet.start("Drain", TARGET)
    fleet.root.wait_for(lambda: fleet.fake.delayed_replies)
    fleet.now[0] += OUTCOME_TIMEOUT + 1
    fleet.root.wait_for(lambda: responses)
    unavailable = json.loads(responses[0][2])["unavailable"]
    assert unavailable["verdict"] == "VERDICT_MAY_HAVE_RUN"
    fleet.fake.delayed_replies[0](effects.Accepted(version=3))
    fleet.fake.delayed_replies = None
    assert "accepted" in fleet.call("Drain", TARGET)[1]


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x", "\xff"])
def test_calls_need_a_token(fleet, token):
    """Guards against changes by a caller without a valid token."""
    status, error = fleet.call("Drain", TARGET, token=token)
    assert (status, error["code"]) == (401, "unauthenticated")
    assert fleet.call("GetStatus", {}, token=token)[0] == 401
    assert fleet.fake.proposals == []


def test_protocol_details(fleet):
    """Guards against responses that a Connect client cannot read."""
    status, reply = fleet.call("GetStatus", {}, kind="application/json; charset=utf-8")
    assert status == 200 and reply["configuration"]["version"] == "2"
    status, body = fleet.send("GetStatus", b"", kind=PROTO)
    reply = pb.StatusReply.FromString(body)
    assert (status, reply.instance, reply.endpoints[0].running) == (200, "i1", 2)
    assert fleet.call("GetStatus", {}, kind="text/plain")[0] == 415
    assert fleet.call("GetStatus", b"", http="GET")[0] == 405
    assert fleet.call("GetBurn", {}) == (200, {})
    assert fleet.send("", b"", http="GET", path="/health") == (200, b"ok")
    assert fleet.call("", b"", http="GET", path="/other")[0] == 404


def test_oversized_calls(fleet):
    """Guards against memory use by large calls, and against no response."""
    body = pb.ApplyRequest(changes=[pb.Change(delete_engine="x" * MAX_MESSAGE)])
    status, error = fleet.call("Apply", body.SerializeToString(), kind=PROTO)
    assert (status, error["code"]) == (429, "resource_exhausted")
    assert fleet.send("Apply", b"x" * (3 * MAX_MESSAGE), kind=PROTO)[0] in (413, None)
    assert fleet.call("GetStatus", {})[0] == 200


fields = st.sampled_from(
    ["header", "baseVersion", "changeId", "target", "engine", "service"]
    + ["name", "kind", "models", "objectives", "changes", "putEngine"]
    + ["workspace", "burst", "endpoint", "putWorkspace", "latency"]
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            fields,
            inner,
            max_size=4,
        )
    ),
    max_leaves=15,
)


proto_bodies = st.builds(
    lambda change, at, junk: (
        (body := change_request(change))[: at % len(body)]
        + junk
        + body[at % len(body) :]
    ),
    change=changes,
    at=st.integers(0, 500),
    junk=st.binary(max_size=4),
)
json_bodies = st.builds(
    lambda value, cut: json.dumps(value).encode()[: -cut or None],
    value=json_values
    | st.dictionaries(fields, json_values, max_size=3).map(
        lambda value: value | {"header": HEADER}
    ),
    cut=st.sampled_from([0, 0, 0, 1, 2]),
)


def change_request(change):
    """Return the body of a valid call of `Apply`."""
    request = pb.ApplyRequest(changes=[change_to_message(change)])
    request.header.base_version = 2
    return request.SerializeToString()


@given(
    method=st.sampled_from(sorted(CHANGE_CALLS)),
    call=st.tuples(st.just(PROTO), proto_bodies)
    | st.tuples(st.just(JSON), json_bodies)
    | st.tuples(st.sampled_from([JSON, PROTO]), st.binary(max_size=40)),
)
@settings(max_examples=300)
def test_damaged_calls_get_an_error(shared, method, call):
    """Guards against a crash, a hang or an undecodable stored value."""
    shared.fake.__init__()
    shared.put(state.PutService(service=SERVICE), state.PutEngine(engine=ENGINE))
    kind, body = call
    status, response = shared.send(
        "Apply" if kind == PROTO else method, body, kind=kind
    )
    if status != 200:
        assert status in (400, 403, 404, 409, 503)
        assert set(json.loads(response)) == {"code", "message"}
    stored = state.encode_configuration(shared.fake.config)
    assert state.decode_configuration(stored) == shared.fake.config


def test_token_file(tmp_path):
    """Guards against an invalid line that is silently ignored."""
    path = tmp_path / "tokens"
    path.write_text(f"# operators\n\nalice {token_digest('a')}\n")
    assert read_tokens(path) == {token_digest("a"): "alice"}
    path.write_text("alice secret\n")
    with pytest.raises(SettingsError, match="line 1"):
        read_tokens(path)
