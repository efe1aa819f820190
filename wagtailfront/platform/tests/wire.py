"""Headers and bodies in the platform's format, for the tests of forwarding."""

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


def deadline_line(milliseconds):
    """Return the header line of a deadline."""
    return b"%b: %d" % (DEADLINE, milliseconds)


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
    head = b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\nContent-Length: %d\r\n"
    head = head % (REQUEST_ID, request_id, SIGNATURE, len(body))
    return head + header_lines(headers) + b"\r\n" + body + extra
