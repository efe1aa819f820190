"""Server-sent events: parsing and formatting."""

__all__ = ["EventStreamParser", "format_event", "DONE"]

DONE = b"[DONE]"
MAX_EVENT = 1024 * 1024  # bytes


class EventStreamParser:
    """Incremental parser of a server-sent event stream.

    Examples
    --------
    >>> parser = EventStreamParser()
    >>> parser.feed(b"data: a")
    []
    >>> parser.feed(b"b" + bytes([10, 10]) + b"data: [DONE]" + bytes([10, 10]))
    [b'ab', b'[DONE]']
    """

    def __init__(self):
        self.buffer = b""

    def feed(self, data):
        """Return the data fields of the events that `data` completes.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT` bytes.
        """
        self.buffer += data
        if b"\r" in self.buffer:
            self.buffer = self.buffer.replace(b"\r\n", b"\n")
        *events, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT:
            raise ValueError("event too large")
        return [payload for event in events if (payload := _data_of(event))]


def _data_of(event):
    """Return the data lines of one event, joined by line feeds."""
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:]
    lines = (line for line in event.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)


def format_event(payload):
    """Return `payload` (bytes without line breaks) as one event.

    Examples
    --------
    >>> format_event(b"{}") == b"data: {}" + bytes([10, 10])
    True
    """
    return b"data: " + payload + b"\n\n"
