"""Tests of what a request's key gives access to."""

import pytest

from wagtailfront.forwarding.tests.builders import STREAMING, make_route
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    WORKSPACE,
    key_line,
    read_priority,
    resume_line,
    workspace_line,
    workspaces_of,
)
from wagtailfront.workspaces.tests.builders import (
    KEY,
    OTHER_KEY,
    WORKSPACES,
    KeyedPair,
    KeyedScene,
)

AUTHORIZATION = key_line(KEY)
UNKNOWN = key_line("guess")
KEY_HEADER = (b"Authorization", b"Token " + KEY.encode())


class FixedAge:
    """Age of the configuration that the test sets."""

    refused_from = 4.5

    def __init__(self, age=0.0):
        self.seconds = age

    def age(self):
        return self.seconds

    def state(self):
        return {}


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        ([AUTHORIZATION], None),
        ([b"aUTHORIZATION:  tOKEN \t" + KEY.encode() + b" "], None),
        ([AUTHORIZATION, AUTHORIZATION], None),
        ([], 401),
        ([b"Authorization: Token"], 401),
        ([UNKNOWN], 401),
        ([b"Authorization: Bearer " + KEY.encode()], 401),
        ([b"Authorization: " + KEY.encode()], 401),
        ([b"Authorization: Token \xff\xfe"], 401),
        ([AUTHORIZATION, UNKNOWN], 401),
        ([AUTHORIZATION, key_line(OTHER_KEY)], 401),
        ([AUTHORIZATION, b"Authorization: Bearer x"], 401),
        ([AUTHORIZATION + b", Token guess"], 401),
    ],
)
def test_only_one_known_key_gets_access(lines, status):
    """Guards against keys that are not checked, or checked too strictly."""
    scene = KeyedScene()
    reply = scene.send(*lines)
    assert reply.status == status
    assert len(scene.received) == (status is None)
    if status == 401:
        assert reply.is_complete and b"key" in reply.body
        assert KEY.encode() not in reply.body


def test_a_public_route_needs_no_key_but_checks_one():
    """Guards against unknown keys on public routes, and refusals there."""
    scene = KeyedScene(make_route(is_public=True))
    scene.send(workspace_line(b"mira114"), b"Authorization: Bearer " + KEY.encode())
    scene.send(AUTHORIZATION)
    assert scene.send(UNKNOWN).status == 401
    without, keyed = map(dict, scene.received)
    assert not {WORKSPACE.lower(), b"authorization"} & without.keys()
    assert workspaces_of(keyed.items()) == [b"hule930"]


def test_without_workspaces_all_is_passed_on_as_before():
    """Guards deployments whose configuration has no workspaces."""
    scene = KeyedScene(workspaces=None)
    lines = (AUTHORIZATION, AUTHORIZATION, workspace_line(b"a"))
    assert scene.send(*lines).status is None
    received = scene.received[0]
    assert received.count((b"authorization", b"Token " + KEY.encode())) == 2
    assert workspaces_of(received) == [b"a"]
    task = scene.pool.last.sink.task
    assert (task.fields.workspace, task.route.priority) == (None, 0)
    assert task.fields.caller == f"Token {KEY}"


def test_the_priority_of_the_workspace_goes_before_that_of_the_route():
    """Guards admission, queues and the engine's order."""
    scene = KeyedScene(make_route(STREAMING, priority=5), is_model=True)
    scene.send(AUTHORIZATION)
    scene.send(key_line(OTHER_KEY))
    own, of_route = (each.sink.task for each in scene.pool.exchanges)
    assert own.dispatcher.admission.rank == own.dispatcher.choice.priority == 1
    assert of_route.dispatcher.admission.rank == 5
    assert scene.context.admission.ranks == {"s": [1, 5]}
    levels = [read_priority(each.payload) for each in scene.pool.exchanges]
    assert levels[0] < levels[1]


def test_keyed_work_ends_at_the_age_and_goes_on_by_itself():
    """Guards against removed keys that are served, and refusals for good."""
    scene = KeyedScene(make_route(is_public=True))
    age = scene.forwarder.key_check.age = FixedAge()
    assert scene.send(AUTHORIZATION).status is None
    age.seconds = 4.5
    for line in (AUTHORIZATION, key_line("added-since")):
        reply = scene.send(line)
        assert reply.status == 503 and reply.header(b"Retry-After")
    assert scene.send().status is None
    age.seconds = 1.0
    assert scene.send(AUTHORIZATION).status is None
    assert scene.log.kinds().count("keyed_work") == 2


