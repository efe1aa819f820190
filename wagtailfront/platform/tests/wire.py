"""Headers and bodies in the platform's format, for the tests of forwarding."""

import re

REQUEST_ID = b"X-Request-Id"
SIGNATURE = b"X-Response-Stamp"
DEADLINE = b"X-Deadline-Ms"

SIGNED = [(REQUEST_ID, b"r1"), (SIGNATURE, b"s")]
SIGNED_ONLY = [(SIGNATURE, b"s")]
UNSIGNED = [(REQUEST_ID, b"r1")]
OTHER_REQUEST = [(REQUEST_ID, b"other"), (SIGNATURE, b"s")]
NOT_RUN = [(REQUEST_ID, b"r1"), (b"X-Not-Executed", b"1")]
NOT_RUN_UNNAMED = [(b"X-Not-Executed", b"1")]
EVENT_STREAM = [*SIGNED, (b"Content-Type", b"text/event-stream")]
HANDLE = b'{"handle":"k7","tokens":10,"version":1}'

PREFILL_LINE = b"X-Stage: prefill"
KV_SOURCE = b"X-Kv-Source"
LEAVING = (b"Server-Leaving", b"1")
KEY = b"Authorization"
WORKSPACE = b"X-Tenant"


def deadline_line(milliseconds):
    """Return the header line of a deadline."""
    return b"%b: %d" % (DEADLINE, milliseconds)


def key_line(key):
    """Return the header line of a caller's key."""
    return b"%b: Token %b" % (KEY, key.encode())


def workspace_line(name):
    """Return the header line of a workspace."""
    return b"%b: %b" % (WORKSPACE, name)


def workspaces_of(headers):
    """Return the workspaces that the headers of a request name."""
    return [value for name, value in headers if name.lower() == WORKSPACE.lower()]


def tenants(*keys, name="hule930", **fields):
    """Return the field of a configuration with one workspace."""
    return [{"name": name, "api-keys": list(keys), **fields}]


def read_deadline(request):
    """Return the milliseconds that a request's head leaves for it."""
    return int(re.search(rb"(?i)%b: (\d+)" % DEADLINE, request)[1])


def read_priority(request):
    """Return the priority that a request's head names for the engine."""
    return int(re.search(rb"X-Request-Priority: (\d+)", request)[1])


def kv_source_line(address, handle):
    """Return the header line of the source of a prompt's KV cache."""
    return b"%b: %b/%b" % (KV_SOURCE, address, handle)


def resume_line(event_id):
    """Return the header line of a stream that resumes after an event."""
    return b"Last-Event-Id: %d" % event_id


def rate_limit_header(rate):
    """Return the header by which an endpoint names its rate limit."""
    return (b"Server-Limit", b"%g" % rate)


def retry_after_header(seconds):
    """Return the header by which an endpoint asks for a pause."""
    return (b"Retry-After", b"%g" % seconds)


def header_lines(headers):
    """Return headers as the bytes of a head."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def refusal_response(request_id, *, headers=()):
    """Return the bytes of a named refusal on a connection that is kept."""
    head = b"HTTP/1.1 503 Full\r\n%b: %b\r\nX-Not-Executed: 1\r\n"
    head = head % (REQUEST_ID, request_id) + header_lines(headers)
    return head + b"Content-Length: 0\r\n\r\n"


def signed_response(request_id, body, *, extra=b"", headers=()):
    """Return the bytes of a signed response with a length, and `extra`."""
    lines = header_lines(headers)
    head = signed_head(request_id, b"Content-Length: %d\r\n" % len(body) + lines)
    return head + body + extra


def signed_head(request_id, lines=b"", *, status=b"200 OK", version=b"1.1"):
    """Return the head of a signed response with further header lines."""
    head = b"HTTP/%b %b\r\n%b: %b\r\n%b: s\r\n%b\r\n"
    return head % (version, status, REQUEST_ID, request_id, SIGNATURE, lines)


def event_stream_headers(request_id):
    """Return the headers of a signed event stream."""
    return [
        (REQUEST_ID, request_id),
        (SIGNATURE, b"s"),
        (b"Content-Type", b"text/event-stream"),
    ]


def refusal_headers(request_id):
    """Return the headers of a named refusal."""
    return [(REQUEST_ID, request_id), (b"X-Not-Executed", b"1")]


def caller_headers(request_id, *, seconds=5.0, resumes=None, after=None, tokens=0):
    """Return a caller's headers; with `after`, those that resume a stream."""
    optional = [
        (b"Resumes", resumes),
        (b"Last-Event-Id", None if after is None else b"%d" % after),
        (b"X-Token-Count", b"%d,10" % tokens if tokens else None),
    ]
    return [
        (b"Host", b"h"),
        (REQUEST_ID, request_id),
        (DEADLINE, b"%d" % round(seconds * 1000)),
        *(header for header in optional if header[1] is not None),
    ]


def prompt_headers(*, model, tokens, part):
    """Return the headers of a prompt that is one part of so many tokens."""
    return [
        (b"X-Model", model),
        (b"X-Token-Count", b"%d,40" % tokens),
        (b"X-Prompt-Prefix", b"%b:%d" % (part, tokens)),
    ]


def resumed_event(payload):
    """Return the id of the event after which a request resumes, or 0."""
    found = re.findall(rb"Last-Event-Id: (\d+)", payload)
    return int(found[-1]) if found else 0
