"""Parsing of calls to plain services, and which may be repeated."""

from typing import NamedTuple

import xxhash

from wagtailfront.callers.completion_request import InvalidRequest, parse_deadline

__all__ = ["ServiceCall", "parse_service_call", "is_idempotent", "answer_headers"]

PREFIX = "/services/"
MAX_KEY_LENGTH = 255  # characters of an idempotency key

# RFC 9110, section 9.2.2. Only a service knows whether its POST or PATCH may
# be repeated, so these count as non-idempotent.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

# RFC 9110, section 7.6.1, and the headers that the client pool sets itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Callers' credentials are for this system, not for the endpoints.
NOT_FORWARDED = HOP_BY_HOP | {"authorization", "idempotency-key"}


class ServiceCall(NamedTuple):
    """A validated call of a plain service; `deadline` is in seconds."""

    service: str
    method: str
    path: str
    headers: tuple
    body: bytes
    key: str
    deadline: float
    workspace: str

    def fingerprint(self):
        """Return a digest of method, path and body."""
        digest = xxhash.xxh3_128(f"{self.method} {self.path}\n".encode())
        digest.update(self.body)
        return digest.hexdigest()


def parse_service_call(method, path, query, headers, body):
    """Parse and validate a call.

    Raises
    ------
    InvalidRequest
        If the call is invalid; the message is for the caller.
    """
    service, _, rest = path.removeprefix(PREFIX).partition("/")
    if not service:
        raise InvalidRequest("no service named", status=404, code="not_found")
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise InvalidRequest(f"'Idempotency-Key' is over {MAX_KEY_LENGTH} characters")
    target = "/" + rest + (f"?{query}" if query else "")
    if any(character.isspace() for character in target):
        raise InvalidRequest("the path must not hold white space")
    return ServiceCall(
        service=service,
        method=method,
        path=target,
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in NOT_FORWARDED
        ),
        body=body,
        key=key,
        deadline=parse_deadline(headers),
        workspace=headers.get("X-Workspace", "default"),
    )


def is_idempotent(call, service):
    """Return whether a call may be sent twice.

    Parameters
    ----------
    call : ServiceCall
    service : Service
        Its `non_idempotent` rules exclude calls whose method HTTP defines
        as idempotent.
    """
    if call.method not in IDEMPOTENT_METHODS:
        return False
    return not any(
        call.method in rule.methods and call.path.startswith(rule.path_prefix)
        for rule in service.non_idempotent
    )


def answer_headers(headers):
    """Return the endpoint's headers that are forwarded to the caller."""
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
    ]
