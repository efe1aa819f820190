"""Endpoint whose streams end when a test says so."""

from threading import Event

from wagtailfront.forwarding.tests.socket_instance import GET, read_until
from wagtailfront.platform.tests.wire import signed_response

__all__ = ["EVENT", "EndpointStream", "begin_stream"]

EVENT = b"id: 1\ndata: a\n\n"


class EndpointStream:
    """Script of an endpoint that ends its streams once told to."""

    def __init__(self):
        self.goes_on = Event()

    @staticmethod
    def start(connection, request_id):
        """Send the head of a stream and its first event."""
        head = signed_response(request_id, b"").replace(
            b"Content-Length: 0", b"Content-Type: text/event-stream"
        )
        connection.sendall(head + EVENT)

    def __call__(self, connection, request_id, request):
        self.start(connection, request_id)
        self.goes_on.wait(10.0)
        return False


def begin_stream(caller, *names):
    """Send requests; return what is read until the first stream began."""
    caller.sendall(b"".join(GET % name for name in names))
    return read_until(caller, [EVENT])
