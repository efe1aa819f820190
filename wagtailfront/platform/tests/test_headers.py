"""Tests of the headers towards callers and endpoints."""

import pytest

from wagtailfront.forwarding.interfaces import PromptPart, SendOptions
from wagtailfront.platform.headers import PlatformDialect

DIALECT = PlatformDialect()
CALLER = [
    (b"Host", b"H.example:80"),
    (b"X-Request-Id", b"r1"),
    (b"X-Deadline-Ms", b"1500"),
    (b"X-Token-Count", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e:800, 91bd:410"),
    (b"Last-Event-Id", b"12"),
    (b"Resumes", b"r0"),
    (b"Authorization", b"Bearer c1"),
    (b"X-Own", b"kept"),
]


def test_request_headers_are_decoded():
    """Guards against wrong units or a wrong order of a header's values."""
    fields = DIALECT.read_request(CALLER)
    assert (fields.request_id, fields.host) == ("r1", "H.example")
    assert (fields.time_left, fields.last_event_id) == (1.5, 12)
    assert fields.resumes == "r0"
    assert fields.caller == "Bearer c1"
    assert (fields.prompt_tokens, fields.max_output_tokens) == (1460, 80)
    assert fields.parts == (PromptPart("5c1e", 800), PromptPart("91bd", 410))


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Token-Count", b"a,b"),
        (b"X-Prompt-Prefix", b"5c1e"),
    ],
)
def test_an_unreadable_header_is_an_error(header):
    """Guards against exceptions that the forwarder does not handle."""
    with pytest.raises(ValueError):
        DIALECT.read_request([header])


def test_system_headers_of_callers_are_removed():
    """Guards against callers that control engines by the system's headers."""
    names = (b"X-Kv-Source", b"x-kv-hold", b"X-PIN-MS", b"X-Kv-Backup", b"X-Stage")
    names += (b"X-Expect-Instance", b"X-Request-Priority", b"X-Deadline-Ms")
    sent = DIALECT.endpoint_headers(
        [(name, b"evil") for name in names], SendOptions("i-1", 0.5)
    )
    assert sorted(sent) == [(b"X-Deadline-Ms", b"500"), (b"X-Expect-Instance", b"i-1")]


def test_other_headers_are_passed_on_and_system_headers_added():
    """Guards the headers of a request that resumes at another engine."""
    options = SendOptions(
        "i-1", 1.0, priority=12, kv_source="10.0.0.1:80/k", resume_after=15
    )
    sent = dict(DIALECT.endpoint_headers(CALLER, options))
    assert sent[b"X-Own"] == b"kept"
    assert sent[b"X-Token-Count"] == b"1460,80"
    assert sent[b"Last-Event-Id"] == b"15"
    assert sent[b"X-Request-Priority"] == b"9"
    assert sent[b"X-Kv-Source"] == b"10.0.0.1:80/k"


def test_response_headers_are_decoded():
    """Guards the headers that decide whether a response is trusted."""
    fields = DIALECT.read_response(
        503, [(b"x-not-executed", b"1"), (b"X-REQUEST-ID", b"r1")]
    )
    assert fields.is_not_run
    assert fields.request_id == "r1"
    assert not fields.is_signed
    assert not fields.is_encoded


@pytest.mark.parametrize(
    "value, rate",
    [
        (b"4", 4.0),
        (b"3.9", 3.9),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"", None),
    ],
)
def test_rate_limit_of_an_endpoint_is_decoded(value, rate):
    """Guards the limit that an endpoint names for all instances."""
    assert DIALECT.read_response(200, [(b"server-limit", value)]).rate_limit == rate


@pytest.mark.parametrize(
    ("values", "is_leaving", "unreadable"),
    [
        ([b"1"], True, 0),
        ([b" 1 "], True, 0),
        ([b"1", b"1"], True, 0),
        ([b"1", b"0"], True, 1),
        ([b"1, 1"], True, 0),
        ([], False, 0),
        ([b"0"], False, 1),
        ([b""], False, 1),
        ([b"true"], False, 1),
        ([b"11"], False, 1),
        ([b"\xff" * 900], False, 1),
    ],
)
def test_only_one_value_says_that_an_endpoint_leaves(values, is_leaving, unreadable):
    """Guards an endpoint against a header that says something else."""
    headers = [(b"server-Leaving", value) for value in values]
    notice = DIALECT.read_response(200, headers).notice
    assert notice.is_leaving == is_leaving
    assert len(notice.unreadable) == unreadable
    assert all(len(line) < 80 for line in notice.unreadable)


def test_a_list_of_many_values_is_shown_in_part():
    """Guards the log against a header that fills the whole head."""
    headers = [(b"retry-after", b"x," * 5000 + b"3," * 5000)]
    notice = DIALECT.read_response(503, headers).notice
    assert notice.retry_after == 3.0
    assert len(notice.headers) + len(notice.unreadable) < 10


def test_kv_source_contains_the_engines_address():
    """Guards the source from which a prompt's KV cache is fetched."""
    assert DIALECT.read_handle("10.0.0.1:80", b'{"handle":"k"}') == "10.0.0.1:80/k"
    with pytest.raises(ValueError):
        DIALECT.read_handle("10.0.0.1:80", b"{}")
