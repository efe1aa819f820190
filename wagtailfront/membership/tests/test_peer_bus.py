"""Tests of the peer bus over real sockets on the loopback interface."""

import contextlib
import time

import zmq
from circuits import BaseComponent, handler
from zmq.utils import z85

from wagtailfront.membership import bus_keys, messages
from wagtailfront.membership.peer_bus import (
    LOG_INTERVAL,
    PeerBus,
    Source,
    peer_broadcast,
    peer_reply,
    peer_send,
    peers_changed,
)
from wagtailfront.membership.tests.silent_proxy import SilentProxy
from wagtailfront.programs.forward_tree import PEER_HEARTBEAT, PEER_SILENCE
from wagtailfront.transport.tests.event_loop import EventLoop

FEW_STEPS = 40
BURST = 60  # below a socket's queue
# Seconds after a fault within which instances must hear each other again.
STABLE_WINDOW = 3.0


class Listener(BaseComponent):
    """Collects the messages of a bus and answers each `ConfigFetch`."""

    def __init__(self):
        super().__init__()
        self.received = []

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        self.received.append(message)
        if isinstance(message, messages.ConfigFetch):
            answer = messages.Leaving(incarnation="i", instance=str(message.after))
            self.fire(peer_reply(source, answer), "peer_bus")


class Instance:
    """An event loop with a peer bus; several loops are run in turn."""

    def __init__(self, *, address="127.0.0.1:0", keys=None, **options):
        self.loop = EventLoop()
        self.bus = PeerBus(address=address, keys=keys, **options).register(self.loop)
        self.listener = Listener().register(self.loop)

    @property
    def received(self):
        return self.listener.received

    def send(self, other, message):
        self.loop.fire(peer_send(other.bus.address, message), "peer_bus")


def run(instances, condition):
    """Run all loops until the condition holds."""

    def check():
        for instance in instances[1:]:
            instance.loop.step()
        return condition()

    instances[0].loop.wait_for(check)


def run_few_steps(instances):
    for _ in range(FEW_STEPS):
        for instance in instances:
            instance.loop.step()


def connect(sender, receiver, instances):
    """Send until the first message has arrived."""

    def arrived():
        sender.send(receiver, messages.ConfigFetch(after=0))
        return sender.received

    run(instances, arrived)
    run_few_steps(instances)
    sender.received.clear()
    receiver.received.clear()


def close(instances):
    for instance in instances:
        instance.bus.close()


@contextlib.contextmanager
def raw_peer(instance):
    """Yield a ZeroMQ socket that is connected to an instance's bus."""
    with zmq.Context() as context, context.socket(zmq.DEALER) as raw:
        raw.linger = 0
        raw.connect(f"tcp://{instance.bus.address}")
        yield raw


def test_bursts_and_answers_arrive_in_order():
    """Guards against messages left unread after a send.

    A send may consume the descriptor's readiness signal.
    """
    instances = first, second = Instance(), Instance()
    connect(first, second, instances)
    for number in range(BURST):
        first.send(second, messages.ConfigFetch(after=number))
    run(instances, lambda: len(first.received) == BURST)
    assert [message.after for message in second.received] == list(range(BURST))
    assert [message.instance for message in first.received] == [
        str(number) for number in range(BURST)
    ]
    close(instances)


def test_invalid_messages_fill_no_log(caplog):
    """Guards the log against a peer that sends nothing but invalid bytes."""
    instances = first, second = Instance(), Instance()
    connect(first, second, instances)
    started = time.monotonic()
    with raw_peer(second) as raw:
        for number in range(1, 31):
            for _message in range(BURST):
                raw.send(b"\x81" * 1000)
            run(instances, lambda count=number * BURST: second.bus.rejected == count)
    lines = [record for record in caplog.records if "dropped" in record.message]
    assert 1 <= len(lines) <= 1 + (time.monotonic() - started) / LOG_INTERVAL
    close(instances)


def test_hostile_bytes_are_rejected_and_others_served():
    """Guards against a peer that stops the bus with invalid messages."""
    instances = first, second = Instance(), Instance()
    connect(first, second, instances)
    with raw_peer(second) as raw:
        for parts in ([b""], [b"\x81"], [b"a", b"b"], [b"\xc1" * 1000]):
            raw.send_multipart(parts)
        run(instances, lambda: second.bus.rejected == 4)
        raw.send(bytes(messages.MAX_MESSAGE_BYTES + 1))
        first.send(second, messages.ConfigFetch(after=7))
        run(instances, lambda: first.received)
        assert second.bus.rejected == 4  # the socket drops a larger message unread
    close(instances)


