"""In-memory stand-in for an object store with S3's REST protocol."""

import hashlib
from urllib.parse import unquote

from wagtailfront.standins.http_message import HttpReply

__all__ = ["ObjectService"]

OBJECT_LIMIT = 64 * 1024 * 1024  # bytes


class ObjectService:
    """Objects of one bucket.

    Parameters
    ----------
    bucket : str
        Name of the bucket.
    """

    def __init__(self, *, bucket="wagtailfront"):
        self.bucket = bucket
        self.objects = {}

    def handle(self, request):
        """Return the reply to an HttpRequest."""
        bucket, _, key = unquote(request.path).lstrip("/").partition("/")
        if bucket != self.bucket or not key:
            return _error(404, "NoSuchBucket")
        if request.method == "GET":
            return self._get(key, request.headers)
        if request.method == "PUT":
            return self._put(key, request.headers, request.body)
        return _error(405, "MethodNotAllowed")

    def _get(self, key, headers):
        data = self.objects.get(key)
        if data is None:
            return _error(404, "NoSuchKey")
        etag = _etag(data)
        if headers.get("if-none-match") in ("*", etag):
            return HttpReply(304, {"ETag": etag})
        content_type = "application/octet-stream"
        return HttpReply(200, {"ETag": etag, "Content-Type": content_type}, data)

    def _put(self, key, headers, data):
        if len(data) > OBJECT_LIMIT:
            return _error(400, "EntityTooLarge")
        condition = headers.get("if-none-match")
        if condition not in (None, "*"):
            return _error(501, "NotImplemented")
        if condition == "*" and key in self.objects:
            return _error(412, "PreconditionFailed")
        self.objects[key] = data
        return HttpReply(200, {"ETag": _etag(data)})


def _etag(data):
    return f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"'


def _error(status, code):
    body = (
        '<?xml version="1.0" encoding="UTF-8"?>\n'
        f"<Error><Code>{code}</Code><Message>{code}</Message></Error>"
    )
    return HttpReply(status, {"Content-Type": "application/xml"}, body.encode())
