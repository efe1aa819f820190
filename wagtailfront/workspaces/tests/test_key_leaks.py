"""Tests that keys leave an instance in no form of request."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.attempt import end_to_end_headers
from wagtailfront.forwarding.proxy_headers import without_proxy_headers
from wagtailfront.forwarding.tests.builders import STREAMING, make_record, make_route
from wagtailfront.platform.headers import END_TO_END
from wagtailfront.platform.rows import read_routing
from wagtailfront.platform.tests.builders import make_row
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    HANDLE,
    WORKSPACE,
    prompt_headers,
    tenants,
    workspaces_of,
)
from wagtailfront.workspaces.tests.builders import (
    KEY,
    KeyedPair,
    KeyedScene,
    read_headers,
)

KEY_BYTES = KEY.encode()


def odd_case(name):
    """Return a strategy of a header's name in any case."""
    flips = st.lists(st.booleans(), min_size=len(name), max_size=len(name))
    return flips.map(
        lambda each: bytes(
            (bytes([char]).swapcase()[0] if flip else char)
            for char, flip in zip(name, each, strict=True)
        )
    )


KEY_LINES = st.builds(
    lambda name, colon, scheme, space, end: name + colon + scheme + space + end,
    odd_case(b"Authorization"),
    st.sampled_from([b":", b": ", b":\t "]),
    odd_case(b"Token"),
    st.sampled_from([b" ", b"  ", b"\t"]),
    st.sampled_from([KEY_BYTES, KEY_BYTES + b"  "]),
)
WORKSPACE_LINES = st.builds(
    lambda name, value: name + b": " + value,
    odd_case(WORKSPACE),
    st.sampled_from([b"mira114", b"hule930", b""]),
)
CONNECTION_LINES = st.builds(
    lambda names: b"Connection: " + b", ".join(names),
    st.lists(
        st.one_of(
            odd_case(b"Authorization"),
            odd_case(WORKSPACE),
            st.sampled_from([b"keep-alive", b"upgrade"]),
        ),
        min_size=1,
        max_size=3,
    ),
)
OTHER_LINES = st.sampled_from(
    [
        b"Upgrade: websocket",
        b"Upgrade: h2c",
        b"Wagtailfront-Proxy-Workspace: mira114",
        b"wagtailfront-proxy-caller: other",
        b"Proxy-Authorization: Token " + KEY_BYTES,
    ]
)
# A folded line, and the key in a trailer of a chunked body.
BODIES = st.sampled_from(
    [
        ((), b""),
        ((b"Transfer-Encoding: chunked",), b"1\r\nx\r\n0\r\n\r\n"),
        (
            (b"Transfer-Encoding: chunked", b"Trailer: Authorization"),
            b"1\r\nx\r\n0\r\nAuthorization: Token " + KEY_BYTES + b"\r\n\r\n",
        ),
    ]
)
FOLDED = st.sampled_from(
    [
        b"Authorization: Token\r\n " + KEY_BYTES,
        b"Authorization:\r\n\tToken " + KEY_BYTES,
    ]
)
LINES = st.lists(
    st.one_of(KEY_LINES, WORKSPACE_LINES, CONNECTION_LINES, OTHER_LINES, FOLDED),
    max_size=6,
)
FIRST_LINES = st.sampled_from([b"GET /a HTTP/1.1", b"POST /a HTTP/1.1"])


def outputs(scene):
    """Return all that an instance has logged and counted, as bytes."""
    return repr(list(scene.log)).encode() + scene.context.metrics.render()


@settings(max_examples=300, deadline=None)
@given(lines=LINES, body=BODIES, first_line=FIRST_LINES, is_public=st.booleans())
def test_engines_get_the_workspace_and_no_key(lines, body, first_line, is_public):
    """Guards each form of a caller's request, and of its second run."""
    scene = KeyedScene(make_route(STREAMING, is_public=is_public, is_resumable=True))
    extra, rest = body
    reply = scene.send(*lines, *extra, first_line=first_line, rest=rest)
    if scene.pool.exchanges:
        first = scene.pool.last
        first.sink.on_head(200, EVENT_STREAM)
        first.sink.on_data(b"id: 1\ndata: a\n\n")
        first.fail()
    is_keyed = any(KEY_BYTES in line and b"uthor" in line.lower() for line in lines)
    for exchange in scene.pool.exchanges:
        assert KEY_BYTES not in exchange.payload
        found = workspaces_of(read_headers(exchange.payload))
        assert found in ([[b"hule930"], []] if is_public else [[b"hule930"]])
        assert is_public or is_keyed
    assert KEY_BYTES not in outputs(scene) + reply.body + repr(reply.headers).encode()


@settings(max_examples=150, deadline=None)
@given(lines=st.lists(st.one_of(WORKSPACE_LINES, CONNECTION_LINES), max_size=4))
def test_peers_of_any_build_send_the_workspace_and_no_key(lines):
    """Guards requests that a peer of this or an older build sends on."""
    pair = KeyedPair()
    split = [line.partition(b":")[::2] for line in lines]
    headers = [(name, value.strip()) for name, value in split]
    pair.call(headers=[(b"Authorization", b"Token " + KEY_BYTES), *headers])
    assert KEY_BYTES not in pair.to_peer.payload
    pair.deliver()
    assert KEY_BYTES not in pair.at_endpoint.payload
    assert workspaces_of(read_headers(pair.at_endpoint.payload)) == [b"hule930"]
    # An older build removes the instructions and passes the rest on.
    passed = end_to_end_headers(
        without_proxy_headers(read_headers(pair.to_peer.payload)), kept=END_TO_END
    )
    assert workspaces_of(passed) == [b"hule930"]
    for scene in (pair.near, pair.far):
        assert KEY_BYTES not in outputs(scene)


@pytest.mark.parametrize(
    "changes",
    [
        {"name": ""},
        {"name": "a\r\nX: y"},
        {"name": 5},
        {"priority": KEY},
        {"priority": -1},
    ],
)
def test_a_configuration_that_cannot_be_read_shows_no_key(changes):
    """Guards the log against the contents of a faulty configuration."""
    config = {"version": 1, "tenants": tenants(KEY, **changes)}
    with pytest.raises(ValueError, match="unreadable") as caught:
        read_routing([make_row("config", config)])
    assert KEY not in str(caught.value)


def test_a_prefill_and_its_run_name_the_workspace():
    """Guards the requests of one caller that go to two engines."""
    engines = [make_record(stage, stage=stage) for stage in ("prefill", "decode")]
    scene = KeyedScene(make_route(STREAMING), records=engines, is_model=True)
    prompt = prompt_headers(model=b"m", tokens=20_000, part=b"a")
    lines = [b"%b: %b" % header for header in prompt]
    scene.send(b"Authorization: Token " + KEY_BYTES, *lines)
    scene.pool.last.respond(200, [], HANDLE)
    assert [each.record.stage for each in scene.pool.exchanges] == [
        "prefill",
        "decode",
    ]
    for exchange in scene.pool.exchanges:
        assert KEY_BYTES not in exchange.payload
        assert workspaces_of(read_headers(exchange.payload)) == [b"hule930"]
