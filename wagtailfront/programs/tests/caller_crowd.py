"""Callers that send much, stop short of an end, or don't read."""

import contextlib
import itertools
import selectors
import socket
import threading
from typing import Any, NamedTuple

from wagtailfront.platform.tests.wire import signed_response

__all__ = [
    "LONG_ANSWER",
    "ReturningCrowd",
    "CROWDS",
    "ChunkFlood",
    "Crowd",
    "CrowdRun",
    "answer_late",
    "answer_long",
    "body_in_pieces",
    "large_chunks",
    "length_head",
    "open_connections",
    "whole_body",
]

MEGABYTE = 1024 * 1024
PIECE = b"x" * 65536
LONG_ANSWER = b"y" * (3 * MEGABYTE)
SEND_TIMEOUT = 5.0  # seconds for one piece, until a caller gives up sending
JOIN_TIMEOUT = 120.0  # seconds; ends a test whose callers never stop
WORK_SECONDS = 0.3  # of an endpoint for one request
HEAD = b"%b /services/orders/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: c%d\r\n"
NUMBERS = itertools.count()
SHORT = 100  # bytes that those who stop short leave out
WHOLE_EACH = 10  # one of so many sends its whole request


def head(method=b"POST"):
    """Return a head without its last line; each has an id of its own."""
    return HEAD % (method, next(NUMBERS))


def length_head(size):
    """Return the head of a request with an announced length."""
    return head() + b"Content-Length: %d\r\n\r\n" % size


def chunked_head():
    """Return the head of a request in chunks."""
    return head() + b"Transfer-Encoding: chunked\r\n\r\n"


def pieces(size):
    """Yield a body in pieces."""
    for start in range(0, size, len(PIECE)):
        yield PIECE[: size - start]


def stops_short(number):
    """Return whether a caller leaves its request without an end."""
    return number % WHOLE_EACH != 0


def whole_body(number, size):
    """Yield a request in one part."""
    yield length_head(size) + b"x" * size


def body_in_pieces(number, size):
    """Yield a request with its length, most without the last bytes."""
    yield length_head(size)
    yield from pieces(size - SHORT * stops_short(number))


def large_chunks(number, size):
    """Yield a request in large chunks, most without the last one."""
    yield chunked_head()
    for piece in pieces(size - SHORT):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)
    if not stops_short(number):
        yield b"0\r\n\r\n"


def tiny_chunks(number, size):
    """Yield a request in chunks of one byte, most without the last one."""
    yield chunked_head()
    for piece in pieces(size - SHORT):
        yield b"1\r\nx\r\n" * len(piece)
    if not stops_short(number):
        yield b"0\r\n\r\n"


def announced_too_large(number, size):
    """Yield a body far over the limit, with its length."""
    yield length_head(1000 * size)
    yield from pieces(4 * size)


def endless_chunks(number, size):
    """Yield a body far over the limit, in chunks."""
    yield chunked_head()
    for piece in pieces(4 * size):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def endless_trailer(number, size):
    """Yield a body whose trailer has one value without end."""
    yield chunked_head() + b"1\r\nx\r\n0\r\nX-Own: "
    yield from pieces(size)


def pipelined(number, size):
    """Yield many requests at once on one connection."""
    for _request in range(8):
        yield length_head(size)
        yield from pieces(size)


def long_answer(number, size):
    """Yield a request whose answer is never read."""
    yield head(b"GET") + b"\r\n"


