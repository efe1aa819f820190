"""Reach of the endpoints of all services, and the probes that confirm it."""

from collections import defaultdict

from wagtailfront.forwarding.service_reach import ServiceReach

__all__ = ["EndpointReach"]

# Seconds between probes of a service of which an endpoint failed.
PROBE_INTERVAL = 0.25
SUSPECT_PROBES = 3  # endpoints probed at once while it is not known to be lost


class EndpointReach:
    """Tracks which services this instance reaches; observer of the pool.

    Parameters
    ----------
    directory : EndpointDirectory
    timers : Timers
    clock : callable
    log : DecisionLog
    rng : random.Random
    on_lost, on_restored : callable, optional
        Called with the endpoints of a service that is lost, or reached again.

    Attributes
    ----------
    lost : set of str
        Services whose endpoints are out of reach.
    probe : callable or None
        Opens a connection to an endpoint, to be used by later requests.
    ask : callable or None
        Sends an endpoint a request that it answers at once.
    """

    def __init__(
        self,
        *,
        directory,
        timers,
        clock,
        log,
        rng,
        on_lost=lambda records: None,
        on_restored=lambda records: None,
    ):
        self.directory = directory
        self.timers = timers
        self.clock = clock
        self.log = log
        self.rng = rng
        self.on_lost = on_lost
        self.on_restored = on_restored
        self.services = defaultdict(ServiceReach)
        self.lost = set()
        self.probing = set()
        self.probe = None
        self.ask = None

    def is_lost(self, service):
        """Return whether the endpoints of a service are out of reach."""
        return service in self.lost

    def handle_connected(self, record):
        """Handle that a connection to an endpoint was opened."""
        self.services[record.service].record_connected()
        self._update(record.service)

    def handle_unconnected(self, record):
        """Handle that no connection to an endpoint could be opened."""
        self.services[record.service].record_unconnected(record.incarnation)
        self._update(record.service)
        self._start_probes(record.service)

    def handle_response(self, record):
        """Handle a part of a response of an endpoint."""
        self.services[record.service].record_response(now=self.clock())
        if record.service in self.lost:
            self._update(record.service)

    def handle_silence(self, record):
        """Handle that an endpoint has been silent for a while."""
        self.services[record.service].record_silence(
            record.incarnation, now=self.clock()
        )
        self._update(record.service)

    def _known(self, service):
        return {record.incarnation for record in self.directory.find(service)}

    def _update(self, service):
        """Log a change, and start the probes that may end it."""
        reach, known = self.services[service], self._known(service)
        is_lost = reach.is_lost(known)
        if is_lost == (service in self.lost):
            return
        self.log.decision(
            "endpoint_reach",
            outcome="lost" if is_lost else "restored",
            service=service,
            endpoints=len(known),
            unconnected=len(reach.unconnected),
            silent=len(reach.silent),
        )
        if is_lost:
            self.lost.add(service)
            self.on_lost(self.directory.find(service))
            self._start_probes(service)
        else:
            self.lost.discard(service)
            self.on_restored(self.directory.find(service))

    def _start_probes(self, service):
        if service not in self.probing and self.probe is not None:
            self.probing.add(service)
            self.timers.after(0.0, lambda: self._probe(service))

    def _probe(self, service):
        """Open connections while endpoints cannot be connected to."""
        reach, records = self.services[service], self.directory.find(service)
        if not records or not (reach.unconnected or service in self.lost):
            self.probing.discard(service)
            self._update(service)
            return
        untried = [r for r in records if r.incarnation not in reach.unconnected]
        candidates = untried or records
        count = 1 if service in self.lost else SUSPECT_PROBES
        for record in self.rng.sample(candidates, min(count, len(candidates))):
            # Where connections are silent only a response shows a path.
            is_silent = reach.is_silent(self._known(service))
            (self.ask if is_silent else self.probe)(record)
        self.timers.after(PROBE_INTERVAL, lambda: self._probe(service))
