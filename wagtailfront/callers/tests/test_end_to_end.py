"""End-to-end tests from a caller to stand-in endpoints."""

import http.client
import json
import socket

import openai
import pytest

from wagtailfront.authority.config_state import Workspace
from wagtailfront.callers.tests.builders import (
    Instance,
    make_configuration,
    make_engine,
    running,
)
from wagtailfront.standins.engine_text import whole_answer
from wagtailfront.standins.service import StandinService

PROMPT = "Draft a label for tokens=40 plum sorbet"


@pytest.fixture
def system():
    engines = [make_engine(number) for number in range(3)]
    service = StandinService(bind=("127.0.0.1", 0), name="ledger-0")
    instance = Instance(make_configuration(engines, [service]))
    with running(*engines, service, *instance.components):
        yield instance, engines, service


def make_client(instance):
    return openai.OpenAI(
        api_key="test",
        base_url=f"http://127.0.0.1:{instance.port}/v1",
        max_retries=0,
        timeout=20,
    )


def call(instance, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", instance.port, timeout=20)
    connection.request(method, path, body, headers or {})
    response = connection.getresponse()
    result = response.status, response.headers, json.loads(response.read())
    connection.close()
    return result


def test_official_client_whole_and_streamed(system):
    """Guards against answers that the official client cannot read."""
    client = make_client(system[0])
    assert [model.id for model in client.models.list()] == ["recipe-large"]
    whole = client.completions.create(
        model="recipe-large", prompt=PROMPT, max_tokens=100
    )
    assert whole.choices[0].text == whole_answer(PROMPT.encode(), 100)
    assert whole.choices[0].finish_reason == "stop"
    assert whole.usage.completion_tokens == 40
    chat = client.chat.completions.create(
        model="recipe-large",
        messages=[{"role": "user", "content": PROMPT}],
        max_tokens=20,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(chat)
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert text == whole_answer(f"user: {PROMPT}".encode(), 20)
    assert chunks[-1].usage.completion_tokens == 20
    assert chunks[-2].choices[0].finish_reason == "length"


@pytest.mark.parametrize("fault", ["truncate", "cross", "duplicate"])
def test_damaged_engine_stream_is_resumed(system, fault):
    """Guards against truncated, crossed or duplicated chunks in an answer."""
    instance, engines, _service = system
    for engine in engines[:2]:
        engine.faults[fault] = 1
    client = make_client(instance)
    stream = client.completions.create(
        model="recipe-large", prompt=PROMPT, max_tokens=100, stream=True
    )
    assert "".join(c.choices[0].text for c in stream) == whole_answer(
        PROMPT.encode(), 100
    )


def test_cut_stream_does_not_look_complete(system):
    """Guards against a cut answer that looks complete if all engines fail."""
    instance, engines, _service = system
    for engine in engines:
        engine.faults["truncate"] = 100
    stream = make_client(instance).completions.create(
        model="recipe-large", prompt=PROMPT, max_tokens=100, stream=True
    )
    with pytest.raises(openai.APIError):
        list(stream)


def test_unknown_model_and_malformed_requests(system):
    """Guards against error responses without a verdict."""
    instance = system[0]
    bodies = [b"{", b"[]", b'{"model": "x"}', b'{"model": "x", "prompt": "p", "n": 2}']
    for body in bodies:
        status, headers, answer = call(instance, "POST", "/v1/completions", body)
        assert (status, answer["error"]["verdict"]) == (400, "not_run")
    body = json.dumps({"model": "absent", "prompt": "p"})
    status, headers, answer = call(instance, "POST", "/v1/completions", body)
    assert status == 503
    assert headers["X-Verdict"] == "not_run"
    assert headers["Retry-After"] == "1"


def test_service_calls_run_once(system):
    """Guards against lost or repeated calls of a plain service."""
    instance, _engines, service = system
    for number in range(5):
        status, headers, answer = call(
            instance, "POST", "/services/member-ledger/slots", f"slot {number}"
        )
        assert (status, headers["X-Verdict"]) == (200, "ran")
        assert answer["body"] == f"slot {number}"
        assert answer["path"] == "/slots"
    assert set(service.effects.values()) == {1}
    status, _headers, answer = call(instance, "GET", "/services/absent/x")
    assert (status, answer["error"]["verdict"]) == (404, "not_run")


def test_pipelined_request_gets_no_wrong_answer(system):
    """Guards against a pipelined request that gets another one's answer."""
    instance, _engines, service = system
    connection = http.client.HTTPConnection("127.0.0.1", instance.port, timeout=20)
    connection.connect()
    head = "POST /services/member-ledger/slots HTTP/1.1\r\nHost: x\r\n"
    requests = [f"{head}Content-Length: 1\r\n\r\n{number}" for number in range(3)]
    requests[-1] = requests[-1].replace("Host: x", "Host: x\r\nConnection: close")
    connection.sock.sendall("".join(requests).encode())
    received = b""
    while data := connection.sock.recv(65536):
        received += data
    connection.close()
    assert received.count(b"HTTP/1.1 200") == 3
    places = [received.index(b'"body":"%d"' % number) for number in range(3)]
    assert places == sorted(places)
    assert service.effects == {"0": 1, "1": 1, "2": 1}


def test_late_lookup_is_hedged_and_bookings_are_not():
    """Guards against waits for a slow endpoint and repeated bookings."""
    engine = make_engine(0)
    fast = StandinService(bind=("127.0.0.1", 0), name="fast", service_time=0.001)
    slow = StandinService(
        bind=("127.0.0.1", 0), name="slow", service_time=2.0, channel="slow"
    )
    instance = Instance(make_configuration([engine], [slow, fast]))
    # 100 calls give enough latency samples and a budget of two hedges.
    hedges = instance.dispatcher.services.hedges
    for _ in range(100):
        hedges.lateness.observe(1.0, 1.0)
        hedges.budget.record_request()
        hedges.retries.record_request()
    with running(engine, fast, slow, *instance.components):
        answers = [
            call(instance, "GET", "/services/member-ledger/accounts")[2]["endpoint"]
            for _ in range(2)
        ]
        assert answers == ["fast", "fast"]
        bookings = [
            call(instance, "POST", "/services/member-ledger/slots", f"s{n}")[0]
            for n in range(2)
        ]
    assert bookings == [200, 200]
    assert fast.effects + slow.effects == {"s0": 1, "s1": 1}


def test_workspace_rate_is_limited(system):
    """Guards against a workspace that exceeds its configured rate."""
    instance = system[0]
    scheduler = instance.dispatcher.scheduler
    limited = Workspace("stalls", requests_per_s=0.001, burst=2.0)
    config = scheduler.config._replace(workspaces={"stalls": limited})
    instance.dispatcher._on_configuration(config)
    headers = {"X-Workspace": "stalls"}
    results = [
        call(instance, "GET", "/services/member-ledger/x", headers=headers)[0]
        for _ in range(4)
    ]
    assert results == [200, 200, 429, 429]
    assert not instance.dispatcher.limits.open_counts
    status, _headers, answer = call(
        instance,
        "GET",
        "/services/member-ledger/x",
        headers={"X-Workspace": "unknown"},
    )
    assert (status, answer["error"]["code"]) == (403, "unknown_workspace")


def test_http_1_0_callers_get_unchunked_streams(system):
    """Guards against chunked encoding to HTTP/1.0 callers.

    Such callers would read the chunk sizes as text of the answer.
    """
    instance = system[0]
    body = json.dumps(
        {"model": "recipe-large", "prompt": PROMPT, "max_tokens": 3, "stream": True}
    )
    head = f"POST /v1/completions HTTP/1.0\r\nHost: x\r\nContent-Length: {len(body)}"
    with socket.create_connection(("127.0.0.1", instance.port), timeout=20) as caller:
        caller.sendall(f"{head}\r\n\r\n{body}".encode())
        received = b""
        while data := caller.recv(65536):
            received += data
    head, _, events = received.partition(b"\r\n\r\n")
    assert b"chunked" not in head
    assert events.startswith(b"data: {")
    assert events.endswith(b"data: [DONE]\n\n")
