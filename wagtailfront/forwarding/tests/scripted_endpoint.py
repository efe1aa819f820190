"""Endpoint on a real socket whose responses are scripted by a test."""

import re
import socket
import threading
import time

from wagtailfront.platform.tests.wire import (
    LEAVING,
    refusal_response,
    retry_after_header,
    signed_response,
)

__all__ = ["NoticeScript", "ScriptedEndpoint"]

REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class ScriptedEndpoint:
    """Serves each connection in a thread of its own.

    Parameters
    ----------
    script : callable
        Called with the socket, the request's id and its bytes; returns
        whether the connection stays open.

    Attributes
    ----------
    requests : list of bytes
    arrivals : list of float
        When each of them had arrived, in seconds of the monotonic clock.
    """

    def __init__(self, script):
        self.script = script
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.requests = []
        self.arrivals = []
        self.closed = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _address = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            while request := _read_request(connection):
                self.requests.append(request)
                self.arrivals.append(time.monotonic())
                request_id = REQUEST_ID.search(request)[1]
                if not self.script(connection, request_id, request):
                    return
        self.closed.set()

    def close(self):
        """Accept no further connections."""
        # Wakes the thread that is blocked in accept().
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def _read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            part = connection.recv(65536)
        except OSError:
            return b""
        if not part:
            return b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = LENGTH.search(head)
    return head + b"\r\n\r\n" + _read_body(connection, body, length)


def _read_body(connection, start, length):
    """Return a body, or what came of it before its connection ended."""
    parts, missing = [start], int(length[1]) - len(start) if length else 0
    while missing > 0 and (part := connection.recv(65536)):
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


class NoticeScript:
    """Script of an endpoint that serves, leaves or asks for a pause.

    Attributes
    ----------
    copies_refusal : bool
        Whether it writes an earlier refusal, which asks for a pause, before
        each answer but the first one on a connection.
    """

    def __init__(self):
        self.copies_refusal = False
        self.used = set()
        self.serve()

    def serve(self):
        """Answer requests without a notice."""
        self.headers, self.is_refusing = [], False

    def leave(self):
        """Answer requests and say that it leaves."""
        self.headers = [LEAVING]

    def ask_pause(self, seconds):
        """Turn requests away and ask for a pause."""
        self.headers, self.is_refusing = [retry_after_header(seconds)], True

    def __call__(self, connection, request_id, request):
        if self.is_refusing:
            answer = refusal_response(request_id, headers=self.headers)
        else:
            answer = signed_response(request_id, b"ok", headers=self.headers)
        if self.copies_refusal and connection in self.used:
            earlier = refusal_response(b"earlier", headers=[retry_after_header(60.0)])
            answer = earlier + answer
        self.used.add(connection)
        connection.sendall(answer)
        return True
