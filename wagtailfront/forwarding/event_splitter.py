"""Splitting of an event stream at event boundaries."""

import re

__all__ = ["EventSplitter"]

MAX_EVENT = 1024 * 1024  # bytes
EVENT_END = re.compile(rb"\r?\n\r?\n")
LONGEST_END = 4  # bytes
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Buffers a stream so that only complete events leave it.

    Parameters
    ----------
    after : int, optional
        Id of the last event before the stream.

    Attributes
    ----------
    partial : bytearray
        Start of an event that is not complete.
    last_id : int or None
        Id of the last complete event that had one; `after` until then.
    has_partial_event : bool
        Whether an incomplete event is buffered.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> newline = bytes([10])
    >>> splitter.feed(b"id: 4" + newline + b"data: a" + newline)
    b''
    >>> len(splitter.feed(newline + b"id: 5")), splitter.last_id
    (15, 4)
    """

    def __init__(self, *, after=None):
        self.partial = bytearray()
        self.last_id = after

    @property
    def has_partial_event(self):
        return bool(self.partial.strip())

    def feed(self, data):
        """Return the events that `data` completes, as received.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT` bytes, or if ids do not
            increase, so that an event would be repeated.
        """
        # An event may end with bytes of both.
        start = max(0, len(self.partial) - LONGEST_END + 1)
        self.partial += data
        end = 0
        for found in EVENT_END.finditer(self.partial, start):
            end = found.end()
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        if len(self.partial) > MAX_EVENT:
            raise ValueError("event too large")
        for found in EVENT_ID.findall(complete):
            event_id = int(found)
            if self.last_id is not None and event_id <= self.last_id:
                raise ValueError(f"event {event_id} after event {self.last_id}")
            self.last_id = event_id
        return complete
