"""HTTP requests and replies of the stand-ins that do no I/O."""

import json
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["HttpRequest", "HttpReply", "json_reply"]


class HttpRequest(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""


class HttpReply(NamedTuple):
    """A complete reply."""

    status: int
    headers: Mapping[str, str] = {}
    body: bytes = b""


def json_reply(status, value, *, content_type="application/json", **headers):
    """Return a reply with a JSON body."""
    body = json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
    return HttpReply(status, {"Content-Type": content_type, **headers}, body)
