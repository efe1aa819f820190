"""TCP listener with non-blocking TLS handshakes."""

import contextlib
import logging
import socket
import ssl
import struct
import time
from collections import Counter
from weakref import WeakKeyDictionary

from circuits import handler
from circuits.net.events import disconnect
from circuits.net.sockets import TCPServer

from wagtailfront.intake.read_turns import ReadTurns
from wagtailfront.transport.socket_set import SocketSet

__all__ = ["HttpListener"]

logger = logging.getLogger(__name__)

# Connections that are accepted before others are read.
MAX_ACCEPTED = 64
# Longer writes wait in slices, so that what has been sent is freed.
WRITE_SLICE = 256 * 1024
MAX_PENDING_WRITE = 4 * 1024 * 1024  # bytes queued on one connection
MAX_TOTAL_WRITE = 32 * 1024 * 1024  # bytes queued on all connections
# SO_LINGER with a timeout of 0: close() sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Why a connection was closed.
CLOSED_BY_PEER = "the peer ended its sending side"
RESET_BY_PEER = "the peer reset the connection"
SLOW_PEER = "the peer read too slowly"
LISTENER_ENDED = "the listener ended"
CLOSED_HERE = "closed by this instance"


class HttpListener(TCPServer):
    """TCP server whose TLS handshakes do not block the event loop.

    Parameters
    ----------
    bind : (str, int)
    channel : str
    context : ssl.SSLContext or None
    limits : ServerLimits
    queue : AcceptQueue
    keeps_half_closed : callable, optional

    Received bytes are passed to `parent.http.receive`. At their end the
    connection is closed unless `keeps_half_closed` says otherwise.

    Attributes
    ----------
    queued : Counter
        Bytes by connection that wait until its peer reads.
    total_queued : int
    close_reasons : WeakKeyDictionary
        Why a socket was closed.
    turns : ReadTurns
        When connections are read whose requests are expensive to parse.
    on_flushed : callable or None
        Called with a socket once the bytes that waited have been written.
    on_queued : callable or None
        Called with a socket when bytes have to wait, or some were written.
    on_full : callable or None
        Called to close connections when a new one exceeds the limit.
    buffer_size : callable or None
        Returns the bytes that the kernel may buffer in each direction of a
        new connection; by default the kernel decides.
    """

    def __init__(
        self,
        bind,
        *,
        channel,
        context,
        limits,
        queue,
        keeps_half_closed=lambda sock: False,
    ):
        super().__init__(
            bind,
            channel=channel,
            backlog=queue.length,
            socket_options=[(socket.SOL_SOCKET, socket.SO_RCVBUF, queue.buffer_size)],
        )
        self._clients = SocketSet()
        self.keeps_half_closed = keeps_half_closed
        self.context = context
        self.limits = limits
        self.handshakes = {}
        self.queued = Counter()
        self.total_queued = 0
        self.close_reasons = WeakKeyDictionary()
        self.is_reading = True
        self.turns = ReadTurns()
        self.on_flushed = self.on_queued = self.buffer_size = self.on_full = None

    @property
    def clients(self):
        """Open connections, without those in a TLS handshake."""
        return self._clients

    def _accept_all(self):
        """Accept the connections that wait, or so many of them."""
        for _number in range(MAX_ACCEPTED):
            try:
                sock, _address = self._sock.accept()
            except OSError:
                return
            self._accept(sock)

    def _accept(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.buffer_size is not None:
            size = self.buffer_size()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        if self.is_full and not self._make_room():
            sock.close()
            return
        if self.context is None:
            self._on_accept_done(sock)
            return
        secure = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        self.handshakes[secure] = time.monotonic() + self.limits.head_timeout
        self._poller.addReader(self, secure)

    @property
    def is_full(self):
        """Return whether as many connections are open as are permitted."""
        count = len(self._clients) + len(self.handshakes)
        return count >= self.limits.max_connections

    def _make_room(self):
        """Return whether another connection has been closed for a new one."""
        if len(self.handshakes) > self.limits.max_connections // 2:
            self.abort_handshake(next(iter(self.handshakes)))  # the oldest
        elif self.on_full is not None:
            self.on_full()
        return not self.is_full

    def _continue_handshake(self, sock):
        try:
            sock.do_handshake()
        except ssl.SSLWantReadError:
            if self._poller.isWriting(sock):
                self._poller.removeWriter(sock)
            return
        except ssl.SSLWantWriteError:
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
            return
        except OSError:
            self.abort_handshake(sock)
            return
        del self.handshakes[sock]
        self._poller.discard(sock)
        self._on_accept_done(sock)

    def abort_late_handshakes(self):
        """Close the connections whose TLS handshake takes too long."""
        now = time.monotonic()
        for sock in [each for each, until in self.handshakes.items() if now > until]:
            self.abort_handshake(sock)

    def abort_handshake(self, sock):
        """Close a connection whose TLS handshake failed or timed out."""
        self.handshakes.pop(sock, None)
        self._poller.discard(sock)
        sock.close()

    @handler("prepare_unregister", channel="*")
    def _on_prepare_unregister(self, event, component):
        """Close all sockets, or the poller would report them forever."""
        if not event.in_subtree(self):
            return
        for sock in list(self.handshakes):
            self.abort_handshake(sock)
        for sock in [*self._clients, self._sock]:
            self._close(sock, LISTENER_ENDED)

    @handler("_disconnect", priority=1, override=True)
    def _on_disconnect(self, sock):
        if sock in self.handshakes:
            self.abort_handshake(sock)
        else:
            self._close(sock, RESET_BY_PEER)

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock):
        if not self.is_reading:
            return
        if sock is self._sock:
            self._accept_all()
        elif sock in self.handshakes:
            self._continue_handshake(sock)
        elif self.turns.must_wait(sock):
            self.pause_reading(sock)
            self.turns.wait(sock)
        else:
            self._read(sock)

    @handler("generate_events")
    def _on_generate_events(self, event):
        if not self.turns.waiting:
            return
        event.reduce_time_left(0)
        for sock in self.turns.take_pass():
            self.resume_reading(sock)
            self._read(sock)

    def read_now(self, sock):
        """Read what has arrived and was not reported by the poller yet."""
        self._read(sock)

    def pause_reading(self, sock):
        """Leave further bytes in the socket's buffer; reports no EOF."""
        self.turns.leave(sock)
        if self._poller.isReading(sock):
            self._poller.removeReader(sock)

    def resume_reading(self, sock):
        """Read on after `pause_reading`."""
        if sock in self._clients and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def end_reading(self):
        """Accept and read nothing more on any connection."""
        self.is_reading = False
        for sock in [*self._clients, *self.handshakes, self._sock]:
            self.pause_reading(sock)

    def stop_listening(self):
        """Accept no further connections; open ones stay open."""
        if self._sock is not None:
            # The poller is unknown until the first event.
            if self._poller is not None:
                self._poller.discard(self._sock)
            self._sock.close()

    def is_reset(self, sock):
        """Return whether a connection that sends no more has been reset."""
        try:
            sock.recv(1)
        except (BlockingIOError, ssl.SSLWantReadError):
            return False
        except OSError:
            return True
        return False

    def reset(self, sock, reason=CLOSED_HERE):
        """Close a connection with RST, which shows that bytes are missing.

        Bytes that are on their way may get lost with it.
        """
        self._close(sock, reason, is_reset=True)

    def cut(self, sock):
        """Close a connection at once, after the bytes on their way."""
        self._close(sock)

    def end_writing(self, sock):
        """Send FIN after what was written; further bytes are still read."""
        # Queued bytes are followed by FIN when the connection is closed. A
        # TLS connection can't be read any more once it is shut down.
        is_plain = not isinstance(sock, ssl.SSLSocket)
        if is_plain and sock in self._clients and not self._buffers[sock]:
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                logger.info("[http] The peer has closed a connection: %s", error)

    def _read(self, sock):
        while sock in self._clients:
            try:
                data = sock.recv(self.turns.read_size(sock))
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                return
            except OSError:
                self._close(sock, RESET_BY_PEER)
                return
            if not data:
                if not self.keeps_half_closed(sock):
                    self._close(sock, CLOSED_BY_PEER)
                return
            self.parent.http.receive(sock, data)
            # Bytes buffered in the TLS layer cause no poll event.
            if not (isinstance(sock, ssl.SSLSocket) and sock.pending()):
                return

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock):
        if sock in self.handshakes:
            self._continue_handshake(sock)
            return
        self._flush(sock)
        if self.on_queued is not None:
            self.on_queued(sock)
        is_flushed = sock in self._clients and not self.queued[sock]
        if is_flushed and self.on_flushed is not None:
            self.on_flushed(sock)

    @handler("write", override=True)
    def write(self, sock, data):
        """Send what the socket accepts at once, and queue the rest."""
        if sock not in self._clients:
            return
        queue = self._buffers[sock]
        is_first = not queue
        if len(data) <= WRITE_SLICE:
            queue.append(data)
        else:
            starts = range(0, len(data), WRITE_SLICE)
            queue.extend(data[start : start + WRITE_SLICE] for start in starts)
        self._count_queued(sock, len(data))
        if is_first:
            self._flush(sock)
        elif self.queued[sock] > MAX_PENDING_WRITE:
            self._close_slow(sock)
        while self.total_queued > MAX_TOTAL_WRITE:
            self._close_slow(max(self.queued, key=self.queued.get))
        if self.on_queued is not None and self.queued.get(sock):
            self.on_queued(sock)

    def _close_slow(self, sock):
        logger.warning("[http] Closed a connection: the peer reads too slowly.")
        self.reset(sock, SLOW_PEER)

    def _count_queued(self, sock, change):
        self.queued[sock] += change
        self.total_queued += change

    def _close(self, sock, reason=CLOSED_HERE, *, is_reset=False):
        # Not that of circuits, which sends FIN before it closes a socket.
        if sock in self._clients:
            self._clients.remove(sock)
            self.close_reasons[sock] = reason
        elif sock is not None and sock is self._sock:
            self._sock = None
        else:
            return
        self.turns.forget(sock)
        self.total_queued -= self.queued.pop(sock, 0)
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        with contextlib.suppress(OSError):  # the peer may have closed it
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            else:
                sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        self.fire(disconnect(sock))

    def _flush(self, sock):
        if sock not in self._clients:
            return
        queue = self._buffers[sock]
        try:
            while queue:
                count = sock.send(queue[0])
                data = queue.popleft()
                self._count_queued(sock, -count)
                if count < len(data):
                    queue.appendleft(data[count:])
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
            return
        except OSError:
            self._close(sock, RESET_BY_PEER)
            return
        if sock in self._closeq:
            self._closeq.remove(sock)
            self._close(sock)
        elif self._poller.isWriting(sock):
            self._poller.removeWriter(sock)
