"""State of one caller's connection."""

from collections import deque

from wagtailfront.forwarding.caller_limits import widest
from wagtailfront.forwarding.request_reader import RequestReader

__all__ = ["CallerConnection"]


class CallerConnection:
    """State of one caller's socket; times in seconds."""

    def __init__(self, *, sock, limits, now):
        self.sock = sock
        self.limits = limits
        self.reader = RequestReader(max_head=limits.max_head, max_body=limits.max_body)
        self.waiting = deque()
        self.task = None
        self.is_busy = False
        self.is_closing = False
        self.last_activity = now

    @property
    def has_request(self):
        """Return whether a whole request is without its complete answer."""
        return self.is_busy or bool(self.waiting)

    @property
    def is_idle(self):
        """Return whether no request has been read, not even in part."""
        return not self.has_request and self.reader.is_between_requests

    def use_limits(self, limits):
        """Use the present limits, and for a request those it began under."""
        if limits is not self.limits:
            if not self.reader.is_between_requests:
                limits = widest(limits, self.limits)
            self.limits = limits
            self.reader.max_head = limits.max_head
            self.reader.max_body = limits.max_body