def test_instances_hear_each_other_again_after_their_connections_fall_silent():
    """Guards against reports that are lost until a late heartbeat."""
    options = {"heartbeat": PEER_HEARTBEAT, "silence": PEER_SILENCE}
    instances = first, second = Instance(**options), Instance(**options)
    proxy = SilentProxy(target=second.bus.address)

    def arrives():
        message = messages.ConfigFetch(after=0)
        first.loop.fire(peer_send(proxy.address, message), "peer_bus")
        return second.received

    try:
        run(instances, arrives)
        proxy.silence()
        run_few_steps(instances)
        second.received.clear()
        deadline = time.monotonic() + STABLE_WINDOW
        while not arrives() and time.monotonic() < deadline:
            for instance in instances:
                instance.loop.step()
    finally:
        proxy.close()
        close(instances)
    assert second.received


def test_an_odd_address_does_not_hide_the_peers_after_it(caplog):
    """Guards against broadcasts that each fail and restart the bus."""
    instances = first, second = Instance(), Instance()
    connect(first, second, instances)
    addresses = ("", "a\0b:80", "\ud800:80", second.bus.address)
    for number in range(3):
        message = messages.ConfigFetch(after=number)
        first.loop.fire(peer_broadcast(addresses, message), "peer_bus")
    run(instances, lambda: len(second.received) == 3)
    assert len([r for r in caplog.records if "cannot connect" in r.message]) == 3
    close(instances)


def test_peer_that_restarts_at_its_address_is_reached_again():
    """Guards against an address that stays bound, and a lost connection."""
    instances = first, second = Instance(), Instance()
    connect(first, second, instances)
    address = second.bus.address
    second.bus.unregister()
    run_few_steps(instances)
    assert second.bus.router.closed
    third = Instance(address=address)
    connect(first, third, (first, third))
    first.loop.fire(peers_changed([]), "peer_bus")
    run(instances, lambda: not first.bus.dealers)
    close((first, third))


def make_keys():
    """Return the keys of the fleet's instances and of an outsider."""
    fleet, stranger = (z85.encode(bytes(range(n, n + 32))) for n in (1, 101))
    fleet_key = zmq.curve_public(fleet).decode()

    def keys(secret):
        lines = (
            "# generated for a test",
            f"public {zmq.curve_public(secret).decode()}",
            f"secret {secret.decode()}",
            f"fleet {fleet_key}",
        )
        return bus_keys.read_keys("\n".join(lines))

    return keys(fleet), keys(stranger)


def test_only_clients_with_allowed_keys_are_accepted():
    """Guards against an outsider that knows the server's public key."""
    members, stranger_keys = make_keys()
    first, second = Instance(keys=members), Instance(keys=members)
    stranger = Instance(keys=stranger_keys)
    plain = Instance()
    instances = (first, second, stranger, plain)
    connect(first, second, instances)
    for _ in range(FEW_STEPS):
        stranger.send(second, messages.ConfigFetch(after=1))
        plain.send(second, messages.ConfigFetch(after=2))
        for instance in instances:
            instance.loop.step()
    assert second.received == []
    first.send(second, messages.ConfigFetch(after=3))
    run(instances, lambda: first.received)
    assert [message.after for message in second.received] == [3]
    close(instances)


def test_reply_to_unknown_connection_is_dropped():
    """Guards against an error when a peer has just disconnected."""
    instance = Instance()
    source = Source(identity=b"nobody")
    instance.loop.fire(peer_reply(source, messages.ConfigFetch(after=1)), "peer_bus")
    run([instance], lambda: instance.bus.dropped == 1)
    close([instance])


def test_a_bus_with_a_read_interval_reads_all_messages_of_that_time_at_once():
    """Guards a large fleet against a wake-up for each message."""
    frozen_at = []
    reader = Instance(
        read_interval=0.04,
        clock=lambda: frozen_at[-1] if frozen_at else time.monotonic(),
    )
    instances = sender, reader = Instance(), reader
    connect(sender, reader, instances)
    frozen_at.append(reader.bus.read_due - reader.bus.read_interval)
    before = len(reader.received)
    for number in range(BURST):
        sender.send(reader, messages.ConfigFetch(after=number))
    for _ in range(FEW_STEPS):
        sender.loop.step()
        reader.loop.step()
    assert len(reader.received) == before
    frozen_at.append(reader.bus.read_due)
    reader.loop.step()
    reader.loop.step()
    assert len(reader.received) == before + BURST
    close(instances)
