"""Component that exchanges messages with peers over ZeroMQ sockets."""

import logging
import time
from typing import NamedTuple

import zmq
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller, Select
from circuits.core.utils import findcmp

from wagtailfront.exception import ProtocolError
from wagtailfront.membership.bus_keys import zap_reply
from wagtailfront.membership.messages import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)
from wagtailfront.transport.ticker import Ticker

__all__ = [
    "Source",
    "peer_message",
    "peer_send",
    "peer_broadcast",
    "peer_reply",
    "peers_changed",
    "PeerBus",
]

# Messages in a socket's queue; further ones are dropped. All important ones
# are repeated, and an old one is of no use.
QUEUE_MESSAGES = 200
# Most peers that one instance connects to.
MAX_PEERS = 400
# Messages read from one socket before other events are processed.
DRAIN_MESSAGES = 100
# Seconds between reads of all sockets, in case a readiness signal was missed.
FALLBACK_INTERVAL = 0.25
LOG_INTERVAL = 1.0  # seconds between log lines on invalid messages
MS_PER_SECOND = 1000
# Seconds between heartbeats; a silent connection is closed and reopened.
HEARTBEAT_INTERVAL = 1.0
MISSED_HEARTBEATS = 3  # before a connection counts as silent
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
CONNECT_TIMEOUT_MS = 2000
POLLIN = int(zmq.POLLIN)
ZAP_ENDPOINT = "inproc://zeromq.zap.01"

logger = logging.getLogger(__name__)


class Source(NamedTuple):
    """Where a message came from, as a target for `peer_reply`.

    Attributes
    ----------
    identity : bytes or None
        Connection at the bound socket.
    address : str or None
        Peer that this instance connected to.
    """

    identity: bytes | None = None
    address: str | None = None


class Traffic:
    """Counts messages and their bytes, without ZeroMQ's framing."""

    def __init__(self):
        self.messages = 0
        self.bytes = 0

    def add(self, size):
        """Count a message of `size` bytes."""
        self.messages += 1
        self.bytes += size


class peer_message(Event):
    """A peer's message arrived: `message`, `source`."""


class peer_send(Event):
    """Send to the peer at an address: `address`, `message`."""


class peer_broadcast(Event):
    """Send to the peers at these addresses: `addresses`, `message`."""


class peer_reply(Event):
    """Reply to the source of a message: `source`, `message`."""


class peers_changed(Event):
    """Keep connections to these addresses only: `addresses`."""


class drain_sockets(Event):
    """Read the messages that wait in all sockets."""


class drain_dealers(Event):
    """Read the messages that wait on connections to peers."""


