"""Splitting of an event stream into whole events."""

import re

__all__ = ["EventSplitter"]

MAX_EVENT = 1024 * 1024  # bytes
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Passes on whole events only and remembers the last id.

    Attributes
    ----------
    last_id : int or None
        Id of the last whole event.
    has_rest : bool
        Whether the stream is in the middle of an event.

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
        self.rest = b""
        self.last_id = None

    @property
    def has_rest(self):
        return bool(self.rest.strip())

    def feed(self, data):
        """Return the whole events that `data` completes, unchanged.

        Raises
        ------
        ValueError
            If an event grows beyond `MAX_EVENT` bytes.
        """
        self.rest += data
        end = 0
        for found in EVENT_END.finditer(self.rest):
            end = found.end()
        whole, self.rest = self.rest[:end], self.rest[end:]
        if len(self.rest) > MAX_EVENT:
            raise ValueError("event too large")
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
        return whole
