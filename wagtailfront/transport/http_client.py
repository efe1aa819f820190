"""HTTP/1.1 client connections driven by the circuits poller."""

import socket
import ssl
import time
from collections import defaultdict, deque

from circuits.core import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from wagtailfront.transport.client_socket import (
    IN_PROGRESS,
    new_client_socket,
    socket_error,
)
from wagtailfront.transport.http_exchange import (
    Exchange,
    ResponseSink,
    WholeResponse,
    encode_request,
)
from wagtailfront.transport.ticker import Ticker

__all__ = ["HttpPool", "Exchange", "ResponseSink", "WholeResponse"]

READ_BYTES = 65536
CONNECT_TIMEOUT = 2.0  # seconds
REQUEST_TIMEOUT = 30.0  # seconds
MAX_IDLE = 8  # idle connections per address
IDLE_LIFETIME = 20.0  # seconds; shorter than the usual server keep-alive
SWEEP_INTERVAL = 0.25  # seconds between checks for timed-out exchanges


class sweep(Event):
    """Fail exchanges that timed out and close old idle connections."""


class HttpPool(BaseComponent):
    """Pool of client connections, with one request at a time on each.

    Parameters
    ----------
    channel : str
        Channel on which the poller's events for these sockets arrive.
    connect_timeout : float
        Seconds until an attempt to connect fails.
    max_idle : int
        Idle connections per address.
    context : ssl.SSLContext, optional
        Used for requests with `secure`.

    Notes
    -----
    The pool never retries a request: only its caller knows whether the
    request is idempotent.
    """

    def __init__(
        self,
        *,
        channel="http_pool",
        connect_timeout=CONNECT_TIMEOUT,
        max_idle=MAX_IDLE,
        context=None,
        user_timeout_ms=None,
    ):
        super().__init__(channel=channel)
        self.connect_timeout = connect_timeout
        self.max_idle = max_idle
        self.context = context
        self.user_timeout_ms = user_timeout_ms
        self.exchanges = {}
        self.idle = defaultdict(deque)
        self.idle_addresses = {}
        self.waiting = []
        self.poller = None

    @handler("registered", "started", channel="*")
    def _on_registered_or_started(self, component, manager=None):
        if self.poller is None:
            self.poller = findcmp(self.root, BasePoller)
            if self.poller is not None:
                Ticker(
                    interval=SWEEP_INTERVAL,
                    make_event=sweep,
                    target=self.channel,
                    is_needed=self.is_busy,
                ).register(self)
                for exchange in self.waiting:
                    self._open(exchange)
                self.waiting.clear()

    def is_busy(self):
        """Return whether there are exchanges or idle connections."""
        return bool(self.exchanges or self.waiting or self.idle_addresses)

    def request(
        self,
        *,
        host,
        port,
        method,
        path,
        headers=(),
        body=b"",
        sink,
        timeout=REQUEST_TIMEOUT,
        stall_timeout=None,
        secure=False,
        fresh=False,
        may_send=None,
    ):
        """Send a request and return its exchange.

        Parameters
        ----------
        headers : iterable of (str, str)
            Further headers; Host and Content-Length are added.
        sink : ResponseSink
        timeout : float or None
            Seconds until the exchange fails, counted from now.
        stall_timeout : float, optional
            Seconds without a further byte until an answer that has begun
            fails; `timeout` then limits only the wait for its first byte.
            The rest may take MAX_TRANSFER in all.
        fresh : bool
            Open a new connection even if an idle one is available.
        may_send : callable, optional
            Called directly before the first byte is written; if it returns
            False, the exchange fails with nothing sent.

        Returns
        -------
        Exchange
        """
        deadline = None if timeout is None else time.monotonic() + timeout
        payload, rest = encode_request(host, port, method, path, headers, body)
        exchange = Exchange(
            pool=self,
            address=(host, port),
            secure=secure,
            payload=payload,
            body=rest,
            sink=sink,
            deadline=deadline,
            stall_timeout=stall_timeout,
            may_send=may_send,
        )
        if self.poller is None:
            self.waiting.append(exchange)
        elif fresh or not self._take_idle(exchange):
            self._open(exchange)
        return exchange

    def _take_idle(self, exchange):
        idle = self.idle[(exchange.address, exchange.secure)]
        while idle:
            sock, _since = idle.pop()
            self.idle_addresses.pop(sock, None)
            if _is_stale(sock):
                self._close(sock)
                continue
            exchange.sock = sock
            exchange.reused = True
            exchange.connected = True
            self.exchanges[sock] = exchange
            self._flush(exchange)
            return True
        return False

    def _open(self, exchange):
        sock = new_client_socket(self.user_timeout_ms)
        exchange.sock = sock
        exchange.connect_deadline = time.monotonic() + self.connect_timeout
        result = sock.connect_ex(exchange.address)
        if result != 0 and result not in IN_PROGRESS:
            sock.close()
            # The sink must not be called before request() has returned.
            exchange.connect_deadline = 0.0
            exchange.sock = None
            self.waiting.append(exchange)
            return
        self.exchanges[sock] = exchange
        self.poller.addWriter(self, sock)

    @handler("_write")
    def _on_write(self, sock):
        exchange = self.exchanges.get(sock)
        if exchange is None:
            return
        if not exchange.connected and not self._finish_connect(exchange):
            return
        self._flush(exchange)

    def _finish_connect(self, exchange):
        sock = exchange.sock
        error = socket_error(sock)
        if error:
            exchange.fail(f"connect failed: {error}")
            return False
        if exchange.secure and not isinstance(sock, ssl.SSLSocket):
            sock = self._start_tls(exchange)
        if isinstance(sock, ssl.SSLSocket) and not self._handshake(exchange):
            return False
        exchange.connected = True
        if not self.poller.isReading(sock):
            self.poller.addReader(self, sock)
        return True

    def _start_tls(self, exchange):
        plain = exchange.sock
        self.poller.discard(plain)
        del self.exchanges[plain]
        sock = self.context.wrap_socket(
            plain,
            server_hostname=exchange.address[0],
            do_handshake_on_connect=False,
        )
        exchange.sock = sock
        self.exchanges[sock] = exchange
        return sock

    def _handshake(self, exchange):
        sock = exchange.sock
        try:
            sock.do_handshake()
        except ssl.SSLWantReadError:
            self.poller.removeWriter(sock)
            if not self.poller.isReading(sock):
                self.poller.addReader(self, sock)
            return False
        except ssl.SSLWantWriteError:
            if not self.poller.isWriting(sock):
                self.poller.addWriter(self, sock)
            return False
        except OSError as error:
            exchange.fail(f"TLS handshake failed: {error}")
            return False
        return True

    def _flush(self, exchange):
        sock = exchange.sock
        if not exchange.sent and exchange.may_send and not exchange.may_send():
            exchange.fail("not sent: no longer allowed")
            return
        try:
            while exchange.outgoing:
                data = exchange.outgoing[0]
                # Set before the call: a failing send may have written bytes.
                exchange.sent = True
                count = sock.send(data)
                exchange.outgoing.popleft()
                if count < len(data):
                    exchange.outgoing.appendleft(data[count:])
        except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
            if not self.poller.isWriting(sock):
                self.poller.addWriter(self, sock)
            return
        except OSError as error:
            exchange.fail(f"write failed: {error}")
            return
        if self.poller.isWriting(sock):
            self.poller.removeWriter(sock)

    @handler("_read")
    def _on_read(self, sock):
        exchange = self.exchanges.get(sock)
        if exchange is None:
            self._drop_idle(sock)
            return
        if not exchange.connected:
            if self._finish_connect(exchange):
                self._flush(exchange)
            return
        self._receive(exchange, sock)

    def _receive(self, exchange, sock):
        while not exchange.done:
            try:
                data = sock.recv(READ_BYTES)
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                return
            except OSError as error:
                exchange.fail(f"read failed: {error}")
                return
            if not data:
                exchange.handle_eof()
                return
            exchange.receive(data)
            # Bytes buffered in the TLS layer cause no poll event.
            if not (isinstance(sock, ssl.SSLSocket) and sock.pending()):
                return

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, error=None):
        exchange = self.exchanges.get(sock)
        if exchange is None:
            self._drop_idle(sock)
        elif not exchange.connected:
            exchange.fail(f"connect failed: {socket_error(sock)}")
        else:
            exchange.fail("connection reset")

    @handler("sweep")
    def _on_sweep(self):
        now = time.monotonic()
        unconnected, self.waiting = self.waiting, []
        for exchange in unconnected:
            exchange.fail("connect failed")
        for exchange in list(self.exchanges.values()):
            if not exchange.connected and now > exchange.connect_deadline:
                exchange.fail("connect timed out")
            elif exchange.deadline is not None and now > exchange.deadline:
                received = exchange.bytes_received
                exchange.fail(
                    f"timed out with {received} bytes received"
                    if received
                    else "timed out"
                )
        for idle in self.idle.values():
            while idle and now - idle[0][1] > IDLE_LIFETIME:
                sock, _since = idle.popleft()
                self.idle_addresses.pop(sock, None)
                self._close(sock)

    def release(self, exchange, *, reusable):
        """Make the connection of a finished exchange idle, or close it."""
        sock = exchange.sock
        self.exchanges.pop(sock, None)
        key = (exchange.address, exchange.secure)
        if reusable and not exchange.outgoing and len(self.idle[key]) < self.max_idle:
            self.idle[key].append((sock, time.monotonic()))
            self.idle_addresses[sock] = key
        else:
            self._close(sock)

    def drop(self, exchange):
        """Close the connection of an exchange."""
        if exchange.sock is not None and exchange.sock in self.exchanges:
            del self.exchanges[exchange.sock]
            self._close(exchange.sock)

    def drop_idle_to(self, host, port):
        """Close all idle connections to an address."""
        for secure in (False, True):
            idle = self.idle[((host, port), secure)]
            while idle:
                sock, _since = idle.popleft()
                self.idle_addresses.pop(sock, None)
                self._close(sock)

    def _drop_idle(self, sock):
        key = self.idle_addresses.pop(sock, None)
        if key is not None:
            self.idle[key] = deque(
                entry for entry in self.idle[key] if entry[0] is not sock
            )
            self._close(sock)

    def _close(self, sock):
        self.poller.discard(sock)
        sock.close()


def _is_stale(sock):
    """Return whether an idle connection was closed or has unread bytes."""
    try:
        sock.recv(1, 0 if isinstance(sock, ssl.SSLSocket) else socket.MSG_PEEK)
    except (BlockingIOError, ssl.SSLWantReadError):
        return False
    except OSError:
        return True
    return True
