"""Load of endpoints by the requests of all instances."""

import itertools
from collections import Counter
from typing import NamedTuple

from wagtailfront.membership.messages import (
    MAX_PARTS,
    MAX_TEXT,
    EndpointPending,
    PlacedPrompt,
    PlacementDigest,
)
from wagtailfront.room.fleet_use import FleetUse
from wagtailfront.room.request_size import Held

__all__ = ["FleetLoad", "ProxyOffer"]

PEER_LIFETIME = 3.0  # seconds; peers send their full state every second
EXPIRY_INTERVAL = 0.25  # seconds between checks for silent peers
# Tokens left of a prompt that an engine prefills: half of a typical long one.
BLOCKING_TOKENS = 6000
MAX_PROMPTS = 256  # placements in one digest


class ProxyOffer(NamedTuple):
    """Where an instance takes requests of its peers, and for which services.

    Attributes
    ----------
    address : str
        Empty if it takes none.
    data_centre : str
    lost_services : tuple of str
        Services whose endpoints it does not reach itself.
    """

    address: str = ""
    data_centre: str = ""
    lost_services: tuple = ()


class _Peer:
    """What one peer reported last."""

    def __init__(self):
        self.loads = {}
        self.address = ""
        self.received_at = 0.0
        self.offer = ProxyOffer()


