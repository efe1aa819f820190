"""Buffering of the first line of an HTTP message."""

__all__ = ["FirstLineBuffer"]


class FirstLineBuffer:
    """Buffers a message until its first line is complete.

    circuits' parser searches each read separately for the end of the first
    line, so it misses a CR and LF that arrive in two reads. Empty lines before
    the first line are dropped, as RFC 9112, section 2.2, advises.

    Examples
    --------
    >>> first_line = FirstLineBuffer()
    >>> first_line.feed(b"GET / HTTP/1.1\\r"), first_line.feed(b"\\nHost: a")
    (b'', b'GET / HTTP/1.1\\r\\nHost: a')
    """

    def __init__(self):
        self.buffered = b""
        self.is_complete = False

    def feed(self, data):
        """Return bytes for the parser, b"" until the line is complete."""
        if self.is_complete:
            return data
        self.buffered = (self.buffered + data).lstrip(b"\r\n")
        if b"\r\n" not in self.buffered:
            return b""
        self.is_complete = True
        data, self.buffered = self.buffered, b""
        return data
