"""Connections of an EndpointPool whose reads are scripted by a test."""

from types import SimpleNamespace

from wagtailfront.forwarding import endpoint_pool
from wagtailfront.forwarding.endpoint_pool import EndpointPool

__all__ = ["FIN", "RST", "ScriptedPool"]

FIN = b""
RST = ConnectionResetError(104, "Connection reset by peer")


class _ScriptedSocket:
    """Socket that records what is sent and returns scripted reads."""

    def __init__(self):
        self.sent = b""
        self.next_read = None
        self.is_closed = False

    def connect_ex(self, address):
        return 0

    def getsockopt(self, level, name):
        return 0

    def send(self, data):
        self.sent += data
        return len(data)

    def recv(self, size):
        if isinstance(self.next_read, Exception):
            raise self.next_read
        return self.next_read

    def close(self):
        self.is_closed = True


class ScriptedPool(EndpointPool):
    """EndpointPool without a poller; the newest socket is `sock`."""

    def __init__(self, monkeypatch, *, timers):
        super().__init__(timers=timers, clock=timers.clock)
        self.poller = SimpleNamespace(
            addReader=lambda source, sock: None,
            addWriter=lambda source, sock: None,
            removeWriter=lambda sock: None,
            isWriting=lambda sock: False,
            discard=lambda sock: None,
        )
        self.sock = None
        monkeypatch.setattr(endpoint_pool, "new_client_socket", self._new_socket)

    def _new_socket(self, user_timeout_ms, buffer_size):
        self.sock = _ScriptedSocket()
        return self.sock

    def connect(self):
        """Establish the newest connection, which sends its request."""
        self._on_write(self.sock)

    def receive(self, *reads):
        """Let the newest connection make `reads` until it is closed.

        Each is bytes, FIN or RST.
        """
        sock = self.sock
        for sock.next_read in reads:
            if not sock.is_closed:
                self._on_read(sock)
