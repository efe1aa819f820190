"""Peers that send requests on to endpoints out of this instance's reach."""

from collections import Counter

from wagtailfront.forwarding.endpoint_directory import EndpointRecord

__all__ = ["PeerProxies"]

FAILURE_PAUSE = 0.5  # seconds without new work for a peer that failed


class PeerProxies:
    """Chooses the peer for each request.

    Parameters
    ----------
    pool : EndpointPool
        Connections to peers.
    load : FleetLoad
    data_centre : str
        That of this instance.
    rng : random.Random

    Attributes
    ----------
    outstanding : Counter
        Requests of this instance in progress, by the peer's address.

    Notes
    -----
    The peer with the fewest requests of this instance comes first, and of
    several one in the own data centre, which answers sooner.
    """

    def __init__(self, *, pool, load, data_centre, rng):
        self.pool = pool
        self.load = load
        self.data_centre = data_centre
        self.rng = rng
        self.outstanding = Counter()
        self.avoid_until = {}

    def find(self, service, *, without, now):
        """Return the record of a peer that reaches a service, or None.

        Parameters
        ----------
        service : str
        without : collection of str
            Addresses of peers that are not to be asked.
        now : float
        """
        offers = [
            offer
            for offer in self.load.proxy_offers(now=now)
            if service not in offer.lost_services
            and offer.address not in without
            and self.avoid_until.get(offer.address, 0.0) <= now
        ]
        if not offers:
            return None
        offer = min(offers, key=self._rank)
        host, _colon, port = offer.address.rpartition(":")
        return EndpointRecord(
            endpoint_id=offer.address,
            service=service,
            host=host,
            port=int(port),
            data_centre=offer.data_centre,
            slots=0,
            is_leaving=False,
            stage="",
            started_ms=0,
        )

    def _rank(self, offer):
        return (
            self.outstanding[offer.address],
            offer.data_centre != self.data_centre,
            self.rng.random(),
        )

    def record_failure(self, record, *, now):
        """Record that a peer did not take a request."""
        self.avoid_until[record.address] = now + FAILURE_PAUSE

    def begin(self, record):
        """Record that a request is sent to a peer."""
        self.outstanding[record.address] += 1

    def end(self, record):
        """Record that a request to a peer has ended."""
        self.outstanding[record.address] -= 1
        if not self.outstanding[record.address]:
            del self.outstanding[record.address]
