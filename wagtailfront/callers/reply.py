"""Answer to one caller, sent at once or streamed."""

from circuits.net.events import close
from circuits.web.events import response, stream

__all__ = ["Reply"]


class stream_part(stream):
    """Part of a streamed answer, handled as a `stream` event.

    For a `stream` event, circuits also fires a success and a completion
    event, each of a new class. Nothing handles them, and they took about a
    quarter of the processor time of a token, so they are switched off.
    """

    name = "stream"
    success = False
    complete = False


class Reply:
    """Writes the answer to one request of a `HttpServer`.

    Parameters
    ----------
    component : BaseComponent
        Fires the events.
    channel : str
        The server's channel.
    req, res : circuits.web request and response
    """

    def __init__(self, *, component, channel, req, res):
        self.component = component
        self.channel = channel
        self.req = req
        self.res = res
        self.started = False
        self.ended = False

    def _fire(self, event):
        self.component.fire(event, self.channel)

    def respond(self, status, headers, body):
        """Send a complete answer."""
        self.ended = True
        self.res.status = status
        for name, value in headers:
            self.res.headers[name] = value
        self.res.body = body
        self._fire(response(self.res))

    def start(self, headers):
        """Send the head of a streamed answer."""
        self.started = True
        for name, value in headers:
            self.res.headers[name] = value
        self.res._body = None
        self._fire(response(self.res))

    def send(self, data):
        """Send a part of a streamed answer."""
        self._fire(stream_part(self.res, data))

    def end(self):
        """End a streamed answer."""
        self.ended = True
        self._fire(stream(self.res, None))

    def abort(self):
        """Close the connection, so that a cut answer cannot look complete."""
        self.ended = True
        self._fire(close(self.req.sock))