class FleetLoad:
    """Adds the loads reported by peers to this instance's own load.

    Parameters
    ----------
    incarnation : str
        Names this start of the instance.
    address : str
        Where this instance listens for its peers.
    health : EndpointHealth

    Attributes
    ----------
    instances : int
        Instances of the fleet, this one included, and for a while also those
        that are not heard of any more; 0 until the fleet is known.
    use : FleetUse
        KV cache that the requests of all instances take.

    Notes
    -----
    A digest contains the state of endpoints, not increments, so a digest
    that is lost or duplicated causes no lasting error. The sums are updated
    as digests arrive, so the cost of a placement does not depend on the
    number of peers.

    Examples
    --------
    >>> from wagtailfront.forwarding.endpoint_health import EndpointHealth
    >>> health, other = EndpointHealth(), EndpointHealth()
    >>> other.state("e1/1").outstanding = 3
    >>> sender = FleetLoad(incarnation="b", address="b:7", health=other)
    >>> receiver = FleetLoad(incarnation="a", address="a:7", health=health)
    >>> receiver.merge(sender.make_digest(full=True), now=0.0)
    >>> [receiver.outstanding("e1/1", now=now) for now in (1.0, 9.0)]
    [3, 0]
    """

    def __init__(self, *, incarnation, address, health):
        self.incarnation = incarnation
        self.address = address
        self.health = health
        self.instances = 0
        self.peers = {}
        self.outstanding_totals = Counter()
        self.pending_totals = {}
        self.use = FleetUse()
        self.expiry_due = 0.0
        self.sent = {}
        self.prompts = []
        self.has_peer_requests = False

    def has_seen_requests(self):
        """Return whether this instance or any peer has had a request."""
        return bool(self.health.states) or self.has_peer_requests

    def record_placement(self, endpoint, parts):
        """Record the placement of a prompt for the next digest.

        Peers learn of the first parts that a digest may hold.
        """
        shared = tuple(
            (part.part_id, part.tokens)
            for part in itertools.takewhile(
                lambda part: len(part.part_id) <= MAX_TEXT, parts[:-1][:MAX_PARTS]
            )
        )
        if shared and len(self.prompts) < MAX_PROMPTS:
            self.prompts.append(PlacedPrompt(endpoint, shared))

    def make_digest(self, *, full):
        """Return a digest of the changes since the last one, or None.

        Parameters
        ----------
        full : bool
            Include endpoints whose load did not change.
        """
        present = {
            endpoint: EndpointPending(
                endpoint,
                state.outstanding,
                tuple(
                    (priority, tokens)
                    for priority, tokens in state.pending.items()
                    if tokens > 0
                ),
                *self.use.report(endpoint),
            )
            for endpoint, state in self.health.states.items()
        }
        loads = tuple(
            load
            for endpoint, load in present.items()
            if (full and _has_any(load)) or self.sent.get(endpoint) != load
        )
        self.sent = present
        prompts, self.prompts = tuple(self.prompts), []
        if not loads and not prompts and not full:
            return None
        return PlacementDigest(
            incarnation=self.incarnation, loads=loads, prompts=prompts, is_whole=full
        )

    def merge(self, digest, *, now):
        """Update a peer's loads from its digest."""
        if digest.incarnation == self.incarnation:
            return
        peer = self.peers.get(digest.incarnation)
        if peer is None:
            peer = self.peers[digest.incarnation] = _Peer()
        if digest.loads and peer.received_at:
            self.use.record_gap(now - peer.received_at, now=now)
        peer.address = digest.address or peer.address
        peer.received_at = now
        if digest.proxy is not None:
            peer.offer = ProxyOffer(
                digest.proxy, digest.data_centre, digest.lost_services
            )
        if digest.loads or digest.prompts:
            self.has_peer_requests = True
        reported = {load.endpoint: load for load in digest.loads}
        if digest.is_whole and peer.loads:
            # The peer has no load on endpoints that its digest does not list.
            for endpoint in peer.loads.keys() - reported.keys():
                self._remove(peer.loads.pop(endpoint))
        for endpoint, load in reported.items():
            before = peer.loads.get(endpoint)
            if before == load:
                continue
            peer.loads[endpoint] = load
            self._replace(before, load, now)

    def _replace(self, before, load, now):
        """Count the load that a peer reports instead of one before, if any."""
        if before is not None:
            self._add(before, -1)
        self._add(load, 1)
        held = _held(before) if before is not None else Held()
        self.use.replace_report(load.endpoint, held, _held(load), now=now)

    def _remove(self, load):
        self._add(load, -1)
        self.use.remove_report(load.endpoint, _held(load))

    def _add(self, load, sign):
        self.outstanding_totals[load.endpoint] += sign * load.outstanding
        if not self.outstanding_totals[load.endpoint]:
            # Entries of past incarnations must not accumulate.
            del self.outstanding_totals[load.endpoint]
        if load.pending:
            totals = self.pending_totals.get(load.endpoint)
            if totals is None:
                totals = self.pending_totals[load.endpoint] = Counter()
            for priority, tokens in load.pending:
                totals[priority] += sign * tokens
            if not any(totals.values()):
                del self.pending_totals[load.endpoint]

    def _expire(self, now):
        """Drop the loads of peers that have been silent too long."""
        if now < self.expiry_due:
            return
        self.expiry_due = now + EXPIRY_INTERVAL
        silent = [
            incarnation
            for incarnation, peer in self.peers.items()
            if now - peer.received_at > PEER_LIFETIME
        ]
        for incarnation in silent:
            for load in self.peers.pop(incarnation).loads.values():
                self._remove(load)

    def count_busy(self):
        """Return the number of instances with requests, this one included."""
        return 1 + sum(bool(peer.loads) for peer in self.peers.values())

    def proxy_offers(self, *, now):
        """Return the ProxyOffer of each peer in touch that takes requests."""
        self._expire(now)
        return [peer.offer for peer in self.peers.values() if peer.offer.address]

    def live_addresses(self, *, now):
        """Return the addresses of the instances in touch, its own included.

        An instance that starts again keeps its address.
        """
        self._expire(now)
        addresses = {peer.address for peer in self.peers.values() if peer.address}
        return addresses | {self.address}

    def outstanding(self, endpoint, *, now):
        """Return the requests of all instances in progress at an endpoint."""
        self._expire(now)
        own = self.health.state(endpoint).outstanding
        return own + self.outstanding_totals[endpoint]

    def pending_before(self, endpoint, priority, *, now):
        """Return the waiting tokens of requests at least as urgent."""
        return sum(
            tokens
            for urgency, tokens in self._pending(endpoint, now)
            if urgency <= priority
        )

    def blocking_tokens(self, endpoint, priority, *, now):
        """Return the tokens of less urgent prompts that may be in progress.

        Engines do not preempt a prefill, so even the most urgent request
        waits for the rest of it.
        """
        less_urgent = sum(
            tokens
            for urgency, tokens in self._pending(endpoint, now)
            if urgency > priority
        )
        return min(less_urgent, BLOCKING_TOKENS)

    def _pending(self, endpoint, now):
        """Return pairs of priority and waiting tokens of all instances."""
        self._expire(now)
        return itertools.chain(
            self.health.state(endpoint).pending.items(),
            self.pending_totals.get(endpoint, {}).items(),
        )


def _held(load):
    return Held(load.committed, load.shared)


def _has_any(load):
    return load.outstanding or load.pending or load.committed or load.shared
