"""In-memory stand-in for the platform's list of instances."""

import hashlib
import ipaddress
import json
from collections import deque
from urllib.parse import unquote

from wagtailfront.standins.http_message import HttpReply, json_reply

__all__ = ["InstanceList"]

PREFIX = "/instances"
STATES = ("live", "leaving")
FIELDS = {"address", "data_centre", "state"}
MAX_INSTANCES = 2_000


class InstanceList:
    """Instances with id, address, data centre and state.

    Parameters
    ----------
    delay : float
        Seconds after which readers see a change.
    """

    def __init__(self, *, delay=0.0):
        self.delay = delay
        self.entries = {}
        self.history = deque([(float("-inf"), ())])

    def handle(self, request, *, now):
        """Return the reply to an HttpRequest at `now` seconds."""
        path = request.path.removeprefix(PREFIX)
        name = unquote(path.lstrip("/"))
        if request.method == "GET" and not name:
            return self._list(request.headers, now)
        if request.method == "PUT" and name:
            return self._put(name, request.body, now)
        if request.method == "DELETE" and name:
            if self.entries.pop(name, None) is None:
                return _error(404, "no such instance")
            self._record(now)
            return HttpReply(204)
        return _error(405, "GET /instances, PUT or DELETE /instances/<id>")

    def _list(self, headers, now):
        self._prune_history(now)
        entries = self.history[0][1]
        reply = json_reply(200, {"instances": entries})
        etag = f'"{hashlib.md5(reply.body, usedforsecurity=False).hexdigest()}"'
        if headers.get("if-none-match") == etag:
            return HttpReply(304, {"ETag": etag})
        return reply._replace(headers=reply.headers | {"ETag": etag})

    def _put(self, name, body, now):
        try:
            entry = json.loads(body)
            fields = {field: entry[field] for field in FIELDS}
            host, _, port = fields["address"].rpartition(":")
            ipaddress.ip_address(host)
            valid = 0 < int(port) <= 65535 and fields["state"] in STATES
            valid = valid and isinstance(fields["data_centre"], str)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            valid = False
        if not valid:
            return _error(400, "an instance has address, data_centre and state")
        if name not in self.entries and len(self.entries) >= MAX_INSTANCES:
            return _error(400, "too many instances")
        self.entries[name] = {"id": name, **fields}
        self._record(now)
        return HttpReply(204)

    def _record(self, now):
        """Add the current list to the history that readers see delayed."""
        listed = tuple(entry for _name, entry in sorted(self.entries.items()))
        self.history.append((now, listed))
        self._prune_history(now)

    def _prune_history(self, now):
        """Drop the lists that were replaced at least `delay` seconds ago."""
        while len(self.history) > 1 and self.history[1][0] <= now - self.delay:
            self.history.popleft()


def _error(status, message):
    return json_reply(status, {"error": message})
