"""Response to a request on a caller's connection."""

import logging

from wagtailfront.transport.framing import (
    LAST_CHUNK,
    encode_chunk,
    encode_head,
    join_small,
    status_line,
)

__all__ = ["Reply"]

logger = logging.getLogger(__name__)


class Reply:
    """Response to one request on a caller's connection.

    A second head would stand in the body of the first response. Such a call
    resets the connection instead; one after the end is only logged, as the
    connection may carry the next response already.
    """

    def __init__(self, *, server, connection, request):
        self.server = server
        self.connection = connection
        self.keep_alive = request.keep_alive
        self.is_chunked = request.http_version != "1.0"
        self.is_started = False
        self.is_ended = False

    def answer(self, status, headers, body):
        """Send a complete response."""
        if self.is_started:
            self._fail("an answer")
            return
        self.is_started = True
        self._leave_if_last()
        length = (b"Content-Length", b"%d" % len(body))
        for part in join_small(self._head(status, [*headers, length]), body):
            if part:
                self._write(part)
        self._end()

    def start(self, status, headers):
        """Send the head of a streamed response."""
        if self.is_started:
            self._fail("a second head")
            return
        self.is_started = True
        if self.is_chunked:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        else:
            self.keep_alive = False
        self._write(self._head(status, headers))

    def send(self, data):
        """Send a part of a streamed response's body."""
        if self.is_ended or not self.is_started:
            self._fail("a part")
            return
        self._write(encode_chunk(data) if self.is_chunked else data)

    def finish(self):
        """End a streamed response as complete."""
        if self.is_ended or not self.is_started:
            self._fail("an end")
            return
        if self.is_chunked:
            self._write(LAST_CHUNK)
        # Not in the head, as requests may arrive until the end of the stream.
        self._leave_if_last()
        self._end()

    def abort(self):
        """End the connection in a way that shows the response is truncated."""
        if not self.is_ended:
            self.is_ended = True
            self.server.reset(self.connection, is_framed=self.is_chunked)

    def release_body(self):
        """Free the request's body, of which the application has a copy."""
        received = self.connection.current
        request = received.request._replace(body=b"")
        self.connection.current = received._replace(request=request)

    def _fail(self, what):
        """Reset an open response, as `what` does not fit what was sent."""
        logger.error("[callers] A response got %s out of turn.", what)
        self.abort()

    def _leave_if_last(self):
        """Close the connection afterwards if the instance stops."""
        if self.server.is_draining and not self.server.has_more(self.connection):
            self.keep_alive = False

    def _head(self, status, headers):
        if not self.keep_alive:
            headers = [*headers, (b"Connection", b"close")]
        return encode_head(status_line(status), headers)

    def _write(self, data):
        self.connection.written_at = self.server.clock()
        self.server.listener.write(self.connection.sock, data)

    def _end(self):
        self.is_ended = True
        self.server.end_reply(self.connection, self.keep_alive)
