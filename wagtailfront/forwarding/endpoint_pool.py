"""Connections to endpoints, one request at a time on each."""

import logging
import re
import time
from collections import defaultdict, deque

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from wagtailfront.forwarding.exchange import Exchange
from wagtailfront.forwarding.reach_observer import NoObserver
from wagtailfront.transport.client_socket import (
    IN_PROGRESS,
    new_client_socket,
    socket_error,
)
from wagtailfront.transport.framing import (
    ResponseData,
    ResponseHead,
    ResponseReader,
    find_header,
)
from wagtailfront.transport.ticker import Ticker

__all__ = ["EndpointPool", "max_idle_connections"]

logger = logging.getLogger(__name__)

READ_BYTES = 65536
# The kernel takes twice as much, which counts as memory of the machine.
SOCKET_BUFFER = 128 * 1024  # bytes in each direction
CONNECT_TIMEOUT = 0.4  # seconds; some round trips within a region
# Seconds until events of sockets are handled that came before a late timer.
EVENT_DELAY = 0.02
TCP_USER_TIMEOUT_MS = 3000  # limit for unacknowledged bytes on a lost path
SWEEP_INTERVAL = 1.0  # seconds between checks of idle connections
DEFAULT_IDLE_LIMIT = 4.0  # seconds, if the endpoint sends no Keep-Alive
IDLE_MARGIN = 0.8  # seconds; close before the endpoint does
MAX_IDLE_CONNECTIONS = 16  # of one instance, per endpoint
# Part of an endpoint's connections that all instances together keep idle.
IDLE_SHARE = 0.5
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


def max_idle_connections(max_connections, instances):
    """Return how many idle connections an instance keeps to an endpoint.

    Parameters
    ----------
    max_connections : int
        Connections that the endpoint accepts from all instances together;
        0 if it is not known.
    instances : int

    Examples
    --------
    >>> [max_idle_connections(560, instances) for instances in (0, 6, 84, 340)]
    [16, 16, 3, 1]
    """
    if not max_connections or not instances:
        return MAX_IDLE_CONNECTIONS
    share = int(IDLE_SHARE * max_connections / instances)
    return min(MAX_IDLE_CONNECTIONS, max(1, share))


class _Connection:
    """State of one socket to an endpoint."""

    def __init__(self, *, sock, record):
        self.sock = sock
        self.record = record
        self.is_open = False
        self.is_new = True
        self.reader = ResponseReader()
        self.exchange = None
        self.outgoing = deque()  # memoryviews
        self.write_failure = None
        self.is_discarding = False
        self.keep_alive = False
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self.idle_since = 0.0


class sweep(Event):
    """Close connections that exceeded their idle limit."""