def long_head(number, size):
    """Yield a head of many small headers, without its end."""
    yield head() + b"a:b\r\n" * (size // 6 - SHORT)


def answer_late(connection, request_id, request):
    """Answer a request after the time that an engine takes for it."""
    threading.Event().wait(WORK_SECONDS)
    with contextlib.suppress(OSError):
        connection.sendall(signed_response(request_id, b"ok"))
        return True


def answer_long(connection, request_id, request):
    """Answer a caller of the crowd at length, and others shortly."""
    body = LONG_ANSWER if request_id.startswith(b"c") else b"ok"
    with contextlib.suppress(OSError):
        connection.sendall(signed_response(request_id, body))
        return True


class Crowd(NamedTuple):
    """Callers of one kind and the bound that an instance must keep.

    Attributes
    ----------
    send : callable
        Yields what one caller sends, by its number and `size`.
    size : int
        Bytes that are legal for its kind of request.
    memory_mb : int
        `limits.memory-mb` of the instance.
    limits : dict
        Of the configuration.
    port : str
        Name of the port that the callers connect to.
    endpoint : callable
        Script of the endpoint.
    """

    send: Any
    size: int = 4 * MEGABYTE
    callers: int = 60
    memory_mb: int = 160
    limits: dict = {}
    port: str = "callers"
    endpoint: Any = answer_late


CROWDS = {
    "whole-bodies": Crowd(whole_body),
    "bodies-in-pieces": Crowd(body_in_pieces),
    "large-chunks": Crowd(large_chunks),
    "tiny-chunks": Crowd(tiny_chunks, size=MEGABYTE // 8, callers=40, memory_mb=100),
    "announced-too-large": Crowd(announced_too_large),
    "endless-chunks": Crowd(endless_chunks),
    "endless-chunks-at-the-peers-port": Crowd(endless_chunks, port="proxy"),
    "endless-trailers": Crowd(endless_trailer),
    "pipelined": Crowd(pipelined, size=2 * MEGABYTE, callers=30),
    "unread-answers": Crowd(long_answer, endpoint=answer_long),
    "long-heads": Crowd(
        long_head,
        size=65536,
        callers=120,
        memory_mb=100,
        limits={"max-header-bytes": 65536},
    ),
}


class CrowdRun:
    """Connections of a Crowd, which stay open until `close`.

    Parameters
    ----------
    crowd : Crowd
    address : (str, int)
    """

    def __init__(self, crowd, address):
        self.crowd = crowd
        self.sockets = [self._connect(address) for _caller in range(crowd.callers)]
        self.threads = [
            threading.Thread(target=self._send, args=caller, daemon=True)
            for caller in enumerate(self.sockets)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        self.close()

    def _connect(self, address):
        sock = socket.socket()
        # Answers that are not read must not vanish in a large buffer here.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(address)
        sock.settimeout(SEND_TIMEOUT)
        return sock

    def _send(self, number, sock):
        # A refused caller, or one that is not read any more, stops sending.
        with contextlib.suppress(OSError):
            for part in self.crowd.send(number, self.crowd.size):
                sock.sendall(part)

    def send(self):
        """Send from all connections at once, until each has stopped."""
        self.begin()
        self.wait()

    def begin(self):
        """Begin to send from all connections."""
        for thread in self.threads:
            thread.start()

    def wait(self):
        """Wait until each connection has stopped sending."""
        for thread in self.threads:
            thread.join(JOIN_TIMEOUT)

    def close(self):
        for sock in self.sockets:
            sock.close()


def open_connections(address, count, first=b""):
    """Return connections to an address, each with a few bytes sent on it."""
    connections = []
    for _caller in range(count):
        sock = socket.create_connection(address, timeout=JOIN_TIMEOUT)
        with contextlib.suppress(OSError):  # it may be closed on arrival
            sock.sendall(first)
        connections.append(sock)
    return connections


class ReturningCrowd:
    """Callers of all kinds that come back at once when they are refused.

    Parameters
    ----------
    address : (str, int)
    callers : int
    size : int
        Bytes of a legal body.
    """

    KINDS = (whole_body, body_in_pieces, large_chunks, tiny_chunks, endless_chunks)

    def __init__(self, *, address, callers, size):
        self.address, self.size = address, size
        self.returned = 0
        self.is_closing = False
        self.threads = [
            threading.Thread(target=self._return, args=caller, daemon=True)
            for caller in zip(range(callers), itertools.cycle(self.KINDS), strict=False)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_error):
        self.is_closing = True
        for thread in self.threads:
            thread.join(JOIN_TIMEOUT)

    def _return(self, number, kind):
        while not self.is_closing:
            with contextlib.suppress(OSError):
                with socket.create_connection(self.address, SEND_TIMEOUT) as sock:
                    for part in kind(number, self.size):
                        sock.sendall(part)
                    sock.recv(1)  # until it is refused or given up
            self.returned += 1


class ChunkFlood:
    """Connections that send chunks of one byte for as long as they are read.

    Parameters
    ----------
    address : (str, int)
    callers : int

    Attributes
    ----------
    has_ended : bool
        Whether none of the connections sends any more.
    """

    def __init__(self, *, address, callers):
        self.connections = open_connections(address, callers, chunked_head())
        self.has_ended = self.is_closing = False
        self.thread = threading.Thread(target=self._send, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_error):
        self.is_closing = True
        self.thread.join(JOIN_TIMEOUT)
        for sock in self.connections:
            sock.close()

    def _send(self):
        chunks = b"1\r\nx\r\n" * (len(PIECE) // 6)
        rests = dict.fromkeys(self.connections, b"")
        with selectors.DefaultSelector() as selector:
            for sock in self.connections:
                sock.setblocking(False)
                selector.register(sock, selectors.EVENT_WRITE)
            while rests and not self.is_closing:
                for key, _events in selector.select(timeout=SEND_TIMEOUT):
                    sock, rest = key.fileobj, rests[key.fileobj] or chunks
                    try:
                        rests[sock] = rest[sock.send(rest) :]
                    except OSError:
                        selector.unregister(sock)
                        del rests[sock]
        self.has_ended = True
