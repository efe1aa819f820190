"""Splitting of an event stream at event boundaries."""

import re

__all__ = ["EventSplitter"]

MAX_EVENT = 1024 * 1024  # bytes
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Buffers a stream so that only complete events leave it.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event that had one.
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

    def __init__(self):
        self.partial = b""
        self.last_id = None

    @property
    def has_partial_event(self):
        return bool(self.partial.strip())

    def feed(self, data):
        """Return the events that `data` completes, as received.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT` bytes.
        """
        self.partial += data
        end = 0
        for found in EVENT_END.finditer(self.partial):
            end = found.end()
        complete, self.partial = self.partial[:end], self.partial[end:]
        if len(self.partial) > MAX_EVENT:
            raise ValueError("event too large")
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = int(ids[-1])
        return complete
