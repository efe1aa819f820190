"""Tests of the store clients with a service whose replies are truncated."""

from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from wagtailfront.stores.interfaces import (
    Committed,
    Found,
    Key,
    Missing,
    Put,
    Rows,
    Unavailable,
    Unknown,
)
from wagtailfront.stores.object_client import ObjectClient
from wagtailfront.stores.object_codec import entity_tag
from wagtailfront.stores.table_client import TableClient
from wagtailfront.transport.tests.event_loop import EventLoop

KEY = Key("config", "head")
ITEM = (
    b'{"Item":{"pk":{"S":"config"},"sk":{"S":"head"},"version":{"N":"1"},'
    b'"value":{"B":"b25l"}}}'
)


def reply(body, *headers):
    """Return the bytes of a complete reply."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers, b"", body]
    return b"\r\n".join(lines)


def chunked(body):
    """Return a reply in chunks of one byte up to the last chunk.

    The empty line that ends the trailers is left out: by RFC 9112, section
    8, a chunked message is complete once its last chunk was received.
    """
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n"


class TruncatingService(BaseComponent):
    """Sends the first bytes of a fixed reply and closes the connection."""

    channel = "truncating_service"

    def __init__(self):
        super().__init__()
        self.bytes = b""
        self.requests = 0
        self.server = TCPServer(("127.0.0.1", 0), channel=self.channel)
        self.server.register(self)

    @handler("read")
    def _on_read(self, sock, data):
        self.requests += 1
        if self.bytes:
            self.fire(write(sock, self.bytes))
        self.fire(close(sock))


def replies_to_truncations(function, whole, **arguments):
    """Return the client's replies, by the number of bytes that it received."""
    root, service = EventLoop(), TruncatingService()
    service.register(root)
    address = ("127.0.0.1", service.server.port)
    clients = {"table": TableClient, "objects": ObjectClient}
    client_name, method = function.split(".")
    client = clients[client_name](address=address).register(root)
    replies = []
    for length in range(len(whole) + 1):
        service.bytes = whole[:length]
        got = []
        getattr(client, method)(**arguments, reply=got.append)
        root.wait_for(lambda got=got: got)
        replies.append(got[0])
    assert service.requests == len(whole) + 1
    return replies


def test_truncated_reply_to_a_write_is_unknown():
    """Guards against a truncated reply that is taken as complete."""
    puts = [Put(KEY, 0, b"one")]
    for whole in (reply(b"{}"), chunked(b"{}")):
        replies = replies_to_truncations("table.transact", whole, puts=puts, token="t")
        assert {type(item) for item in replies[:-1]} == {Unknown}
        assert replies[-1] == Committed()
    tag = b"ETag: " + entity_tag(b"data").encode()
    replies = replies_to_truncations(
        "objects.put", reply(b"", tag), name="a", data=b"data"
    )
    assert {type(item) for item in replies[:-1]} == {Unknown}
    assert replies[-1] == Committed()


def test_truncated_reply_to_a_read_is_unavailable():
    """Guards against a truncated row, or none, that is taken as the result."""
    replies = replies_to_truncations("table.get", reply(ITEM), key=KEY)
    assert {type(item) for item in replies[:-1]} == {Unavailable}
    assert replies[-1].row.value == b"one"
    replies = replies_to_truncations("table.get", chunked(b"{}"), key=KEY)
    assert {type(item) for item in replies[:-1]} == {Unavailable}
    assert replies[-1] == Missing()
    arguments = {"partition": "config", "after": "", "limit": 10}
    replies = replies_to_truncations("table.query", reply(b'{"Items":[]}'), **arguments)
    assert {type(item) for item in replies[:-1]} == {Unavailable}
    assert replies[-1] == Rows(rows=())
    tag = b"ETag: " + entity_tag(b"data").encode()
    replies = replies_to_truncations("objects.get", reply(b"data", tag), name="a")
    assert {type(item) for item in replies[:-1]} == {Unavailable}
    assert isinstance(replies[-1], Found)
