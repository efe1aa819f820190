"""Fleet of instances that exchange reports, for the tests of forwarding."""

import random
from collections import Counter

from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.forwarding.begun_streams import StreamMemory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.forwarder import PrefixCachesByService
from wagtailfront.forwarding.interfaces import InstanceRow, StorePosition
from wagtailfront.forwarding.load_exchange import LoadExchange
from wagtailfront.forwarding.rate_limits import RateLimits
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.tests.builders import (
    LogLines,
    VirtualTimers,
    make_confirmations,
)
from wagtailfront.forwarding.version_history import VersionHistory
from wagtailfront.membership.messages import decode_message, encode_message


class Fleet:
    """Instances whose messages arrive at once, in virtual time."""

    def __init__(self, size):
        self.timers = VirtualTimers()
        self.rows = []
        self.sent = Counter()
        self.bytes = Counter()
        self.lost = set()
        self.starts = 0
        self.instances = {}
        for number in range(size):
            self.add(f"i{number:03}")

    def add(self, name):
        """Start an instance, also again."""
        self.starts += 1
        row = InstanceRow(name, f"{name}:7", StorePosition(1, self.starts))
        load, rate_limits, streams, history = self._make_state(
            row, f"{name}#{self.starts}"
        )
        exchange = LoadExchange(
            row=row,
            store=None,
            load=load,
            rate_limits=rate_limits,
            prefix_caches=PrefixCachesByService(),
            evidence=CrashEvidence(),
            crashing_parts=CrashingParts(source=load.incarnation),
            streams=streams,
            history=history,
            versions=StoreVersions(tables=("routing",)),
            contact=StoreContact(),
            confirmations=make_confirmations("routing"),
            pace=FleetPace(count_peers=lambda: 0, rng=random.Random(1)),
            find_service=lambda endpoint: "s",
            timers=self.timers,
            log=LogLines(),
            clock=self.timers.clock,
        )
        exchange.fire = lambda event, *channels: self._deliver(row.address, event)
        self.instances[row.address] = exchange
        self.rows = [each for each in self.rows if each.instance != name]
        self.rows.append(row)
        return exchange

    def _make_state(self, row, incarnation):
        """Return what an instance exchanges with others."""
        load = FleetLoad(
            incarnation=incarnation, address=row.address, health=EndpointHealth()
        )
        limits = RateLimits(fleet=load, log=LogLines())
        return load, limits, StreamMemory(), VersionHistory()

    def discover_peers(self):
        """Give all instances the rows of all."""
        for exchange in self.instances.values():
            exchange._handle_rows(self.rows)

    def _deliver(self, sender, event):
        if event.name != "peer_broadcast" or sender in self.lost:
            return
        addresses, message = event.args
        self.sent[sender] += len(addresses)
        data = encode_message(message)
        self.bytes[sender] += len(addresses) * len(data)
        for address in addresses:
            if address not in self.lost:
                self.instances[address]._on_peer_message(decode_message(data), None)

    def run(self, seconds):
        """Let the instances exchange digests for some seconds."""
        for _ in range(round(seconds / 0.08)):
            self.timers.advance(0.08)
            for exchange in self.instances.values():
                exchange.crashing_parts.update(now=self.timers.now)
                exchange._on_send_digest()

    def outstanding(self, exchange, endpoint="e1/1"):
        """Return an endpoint's load as known to an instance."""
        return exchange.load.outstanding(endpoint, now=self.timers.now)
