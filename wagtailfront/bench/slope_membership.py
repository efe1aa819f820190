"""Costs of the messages between instances, measured in one process."""

import itertools
import random

from wagtailfront.authority.freshness import Freshness
from wagtailfront.bench.slope_fleet import make_fleet, make_member, with_roster
from wagtailfront.bench.slopes import measure, processor_time_of, time_per_run
from wagtailfront.membership.messages import (
    EngineLoad,
    LoadDigest,
    decode_message,
    encode_message,
)
from wagtailfront.membership.pinger import (
    FAST_PING_INTERVAL,
    PING_INTERVAL,
    Pinger,
    answer_ping,
    choose_peers,
)

__all__ = ["membership_costs"]

PEERS = (2, 4, 8)
PINGS = (250, 500, 1000)
ROSTERS = (85, 170, 340)
DIGESTS = (4, 8, 16)
ROSTER_SIZE = 340
VERSION = 990  # a version number of the usual length
NOW = 1000.0
RELAY_AGE = 0.31


def _ping_bytes(peers, interval, relays):
    """Return the bytes/s of pings to and from a number of peers.

    As many peers ping this instance, so each ping and pong counts twice.
    """
    member = make_member(0)
    pinger = Pinger(member=member, random=random.Random(1))
    addresses = [make_member(number).address for number in range(1, peers + 1)]
    pings = pinger.ping_now(NOW, addresses=addresses, version=VERSION)
    total = 0
    for number, (_address, ping) in enumerate(pings, 1):
        pong = answer_ping(make_member(number), ping, version=VERSION, relays=relays)
        total += len(encode_message(ping)) + len(encode_message(pong))
    return 2 * total / interval


def membership_costs():
    """Yield the costs of pings, peers and load digests."""
    bitmap = bytes([255]) * (-(-ROSTER_SIZE // 8))
    quiet, fast = [(RELAY_AGE, bitmap)], [(RELAY_AGE, bitmap)] * 3
    yield measure(
        "pings every 2.5 s",
        "B/s",
        "peer",
        PEERS,
        lambda size: _ping_bytes(size, PING_INTERVAL, quiet),
    )
    yield measure(
        "pings every 0.5 s, 3 relays",
        "B/s",
        "peer",
        PEERS,
        lambda size: _ping_bytes(size, FAST_PING_INTERVAL, fast),
    )
    yield measure(
        "ping handled, without sockets",
        "us",
        "ping",
        PINGS,
        lambda size: _ping_time(size, quiet),
    )
    yield measure("choose_peers", "us", "roster member", ROSTERS, _choose_peers_time)
    yield measure(
        "relayed pong taken", "us", "roster member", ROSTERS, _relayed_pong_time
    )
    yield measure(
        "size of LoadDigest",
        "bytes",
        "engine",
        DIGESTS,
        lambda size: len(encode_message(_make_digest(size))),
    )


def _ping_time(count, relays):
    member = make_member(1)
    pinger = Pinger(member=make_member(0), random=random.Random(1))
    [(_, ping)] = pinger.ping_now(NOW, addresses=[member.address], version=VERSION)
    data = encode_message(ping)

    def handle():
        pong = answer_ping(member, decode_message(data), version=990, relays=relays)
        encode_message(pong)

    return processor_time_of(lambda: [handle() for _ in range(count)])


def _choose_peers_time(size):
    members = [make_member(number) for number in range(size)]
    return time_per_run(lambda: choose_peers(members[0], members), 5)


def _relayed_pong_time(size):
    freshness = Freshness(member=make_member(0))
    config = with_roster(make_fleet(1, models=1), size)
    freshness.applied(NOW, config)
    relays = [(RELAY_AGE, bytes([255]) * (size // 8))] * 3
    sent = itertools.count(NOW)

    def handle_relays():
        freshness.handle_relays(float(next(sent)), config.version, relays)

    return time_per_run(handle_relays, 10)


def _make_digest(size):
    loads = tuple(
        EngineLoad(
            engine=f"engine-{number}",
            running=12.0,
            waiting=3.0,
            queued_prefill_tokens=1900.0,
            age=0.41,
        )
        for number in range(size)
    )
    return LoadDigest(group="centre-1/2", fencing_number=7, number=321, loads=loads)
