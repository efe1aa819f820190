"""State of one caller's connection."""

from collections import deque
from typing import NamedTuple

from wagtailfront.intake.eviction import OpenConnection
from wagtailfront.serving.caller_limits import widest
from wagtailfront.serving.request_reader import Request, RequestReader

__all__ = ["CallerConnection", "ReceivedRequest"]


class ReceivedRequest(NamedTuple):
    """A whole request and the time at which it was read."""

    request: Request
    read_at: float
    held_bytes: int


class CallerConnection:
    """State of one caller's socket; times in seconds.

    Attributes
    ----------
    waiting : deque of ReceivedRequest
        Requests that follow the one in progress.
    waiting_bytes : int
        Bytes of memory that they take.
    intake : ConnectionIntake
        Reports the memory that it takes.
    current : ReceivedRequest or None
        The request in progress, until its answer is complete.
    close_reason : str or None
        Why this instance closes the connection.
    is_part_refused : bool
        Whether a request of which the rest may follow has been refused.
    opened_at : float
        Time at which the connection began.
    begun_at : float or None
        Time of the first byte of a request that is not complete.
    was_served : bool
        Whether an answer has been complete.
    has_ended_sending : bool
        Whether the caller sends no more, but may read its answers.
    written_at : float
        Time of the latest write, or since when none was expected.
    queued, queued_at : int, float
        Bytes that waited to be sent at the last check, and since when.
    """

    def __init__(self, *, sock, limits, now):
        self.sock = sock
        self.limits = limits
        self.reader = RequestReader(max_head=limits.max_head, max_body=limits.max_body)
        self.waiting = deque()
        self.waiting_bytes = 0
        self.current = None
        self.task = self.intake = None
        self.is_closing = False
        self.close_reason = None
        self.is_part_refused = False
        self.has_ended_sending = False
        self.begun_at = None
        self.was_served = False
        self.opened_at = self.last_activity = self.written_at = now
        self.queued, self.queued_at = 0, now

    @property
    def is_busy(self):
        """Return whether a request is in progress."""
        return self.current is not None

    @property
    def has_request(self):
        """Return whether a whole request is without its complete answer."""
        return self.is_busy or bool(self.waiting)

    @property
    def is_idle(self):
        """Return whether no request has been read, not even in part."""
        return not self.has_request and self.reader.is_between_requests

    def as_open_connection(self, *, is_reading_answer):
        """Return what decides whether the connection may be closed."""
        reader = self.reader
        has_request = self.has_request and not self.is_closing
        return OpenConnection(
            key=self,
            opened_at=self.opened_at,
            active_at=self.last_activity,
            has_work=has_request or is_reading_answer,
            was_served=self.was_served,
            is_refused=self.is_closing,
            has_part_of_body=reader.in_body and not reader.is_between_requests,
        )

    def receive(self, data, *, now):
        """Return the requests that `data` completes."""
        requests = self.reader.feed(data)
        if self.reader.is_between_requests:
            self.begun_at = None
        elif requests or self.begun_at is None:
            self.begun_at = now
        return [
            ReceivedRequest(request, now, request.held_bytes) for request in requests
        ]

    @property
    def pending_bytes(self):
        """Return the bytes of memory of requests that are not in progress."""
        return self.waiting_bytes + self.reader.held_bytes

    @property
    def held_bytes(self):
        """Return the bytes of memory of all its requests."""
        current = 0 if self.current is None else self.current.held_bytes
        return current + self.pending_bytes

    def add_waiting(self, received):
        """Add requests that follow the one in progress."""
        self.waiting.extend(received)
        self.waiting_bytes += sum(each.held_bytes for each in received)

    def take_next(self):
        """Make the first waiting request the one in progress."""
        self.current = self.waiting.popleft()
        self.waiting_bytes -= self.current.held_bytes

    def take_unanswered(self):
        """Remove and return all requests without their complete answer."""
        current = () if self.current is None else (self.current,)
        unanswered = [*current, *self.waiting]
        self.current = None
        self.waiting.clear()
        self.waiting_bytes = 0
        return unanswered

    def use_limits(self, limits):
        """Use the present limits, and for a request those it began under."""
        if limits is not self.limits:
            if not self.reader.is_between_requests:
                limits = widest(limits, self.limits)
            self.limits = limits
            self.reader.max_head = limits.max_head
            self.reader.max_body = limits.max_body
