"""Requests and replies of S3's REST protocol for single objects."""

import hashlib
import re
from urllib.parse import quote

from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Key,
    Missing,
    Row,
    Unavailable,
    Unknown,
)

__all__ = ["object_path", "entity_tag", "put_headers", "decode_get", "decode_put"]

# Error codes by which the service guarantees that nothing was written.
NOT_WRITTEN_ERRORS = {
    "AccessDenied",
    "ConditionalRequestConflict",
    "EntityTooLarge",
    "InvalidDigest",
    "NoSuchBucket",
    "ServiceUnavailable",
    "SlowDown",
}


def object_path(bucket, name):
    """Return the path of an object.

    Raises
    ------
    ValueError
        If a segment of the name is empty, `.` or `..`, since proxies and
        servers rewrite such paths.

    Examples
    --------
    >>> object_path("fleet", "outcomes/a b")
    '/fleet/outcomes/a%20b'
    """
    if not {"", ".", ".."}.isdisjoint(name.split("/")):
        raise ValueError(f"object name {name!r} has an empty or relative segment")
    return f"/{quote(bucket, safe='')}/{quote(name, safe='/')}"


def entity_tag(data):
    """Return the entity tag of an object that was uploaded in one part.

    Examples
    --------
    >>> entity_tag(b"")
    '"d41d8cd98f00b204e9800998ecf8427e"'
    """
    return f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"'


def put_headers(*, if_absent=False):
    """Return the headers of a PUT.

    Parameters
    ----------
    if_absent : bool
        Write only if there is no object of that name.
    """
    headers = (("Content-Type", "application/octet-stream"),)
    return headers + ((("If-None-Match", "*"),) if if_absent else ())


def _error(status, body):
    """Return the error code, "" if there is none, and a message for logs."""
    match = re.search(rb"<Code>([A-Za-z]{1,64})</Code>", body)
    code = match[1].decode() if match else ""
    return code, f"{code} (status {status})" if code else f"status {status}"


def decode_get(status, headers, body, *, name):
    """Return Found, Missing or Unavailable for a reply to a GET.

    Parameters
    ----------
    headers : mapping
        With keys in lower case, or without regard to case.
    name : str
        The row's key is ("object", name).

    Notes
    -----
    The reply is Unavailable if the object does not match its entity tag.
    Objects have no version number; the row's version is 1.
    """
    if status == 200:
        if headers.get("etag") != entity_tag(body):
            return Unavailable(reason="object does not match its entity tag")
        return Found(row=Row(key=Key("object", name), version=1, value=body))
    code, text = _error(status, body)
    if status == 404 and code == "NoSuchKey":
        return Missing()
    return Unavailable(reason=text)


def decode_put(status, headers, body, *, data):
    """Return the reply to a PUT of `data`.

    Returns
    -------
    Committed, ConditionFailed, Unknown or Unavailable
        ConditionFailed only with `if_absent`.
    """
    if status == 200:
        if headers.get("etag") == entity_tag(data):
            return Committed()
        return Unknown(reason="entity tag of the stored object differs")
    code, text = _error(status, body)
    if status == 412:
        return ConditionFailed()
    if code in NOT_WRITTEN_ERRORS or status == 503:
        return Unavailable(reason=text)
    return Unknown(reason=text)