class PeerBus(BaseComponent):
    """One bound ROUTER socket and a DEALER socket per peer.

    Parameters
    ----------
    address : str
        IP number and port to bind; port 0 binds a free one.
    keys : BusKeys, optional
        Turns on CURVE; only clients with an allowed key are accepted.
    heartbeat : float, optional
        Seconds between heartbeats on a connection.
    silence : float, optional
        Seconds after which a connection is closed on which a heartbeat got no
        answer; three intervals by default.
    read_interval : float, optional
        Seconds between reads of incoming connections. By default each socket
        is read as soon as a message arrives.
    clock : callable, optional

    Notes
    -----
    A ZeroMQ socket's descriptor signals a change of its state once, and any
    call on the socket may consume the signal. So each socket is read until
    it is empty, also after a send, and a timer reads all of them.

    With many peers, waking up for each message costs more than the message.
    A bus with a `read_interval` reads the messages of that time at once.

    A connection is used only once it is established. Messages to a peer that
    cannot be reached are dropped rather than delivered late.
    """

    channel = "peer_bus"

    def __init__(
        self,
        *,
        address,
        keys=None,
        heartbeat=HEARTBEAT_INTERVAL,
        silence=None,
        read_interval=None,
        clock=time.monotonic,
    ):
        super().__init__()
        self.read_interval = read_interval
        self.clock = clock
        self.read_due = clock()
        self.keys = keys
        self.heartbeat_ms = int(heartbeat * MS_PER_SECOND)
        if silence is None:
            silence = MISSED_HEARTBEATS * heartbeat
        self.silence_ms = int(silence * MS_PER_SECOND)
        self.poller = None
        self.context = zmq.Context()
        self.dealers = {}
        self.unusable = set()  # addresses that cannot be connected to
        self.by_descriptor = {}
        self.dropped = 0
        self.rejected = 0
        self.log_due = clock()
        self.sent = Traffic()
        self.received = Traffic()
        self.zap = self._bind_zap() if keys else None
        self.router = self._new_socket(zmq.ROUTER)
        self.router.router_mandatory = True
        if keys:
            self.router.curve_server = True
            # Clients are rejected if the authentication handler is missing.
            self.router.zap_domain = b"wagtailfront"
            self.router.zap_enforce_domain = True
        self.router.bind(f"tcp://{address}")
        self.address = self.router.last_endpoint.decode().removeprefix("tcp://")
        Ticker(
            interval=FALLBACK_INTERVAL,
            make_event=drain_sockets if read_interval is None else drain_dealers,
            target=self.channel,
        ).register(self)

    def _bind_zap(self):
        """Bind the authentication handler before any connection arrives."""
        socket = self.context.socket(zmq.REP)
        socket.linger = 0
        socket.bind(ZAP_ENDPOINT)
        return socket

    def _new_socket(self, kind):
        socket = self.context.socket(kind)
        socket.linger = 0
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.sndhwm = socket.rcvhwm = QUEUE_MESSAGES
        socket.heartbeat_ivl = self.heartbeat_ms
        socket.heartbeat_timeout = self.silence_ms
        if self.keys:
            socket.curve_publickey = self.keys.public
            socket.curve_secretkey = self.keys.secret
        return socket

    def _connect(self, address):
        """Connect to a peer.

        Returns None at the limit, without its key, or if its address cannot
        be connected to.
        """
        if address in self.unusable:
            return None
        server_key = self.keys.server_key(address) if self.keys else None
        if len(self.dealers) >= MAX_PEERS or (self.keys and server_key is None):
            return None
        socket = self._new_socket(zmq.DEALER)
        socket.immediate = True
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.connect_timeout = CONNECT_TIMEOUT_MS
        if self.keys:
            socket.curve_serverkey = server_key
        try:
            socket.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError) as error:
            logger.warning("[bus] cannot connect to %.80r: %s", address, error)
            self.unusable.add(address)
            socket.close()
            return None
        self.dealers[address] = socket
        self._watch(socket, address)
        return socket

    # Readiness

    @handler("registered", "started", channel="*")
    def _on_registered(self, component, manager=None):
        if self.poller is not None:
            return
        if isinstance(component, BasePoller):
            self._use_poller(component)
        elif component is self:
            found = findcmp(self.root, BasePoller)
            self._use_poller(found or Select().register(self))

    def _use_poller(self, poller):
        self.poller = poller
        for socket in self._sockets():
            self._watch(socket)
        for address, socket in self.dealers.items():
            self._watch(socket, address)
        self.fire(drain_sockets())

    def _sockets(self):
        own = (self.zap, self.router) if self.zap else (self.router,)
        return (*own, *self.dealers.values())

    def _watch(self, socket, address=None):
        if self.poller is not None and self.read_interval is None:
            descriptor = socket.getsockopt(zmq.FD)
            self.by_descriptor[descriptor] = address
            self.poller.addReader(self, descriptor)

    def _close(self, socket):
        if self.poller is not None and self.read_interval is None:
            descriptor = socket.getsockopt(zmq.FD)
            self.by_descriptor.pop(descriptor, None)
            self.poller.discard(descriptor)
        socket.close()

    @handler("_read")
    def _on_read(self, descriptor):
        # With many peers, checking every socket costs more than the message.
        address = self.by_descriptor.get(descriptor)
        if address in self.dealers:
            self._drain(self.dealers[address], address)
        else:
            self._drain_own()

    @handler("drain_sockets")
    def _on_drain_sockets(self):
        self._drain_all()

    @handler("generate_events")
    def _on_generate_events(self, event):
        """Read at intervals, without an event that wakes up the loop again."""
        if self.read_interval is None or self.router.closed:
            return
        now = self.clock()
        if now >= self.read_due:
            self.read_due = now + self.read_interval
            count = self.received.messages
            self._drain_own()
            if self.received.messages > count:
                event.reduce_time_left(0)
        event.reduce_time_left(self.read_due - now)

    def _drain_own(self):
        """Read the sockets for authentication and incoming connections."""
        if self.router.closed:
            return
        if self.zap:
            self._drain_zap()
        self._drain(self.router, None)

    def _drain_all(self):
        if self.router.closed:
            return
        self._drain_own()
        self._drain_dealers()

    @handler("drain_dealers")
    def _drain_dealers(self):
        for address, socket in list(self.dealers.items()):
            self._drain(socket, address)

    def _drain(self, socket, address):
        """Read messages in batches until there are none."""
        for _ in range(DRAIN_MESSAGES):
            # Costs less than the exception of a read without a message.
            if not socket.getsockopt(zmq.EVENTS) & POLLIN:
                return
            self._handle_parts(socket.recv_multipart(zmq.NOBLOCK), address)
        self.fire(drain_sockets())

    def _handle_parts(self, parts, address):
        if address is None:
            source, payload = Source(identity=parts[0]), parts[1:]
        else:
            source, payload = Source(address=address), parts
        try:
            if len(payload) != 1:
                raise ProtocolError(f"message has {len(payload)} parts")
            self.received.add(len(payload[0]))
            message = decode_message(payload[0])
        except ProtocolError as error:
            self._record_rejected(source, error)
            return
        self.fire(peer_message(message, source))

    def _record_rejected(self, source, error):
        """Count an invalid message, and log one of those of an interval."""
        self.rejected += 1
        now = self.clock()
        if now < self.log_due:
            return
        self.log_due = now + LOG_INTERVAL
        logger.warning(
            "[bus] %d messages dropped so far, the last one from %.200s: %s",
            self.rejected,
            source,
            error,
        )

    def _drain_zap(self):
        for _ in range(DRAIN_MESSAGES):
            try:
                request = self.zap.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            answer = zap_reply(request, self.keys.allowed)
            self.zap.send_multipart(answer or [b"1.0", b"", b"500", b"", b"", b""])
        self.fire(drain_sockets())

    # Sending

    @handler("peer_send")
    def _on_peer_send(self, address, message):
        self._on_peer_broadcast((address,), message)

    @handler("peer_broadcast")
    def _on_peer_broadcast(self, addresses, message):
        data = self._encode(message)
        if self.router.closed or data is None:
            return
        for address in addresses:
            socket = self.dealers.get(address) or self._connect(address)
            if socket is None:
                self.dropped += 1
            else:
                self._send(socket, address, (data,))

    @handler("peer_reply")
    def _on_peer_reply(self, source, message):
        data = self._encode(message)
        if self.router.closed or data is None:
            return
        if source.identity is not None:
            self._send(self.router, None, (source.identity, data))
        elif source.address in self.dealers:
            self._send(self.dealers[source.address], source.address, (data,))

    def _encode(self, message):
        """Return a message as bytes, or None if it is too large."""
        try:
            return encode_message(message)
        except ProtocolError as error:
            self.dropped += 1
            logger.error("[bus] message not sent: %s", error)
            return None

    def _send(self, socket, address, parts):
        try:
            socket.send_multipart(parts, zmq.NOBLOCK)
            self.sent.add(len(parts[-1]))
        except zmq.ZMQError as error:
            # The queue is full or the peer is not connected.
            if error.errno not in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                raise
            self.dropped += 1
        if self.read_interval is None:
            self._drain(socket, address)

    @handler("peers_changed")
    def _on_peers_changed(self, addresses):
        self.unusable.intersection_update(addresses)
        for address in set(self.dealers) - set(addresses):
            self._close(self.dealers.pop(address))

    def close(self):
        """Close all sockets; the bus cannot be used afterwards."""
        if self.router.closed:
            return
        for socket in self._sockets():
            self._close(socket)
        self.dealers = {}
        self.context.term()

    @handler("stopped", channel="*")
    def _on_stopped(self, manager):
        self.close()

    @handler("prepare_unregister", channel="*")
    def _on_prepare_unregister(self, event, component):
        """Release the address before the supervisor starts a new bus."""
        if event.in_subtree(self):
            self.close()