class EndpointPool(BaseComponent):
    """Pool of connections to endpoints.

    Parameters
    ----------
    timers : Timers
    clock : callable, optional
    on_connect : callable, optional
        Called for each new connection, for the metrics.
    max_idle : callable, optional
        Returns how many idle connections to keep to an EndpointRecord.
    observer : ReachObserver, optional

    Notes
    -----
    The pool never retries a request: only its caller knows whether the
    request may run twice.
    """

    def __init__(
        self,
        *,
        timers,
        channel="endpoints",
        clock=time.monotonic,
        on_connect=None,
        max_idle=lambda record: MAX_IDLE_CONNECTIONS,
        observer=None,
    ):
        super().__init__(channel=channel)
        self.observer = observer or NoObserver()
        self.max_idle = max_idle
        self.timers = timers
        self.clock = clock
        self.on_connect = on_connect or (lambda: None)
        self.connections = {}
        self.idle = defaultdict(deque)
        self.poller = None

    @handler("registered", "started", channel="*")
    def _on_registered_or_started(self, component, manager=None):
        if self.poller is not None:
            return
        self.poller = findcmp(self.root, BasePoller)
        if self.poller is not None:
            Ticker(
                interval=SWEEP_INTERVAL,
                make_event=sweep,
                target=self.channel,
                is_needed=lambda: self.connections,
            ).register(self)

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        """Send a request to an endpoint and return its exchange.

        Parameters
        ----------
        record : EndpointRecord
        payload : bytes
        sink : ExchangeSink
        avoid : collection, optional
            Connections that must not be used.
        body : bytes, optional
            Sent after the payload without a copy.
        """
        exchange = Exchange(
            pool=self, record=record, payload=(payload, body), sink=sink
        )
        try:
            connection = self._take_idle(record, avoid) or self._open(record)
        except (OSError, ValueError) as error:
            exchange.fail(f"open: {error}")
        else:
            self._start(exchange, connection)
        exchange.is_returned = True
        return exchange

    def connect(self, record):
        """Open a connection to an endpoint, which becomes idle."""
        try:
            self._open(record)
        except (OSError, ValueError) as error:
            logger.warning("[endpoints] open %s: %s", record.address, error)

    def _start(self, exchange, connection):
        exchange.is_first, connection.is_new = connection.is_new, False
        exchange.connection = connection
        connection.exchange = exchange
        payload, body = exchange.payload
        exchange.payload = ()  # freed once it has been sent
        connection.outgoing.append(memoryview(payload))
        if body:
            connection.outgoing.append(memoryview(body))
        if connection.is_open:
            self._flush(connection)

    def _take_idle(self, record, avoid):
        idle = self.idle[record.incarnation]
        now = self.clock()
        for connection in reversed(tuple(idle)):
            if now - connection.idle_since >= connection.idle_limit:
                self.close(connection)
            elif connection not in avoid:
                idle.remove(connection)
                return connection
        return None

    def _open(self, record):
        sock = new_client_socket(TCP_USER_TIMEOUT_MS, SOCKET_BUFFER)
        try:
            result = sock.connect_ex((record.host, record.port))
        except (OSError, ValueError):
            sock.close()
            self.observer.handle_unconnected(record)
            raise
        connection = _Connection(sock=sock, record=record)
        self.connections[sock] = connection
        self.on_connect()
        # The sink must not be called before send() has returned.
        refused = result != 0 and result not in IN_PROGRESS
        self.timers.after(
            0.0 if refused else CONNECT_TIMEOUT,
            lambda: self.timers.after(
                EVENT_DELAY, lambda: self._check_connect(connection)
            ),
        )
        self.poller.addWriter(self, sock)
        return connection

    def _check_connect(self, connection):
        if not connection.is_open and connection.sock in self.connections:
            self._fail(connection, "connect timed out")

    @handler("_write")
    def _on_write(self, sock):
        connection = self.connections.get(sock)
        if connection is None:
            return
        if not connection.is_open and not self._finish_connect(connection):
            return
        self._flush(connection)

    def _finish_connect(self, connection):
        sock = connection.sock
        error = socket_error(sock)
        if error:
            self._fail(connection, f"connect: {error}")
            return False
        connection.is_open = True
        self.poller.addReader(self, sock)
        self.observer.handle_connected(connection.record)
        if connection.exchange is None and sock in self.connections:
            connection.keep_alive = True
            self._release(connection)
        return sock in self.connections

    def _flush(self, connection):
        sock = connection.sock
        try:
            while connection.outgoing:
                # A call that raises has taken no byte.
                count = sock.send(connection.outgoing[0])
                if connection.exchange is not None:
                    connection.exchange.is_sent = True
                connection.outgoing[0] = connection.outgoing[0][count:]
                if not connection.outgoing[0]:
                    connection.outgoing.popleft()
        except BlockingIOError:
            if not self.poller.isWriting(sock):
                self.poller.addWriter(self, sock)
            return
        except OSError as error:
            self._handle_write_error(connection, error)
            return
        if self.poller.isWriting(sock):
            self.poller.removeWriter(sock)

    def _handle_write_error(self, connection, error):
        reason = f"write: {error}"
        exchange = connection.exchange
        is_sent = exchange is not None and exchange.is_sent
        if not is_sent or not isinstance(error, ConnectionError):
            self._fail(connection, reason)
            return
        # An early answer that arrived before the reset may still be unread.
        connection.write_failure = reason
        if self.poller.isWriting(connection.sock):
            self.poller.removeWriter(connection.sock)

    @handler("_read")
    def _on_read(self, sock):
        connection = self.connections.get(sock)
        if connection is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(connection, f"read: {error}")
            return
        if connection.exchange is None:
            # EOF or unsolicited bytes on an idle connection.
            self.close(connection)
            return
        if not data and connection.write_failure is not None:
            # The error of the reset was taken by the write.
            self._fail(connection, connection.write_failure)
            return
        parts = connection.reader.feed(data) if data else connection.reader.feed_end()
        if not all(self._handle_part(connection, part) for part in parts):
            return
        failure = connection.reader.failure
        if failure is not None:
            self._fail(connection, str(failure))
        elif not data:
            self._fail(connection, "closed by the endpoint")
        elif connection.exchange is None and connection.sock in self.connections:
            self._release(connection)

    def _handle_part(self, connection, part):
        """Return whether a part of a response could be handled."""
        exchange = connection.exchange
        try:
            self._deliver(connection, part)
        except Exception:
            # A fault in one response must not stop the whole pool.
            logger.exception(
                "[endpoints] Failed to handle a response; its connection is closed."
            )
            self.close(connection)
            # The fault may lie in handling the end, with the exchange done.
            exchange.is_done = True
            exchange.sink.on_failure("response not handled", exchange.is_sent)
            return False
        return True

    def _deliver(self, connection, part):
        exchange = connection.exchange
        self.observer.handle_response(connection.record)
        if exchange is None or exchange.is_done:
            # Bytes after a complete response: the framing is unreliable.
            connection.keep_alive = False
        elif isinstance(part, ResponseHead):
            self._set_idle_limit(connection, part.headers)
            connection.is_discarding = not exchange.sink.on_head(
                part.status, part.headers
            )
        elif isinstance(part, ResponseData):
            if not connection.is_discarding:
                exchange.sink.on_data(part.data)
        elif connection.is_discarding:
            connection.is_discarding = False
        else:
            # An open reader holds the start of a response to no request.
            is_clean = not connection.outgoing and not connection.reader.is_open
            connection.keep_alive = part.keep_alive and is_clean
            connection.exchange = None
            exchange.is_done = True
            exchange.sink.on_end()

    def _set_idle_limit(self, connection, headers):
        found = KEEP_ALIVE_TIMEOUT.search(find_header(headers, b"keep-alive") or b"")
        if found:
            limit = int(found[1])
            connection.idle_limit = max(limit - IDLE_MARGIN, limit / 4)

    def _release(self, connection):
        idle = self.idle[connection.record.incarnation]
        if not connection.keep_alive or len(idle) >= self.max_idle(connection.record):
            self.close(connection)
            return
        connection.idle_since = self.clock()
        idle.append(connection)

    def _fail(self, connection, reason):
        exchange, connection.exchange = connection.exchange, None
        self.close(connection)
        if not connection.is_open:
            self.observer.handle_unconnected(connection.record)
        if exchange is not None:
            exchange.fail(reason)

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, error=None):
        connection = self.connections.get(sock)
        if connection is None:
            return
        phase = "reset" if connection.is_open else "connect"
        self._fail(connection, f"{phase}: {socket_error(sock)}")

    @handler("sweep")
    def _on_sweep(self):
        now = self.clock()
        for idle in list(self.idle.values()):
            while idle and now - idle[0].idle_since >= idle[0].idle_limit:
                self.close(idle[0])
        for incarnation in [key for key, idle in self.idle.items() if not idle]:
            del self.idle[incarnation]

    def drop_idle(self, record):
        """Close the idle connections to an endpoint's incarnation."""
        for connection in list(self.idle.pop(record.incarnation, ())):
            self.close(connection)

    def close(self, connection):
        """Close a connection, in use or idle."""
        if self.connections.pop(connection.sock, None) is None:
            return
        connection.exchange = None
        connection.outgoing = ()
        idle = self.idle.get(connection.record.incarnation)
        if idle and connection in idle:
            idle.remove(connection)
        self.poller.discard(connection.sock)
        connection.sock.close()
