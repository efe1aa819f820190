"""Proxy on loopback whose open connections can fall silent for good."""

import contextlib
import select
import socket
import threading

__all__ = ["SilentProxy"]

HOST = "127.0.0.1"
READ_BYTES = 65536
POLL_SECONDS = 0.01


class SilentProxy:
    """Passes connections on to an address, in a thread of its own.

    Parameters
    ----------
    target : str
        Address to connect to, `host:port`.

    Attributes
    ----------
    address : str
    """

    def __init__(self, *, target):
        host, _separator, port = target.rpartition(":")
        self.target = (host, int(port))
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.ends = {}
        self.silent = set()
        self.is_closed = False
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def silence(self):
        """Keep the connections that are open now, but pass nothing on."""
        self.silent |= set(self.ends)

    def close(self):
        """Close all connections and wait for the thread."""
        self.is_closed = True
        self.thread.join()
        for sock in (self.listener, *self.ends):
            sock.close()

    def _serve(self):
        while not self.is_closed:
            sources = [self.listener, *self.ends]
            for sock in select.select(sources, [], [], POLL_SECONDS)[0]:
                if sock is self.listener:
                    self._accept()
                elif sock in self.ends:
                    self._pass_on(sock)

    def _accept(self):
        near, _address = self.listener.accept()
        far = socket.create_connection(self.target)
        self.ends |= {near: far, far: near}

    def _pass_on(self, sock):
        other = self.ends[sock]
        data = b""
        with contextlib.suppress(OSError):
            data = sock.recv(READ_BYTES)
            if data and sock not in self.silent:
                other.sendall(data)
        if not data:
            for end in (sock, other):
                del self.ends[end]
                end.close()
