"""Load that all instances together put on endpoints."""

import itertools

from wagtailfront.membership.messages import (
    EndpointPending,
    PlacedPrompt,
    PlacementDigest,
)

__all__ = ["FleetLoad"]

PEER_LIFETIME = 3.0  # seconds; a peer repeats its whole state every second
# Tokens left of a prompt in progress: half of a usual long one.
BLOCKING_TOKENS = 6000
MAX_PROMPTS = 256  # placements in one digest


class _Peer:
    """What one peer said last."""

    def __init__(self):
        self.loads = {}
        self.heard = 0.0


class FleetLoad:
    """Adds the loads that peers report to this instance's own.

    Parameters
    ----------
    incarnation : str
        Names this start of the instance.
    health : EndpointHealth

    Notes
    -----
    A digest holds whole states of endpoints, not changes, so a digest that
    is lost or comes twice does no lasting harm.

    Examples
    --------
    >>> from wagtailfront.forwarding.endpoint_health import EndpointHealth
    >>> health, other = EndpointHealth(), EndpointHealth()
    >>> other.state("e1/1").outstanding = 3
    >>> sender = FleetLoad(incarnation="b", health=other)
    >>> receiver = FleetLoad(incarnation="a", health=health)
    >>> receiver.merge(sender.digest(whole=True), now=0.0)
    >>> [receiver.outstanding("e1/1", now=now) for now in (1.0, 9.0)]
    [3, 0]
    """

    def __init__(self, *, incarnation, health):
        self.incarnation = incarnation
        self.health = health
        self.peers = {}
        self.sent = {}
        self.prompts = []

    def note_prompt(self, endpoint, parts):
        """Note a placement, to be told to the peers."""
        shared = tuple((part.part_id, part.tokens) for part in parts[:-1])
        if shared and len(self.prompts) < MAX_PROMPTS:
            self.prompts.append(PlacedPrompt(endpoint, shared))

    def digest(self, *, whole):
        """Return a digest of what changed, or None if nothing did.

        Parameters
        ----------
        whole : bool
            Take in also the endpoints that did not change.
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
            )
            for endpoint, state in self.health.states.items()
        }
        loads = tuple(
            load
            for endpoint, load in present.items()
            if (whole and load.outstanding) or self.sent.get(endpoint) != load
        )
        self.sent = present
        prompts, self.prompts = tuple(self.prompts), []
        if not loads and not prompts and not whole:
            return None
        return PlacementDigest(
            incarnation=self.incarnation, loads=loads, prompts=prompts
        )

    def merge(self, digest, *, now):
        """Take over a peer's digest."""
        if digest.incarnation == self.incarnation:
            return
        peer = self.peers.setdefault(digest.incarnation, _Peer())
        peer.heard = now
        peer.loads.update((load.endpoint, load) for load in digest.loads)

    def outstanding(self, endpoint, *, now):
        """Return the requests of all instances at an endpoint."""
        own = self.health.state(endpoint).outstanding
        return own + sum(load.outstanding for load in self._loads(endpoint, now))

    def pending_before(self, endpoint, priority, *, now):
        """Return the waiting tokens of requests at least as urgent."""
        own = self.health.state(endpoint).pending_before(priority)
        return own + sum(
            tokens
            for load in self._loads(endpoint, now)
            for urgency, tokens in load.pending
            if urgency <= priority
        )

    def blocking(self, endpoint, priority, *, now):
        """Return the tokens of less urgent prompts that are being read.

        An engine finishes the prompt that it has begun, so even the most
        urgent request waits for a part of it.
        """
        own = self.health.state(endpoint).pending.items()
        others = (load.pending for load in self._loads(endpoint, now))
        less_urgent = sum(
            tokens
            for urgency, tokens in itertools.chain(own, *others)
            if urgency > priority
        )
        return min(less_urgent, BLOCKING_TOKENS)

    def _loads(self, endpoint, now):
        silent = [
            incarnation
            for incarnation, peer in self.peers.items()
            if now - peer.heard > PEER_LIFETIME
        ]
        for incarnation in silent:
            del self.peers[incarnation]
        return [
            peer.loads[endpoint]
            for peer in self.peers.values()
            if endpoint in peer.loads
        ]