def test_a_key_that_may_have_been_added_is_not_turned_away_for_good():
    """Guards added keys at an instance that is out of touch with the store."""
    scene = KeyedScene()
    scene.forwarder.key_check.may_lack_keys = lambda: True
    assert scene.send(UNKNOWN).status == 503
    assert scene.send().status == 401
    assert scene.send(AUTHORIZATION).status is None


def test_the_answer_to_head_has_no_body():
    """Guards the next answer on a connection against a part of this one."""
    reply = KeyedScene().send(first_line=b"HEAD /a HTTP/1.1")
    assert (reply.status, reply.body) == (401, b"")


def test_no_configuration_is_not_an_unknown_key():
    """Guards against a 401 for a key that may be known soon."""
    scene = KeyedScene()
    scene.forwarder.config = None
    assert scene.send(UNKNOWN).status == 503


def test_changes_of_keys_are_logged_and_counted():
    """Guards the way from a 401 to the version that removed the key."""
    scene = KeyedScene()
    (kept, removed), _ = zip(*WORKSPACES.items(), strict=True)
    check = scene.forwarder.key_check
    check.record_config(WORKSPACES, {kept: WORKSPACES[kept], "1": WORKSPACES[removed]})
    line = [inputs for kind, _, inputs in scene.log if kind == "keys"][-1]
    assert line == {"workspaces": 2, "added": 1, "removed": 1}
    assert b"wagtailfront_keys_revoked_total 1" in scene.context.metrics.render()


def test_a_peer_serves_what_was_checked_when_it_was_taken():
    """Guards against a second check, and callers that look different there."""
    pair = KeyedPair()
    near, _reply = pair.call(headers=[KEY_HEADER])
    pair.forwarders[1].key_check.age = FixedAge(100.0)
    far, reply = pair.deliver()
    assert reply.status is None
    assert far.fields.workspace == near.fields.workspace == "hule930"
    assert far.fields.caller == near.fields.caller
    assert far.fingerprint == near.fingerprint
    assert far.route.priority == 1
    assert near.fields.caller and KEY not in near.fields.caller


@pytest.mark.parametrize("is_public", [True, False])
def test_a_peer_checks_a_request_that_names_no_workspace(is_public):
    """Guards against requests of older builds that pass without a key."""
    pair = KeyedPair(make_route(is_public=is_public))
    pair.forwarders[0].config = pair.forwarders[0].config._replace(workspaces=None)
    pair.call(headers=[(WORKSPACE, b"mira114")])
    _task, reply = pair.deliver()
    assert reply.status == (None if is_public else 401)
    if not is_public:
        assert (b"Wagtailfront-Proxy-Unreached", b"1") in reply.headers
    pair.call(headers=[KEY_HEADER])
    task, reply = pair.deliver()
    assert (reply.status, task.fields.workspace) == (None, "hule930")


def test_instructions_of_a_caller_are_removed():
    """Guards against callers that name their workspace themselves."""
    scene = KeyedScene()
    line = b"wagtailfront-proxy-WORKSPACE: mira114"
    assert scene.send(line, b"Wagtailfront-Proxy-Service: s").status == 401
    scene.send(line, AUTHORIZATION)
    names = [name for name, _value in scene.received[0]]
    assert not any(name.startswith(b"wagtailfront") for name in names)
    assert workspaces_of(scene.received[0]) == [b"hule930"]


def test_a_resumed_stream_names_its_workspace():
    """Guards the second engine of a stream against the key."""
    scene = KeyedScene(make_route(STREAMING, is_resumable=True))
    scene.send(AUTHORIZATION, b"Connection: Authorization, " + WORKSPACE)
    first = scene.pool.last
    first.sink.on_head(200, EVENT_STREAM)
    first.sink.on_data(b"id: 1\ndata: a\n\n")
    first.fail()
    assert len(scene.received) == 2
    assert resume_line(1) in scene.pool.last.payload
    for headers in scene.received:
        assert workspaces_of(headers) == [b"hule930"]
        assert KEY.encode() not in repr(headers).encode()
